#include "fleet/ControlStateMachine.h"

#include "messages/Parse.h"

#include <algorithm>

namespace psp::fleet {

void ControlStateMachine::apply(std::uint64_t Index, std::string_view Command,
                                std::uint64_t WallMs) {
  const auto Parsed =
      messages::parseMessage<messages::fleet::ControlGroupCommand>(
          Command, "control state");
  if (Parsed.has_configuration() &&
      Parsed.configuration().version() > version()) {
    *m_State.mutable_configuration() = Parsed.configuration();
    ++m_Revision;
  }
  if (Parsed.has_found() && historyGroups().empty()) {
    *m_State.mutable_history_groups() = Parsed.found().groups();
    ++m_Revision;
  }
  if (Parsed.has_retire() && !isRetiring(Parsed.retire().member())) {
    m_State.add_retiring(Parsed.retire().member());
    ++m_Revision;
  }
  if (Parsed.entry_instances() > 0)
    m_State.set_entry_instances(Parsed.entry_instances());
  if (Parsed.has_evacuate())
    evacuate(Parsed.evacuate(), Index);
  if (Parsed.has_hold())
    m_HeldRequests.hold(Parsed.hold(), Index, WallMs);
  if (Parsed.has_release())
    m_HeldRequests.release(Parsed.release().fingerprint(), Index);
}

bool ControlStateMachine::isRetiring(const std::string &Member) const {
  return std::ranges::find(retiring(), Member) != retiring().end();
}

void ControlStateMachine::evacuate(
    const messages::fleet::EvacuateDataCentre &Command, std::uint64_t Index) {
  auto &Evacuated = *m_State.mutable_evacuated();
  const auto Known = std::ranges::find(Evacuated, Command.data_centre());
  const bool IsEvacuated = Known != Evacuated.end();
  if (IsEvacuated == Command.start())
    return;
  if (Command.start())
    m_State.add_evacuated(Command.data_centre());
  else
    Evacuated.erase(Known);
  m_State.set_evacuation_revision(Index);
}

std::string ControlStateMachine::snapshot() const {
  messages::fleet::ControlGroupSnapshot State = m_State;
  *State.mutable_held() = m_HeldRequests.state();
  return State.SerializeAsString();
}

void ControlStateMachine::restore(std::string_view Snapshot) {
  m_State = messages::parseMessage<messages::fleet::ControlGroupSnapshot>(
      Snapshot, "control state");
  m_HeldRequests.restore(m_State.held());
  m_State.clear_held();
  ++m_Revision;
}

} // namespace psp::fleet
