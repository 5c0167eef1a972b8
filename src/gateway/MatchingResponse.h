/// \file
/// Finds the response to a request on a connection to an endpoint, and what it
/// says of the request.

#ifndef PSP_GATEWAY_MATCHINGRESPONSE_H
#define PSP_GATEWAY_MATCHINGRESPONSE_H

#include "gateway/CallProtocol.h"
#include "gateway/EndpointChannel.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::gateway {

class Gateway;

/// Maximum size of a response that isn't a stream. A longer one has no end.
inline constexpr std::size_t MaxResponseBytes = 8U << 20U;

/// A request that was sent to an endpoint. GCC 12 destroys an aggregate twice
/// that is created in an awaited expression, so it has to be named before.
struct SentRequest {
  std::string m_RequestId;
  std::string m_Endpoint;
  /// Start of the endpoint process, in milliseconds of the wall clock.
  std::uint64_t m_StartTime = 0;
};

enum class ResponseJudgement {
  // The endpoint has not executed the request and never will.
  Refusal,       ///< It has no capacity.
  WrongEndpoint, ///< Another endpoint has this address.
  OtherWeights,  ///< Its weights aren't those that the caller expects.

  Unusable, ///< Not the endpoint's own response; the request may have run.
  Usable,
};
std::string_view judgementName(ResponseJudgement Judgement);

/// What a head with \p Status and \p Metadata says of its request, which
/// expects \p ExpectedWeights unless that is empty. A misdirected request with
/// expected weights is no sign against the endpoint unless it states just
/// these.
ResponseJudgement judgeResponse(unsigned Status,
                                const ResponseMetadata &Metadata,
                                std::string_view ExpectedWeights);

/// Takes what \p Judgement says of the endpoint over into the directory and the
/// placement of \p Owner. \p Judgement is one of a request that was not
/// executed.
void onNotExecuted(Gateway &Owner, const SentRequest &Sent,
                   ResponseJudgement Judgement);

/// Reads heads on \p Channel until the one of the response to \p Sent; others
/// are late copies. Returns false if none comes.
boost::asio::awaitable<bool> readMatchingHead(Gateway &Owner,
                                              EndpointChannel &Channel,
                                              SentRequest Sent,
                                              ResponseMetadata &HeadMetadata);

/// Logs that a request was not written completely to \p Channel. \p EndedHere:
/// this instance ended the send, and not the endpoint.
void logCutRequest(Gateway &Owner, const SentRequest &Sent,
                   const EndpointChannel &Channel, bool EndedHere);

/// Reports that \p Endpoint sent \p Bytes or more.
void logEndlessResponse(Gateway &Owner, const std::string &RequestId,
                        const std::string &Endpoint, std::uint64_t Bytes);

} // namespace psp::gateway

#endif
