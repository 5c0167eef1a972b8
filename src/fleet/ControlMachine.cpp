#include "fleet/ControlMachine.h"

#include "messages/Parse.h"

namespace psp::fleet {

void ControlMachine::apply(std::uint64_t /*Index*/, std::string_view Command,
                           std::uint64_t /*WallMs*/) {
  const auto Read =
      messages::parseMessage<messages::fleet::ControlGroupCommand>(
          Command, "control state");
  if (Read.has_configuration() && Read.configuration().version() > version()) {
    *m_State.mutable_configuration() = Read.configuration();
    ++m_Revision;
  }
  if (Read.has_found() && historyFounders().members_size() == 0) {
    *m_State.mutable_history_founders() = Read.found().founders();
    ++m_Revision;
  }
}

std::string ControlMachine::snapshot() const {
  return m_State.SerializeAsString();
}

void ControlMachine::restore(std::string_view Snapshot) {
  m_State = messages::parseMessage<messages::fleet::ControlGroupSnapshot>(
      Snapshot, "control state");
  ++m_Revision;
}

} // namespace psp::fleet
