/// \file
/// The protocol between callers, gateway and endpoints, independent of its
/// representation in headers and statuses.

#ifndef PSP_GATEWAY_CALLPROTOCOL_H
#define PSP_GATEWAY_CALLPROTOCOL_H

#include "base/ErrorKind.h"
#include "base/Time.h"
#include "gateway/ForwardedBody.h"
#include "web/HttpServer.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace psp::gateway {

using web::Request;
using web::Response;
using ResponseHead =
    boost::beast::http::response_header<boost::beast::http::fields>;

/// Metadata that a caller sends in the headers of its request.
struct CallMetadata {
  std::string m_Id;  ///< Request id of this attempt.
  std::string m_Key; ///< API key; empty if the request has none.
  std::string m_Host;
  std::optional<base::Duration> m_TimeLeft; ///< Until the caller's timeout.
  std::string m_Program;
  /// Time until the deadline of the program.
  std::optional<base::Duration> m_ProgramTimeLeft;
  std::string m_PreviousTurn;
  std::string m_PromptPrefix; ///< First part, shared by many programs.
  /// Tokens that all turns of the program may generate. Absent if the call is
  /// not a turn.
  std::optional<std::uint64_t> m_TokenBudget;
  std::uint64_t m_PromptTokens = 0; ///< Earlier turns included; zero: unknown.
  std::uint64_t m_MaxTokens = 0;    ///< Limit of this turn; zero: none.
  std::string m_LastEventId;        ///< Event after which to resume a stream.
  /// Request id of the attempt that brought the first event of that stream.
  std::string m_Resumes;
  /// Version of the weights that the endpoint must have; empty: any.
  std::string m_ExpectedWeights;
};

/// Metadata that is added to the caller's request when it goes to an endpoint.
struct ForwardMetadata {
  std::string m_EndpointId;
  std::string m_EndpointAddress;
  std::string m_Organisation; ///< Empty on public routes.
  base::Duration m_TimeLeft{0};
};

/// Metadata that an endpoint sends in the head of its response.
struct ResponseMetadata {
  std::string m_RequestId;
  bool m_NotExecuted = false; ///< Not executed, as the endpoint guarantees.
  /// Not executed: the request names another endpoint or other weights.
  bool m_Misdirected = false;
  bool m_Leaving = false; ///< The endpoint takes no new work.
  bool m_Signed = false;  ///< Has the endpoint's signature.
  std::string m_Weights;  ///< Version of its weights; empty: not stated.
  std::optional<base::Duration> m_IdleTimeout;

  /// Whether the endpoint says that it has not executed the request.
  bool isRefusal() const { return m_NotExecuted || m_Misdirected; }
};

/// Why a call is rejected. Has a constructor and is not an aggregate, because
/// GCC 12 destroys an aggregate twice that is created in an awaited expression.
struct Refusal {
  Refusal(base::ErrorKind Kind, std::string Detail,
          std::optional<base::Duration> RetryAfter = {})
      : m_Kind(Kind), m_Detail(std::move(Detail)), m_RetryAfter(RetryAfter) {}

  base::ErrorKind m_Kind;
  std::string m_Detail;
  /// Delay after which the caller may retry; only for calls that were not
  /// executed.
  std::optional<base::Duration> m_RetryAfter;
};

class CallProtocol {
public:
  virtual ~CallProtocol() = default;

  virtual CallMetadata parseCall(const Request &Received) const = 0;
  /// The request for an endpoint: \p EarlierTurns and then the caller's body,
  /// which both must outlive it.
  virtual OutgoingRequest makeRequest(const Request &Received,
                                      const ForwardMetadata &Metadata,
                                      std::string_view EarlierTurns) const = 0;
  virtual ResponseMetadata parseResponse(const ResponseHead &Head) const = 0;
  virtual Response makeRefusal(const CallMetadata &Call,
                               const Refusal &Reason) const = 0;
};

} // namespace psp::gateway

#endif
