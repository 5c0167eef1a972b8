/// \file
/// The calls that a control node accepts from endpoints and operators,
/// independent of their format on the wire.

#ifndef PSP_COORDINATOR_CONTROLPROTOCOL_H
#define PSP_COORDINATOR_CONTROLPROTOCOL_H

#include "base/ErrorKind.h"
#include "generated/fleet.pb.h"
#include "web/HttpServer.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace psp::coordinator {

/// An endpoint announces its state.
struct AnnounceCall {
  messages::fleet::EndpointState m_State;
  bool m_StatesColdTime = false; ///< Otherwise it may be cold or not.
};
/// An endpoint announces that it leaves.
struct LeaveCall {
  std::string m_Endpoint;
};
struct SubmitConfigurationCall {
  std::uint64_t m_Version = 0;
  std::string m_Document;
};
struct ReadConfigurationCall {};
/// Starts or queries the retirement of a history node, which moves its groups
/// to other nodes.
struct RetireNodeCall {
  std::string m_Node;
  bool m_Start = false; ///< False: queries the progress.
};
/// Keeps new calls from the endpoints of a data centre, or takes that back.
struct EvacuateCall {
  std::string m_DataCentre;
  bool m_Start = false; ///< False: takes it back.
};
struct ListHeldRequestsCall {};
/// Ends the hold of a request that has ended several endpoints.
struct ReleaseRequestCall {
  std::string m_FingerprintHex; ///< As in logs and in the list.
};
using ControlCall =
    std::variant<AnnounceCall, LeaveCall, SubmitConfigurationCall,
                 ReadConfigurationCall, RetireNodeCall, EvacuateCall,
                 ListHeldRequestsCall, ReleaseRequestCall>;

struct SuccessAnswer {};
/// These answers have constructors and are no aggregates; see gateway::Refusal
/// for the reason.
struct FailureAnswer {
  FailureAnswer(base::ErrorKind Kind, std::string Detail)
      : m_Kind(Kind), m_Detail(std::move(Detail)) {}
  base::ErrorKind m_Kind;
  std::string m_Detail;
};
struct ConfigurationAnswer {
  explicit ConfigurationAnswer(std::string Document)
      : m_Document(std::move(Document)) {}
  std::string m_Document;
};
struct RetirementAnswer {
  explicit RetirementAnswer(bool Completed) : m_Completed(Completed) {}
  bool m_Completed;
};
struct HeldRequestsAnswer {
  explicit HeldRequestsAnswer(messages::fleet::HeldRequests Held)
      : m_Held(std::move(Held)) {}
  messages::fleet::HeldRequests m_Held;
};
using ControlAnswer =
    std::variant<SuccessAnswer, FailureAnswer, ConfigurationAnswer,
                 RetirementAnswer, HeldRequestsAnswer>;

/// The answer to an operator whose call the control leader has executed.
ControlAnswer controlAnswerOf(const messages::fleet::Reply &Received);

class ControlProtocol {
public:
  virtual ~ControlProtocol() = default;

  /// Throws UserError: BadRequest or InvalidConfiguration for an invalid body,
  /// NotFound for an unknown call.
  virtual ControlCall decode(const web::Request &Received) const = 0;
  virtual web::Response encode(const ControlAnswer &Answer) const = 0;
};

} // namespace psp::coordinator

#endif
