/// \file
/// The calls that a control node takes from endpoints and operators, apart
/// from how they are written on the wire.

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

/// An endpoint tells its state.
struct AnnounceCall {
  messages::fleet::EndpointState m_State;
};
/// An endpoint says that it leaves.
struct LeaveCall {
  std::string m_Endpoint;
};
struct SubmitConfigurationCall {
  std::uint64_t m_Version = 0;
  std::string m_Document;
};
struct ReadConfigurationCall {};
/// A history node is to be emptied.
struct RetireNodeCall {
  std::string m_Node;
  bool m_Start = false; ///< False: how far it is.
};
using ControlCall =
    std::variant<AnnounceCall, LeaveCall, SubmitConfigurationCall,
                 ReadConfigurationCall, RetireNodeCall>;

struct Done {};
/// Constructors and no aggregates: see gateway::Refusal.
struct Failed {
  Failed(base::ErrorKind Kind, std::string Detail)
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
  explicit RetirementAnswer(bool Done) : m_Done(Done) {}
  bool m_Done;
};
using ControlAnswer =
    std::variant<Done, Failed, ConfigurationAnswer, RetirementAnswer>;

class ControlProtocol {
public:
  virtual ~ControlProtocol() = default;

  /// Throws UserError: BadRequest or InvalidConfiguration for a body that
  /// can't be read, NotFound for an unknown call.
  virtual ControlCall decode(const web::Request &Received) const = 0;
  virtual web::Response encode(const ControlAnswer &Answer) const = 0;
};

} // namespace psp::coordinator

#endif
