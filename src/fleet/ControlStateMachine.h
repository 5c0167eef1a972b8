/// \file
/// The replicated state of the control group: the configuration with the
/// highest version, the initial members of the history groups, the disks that
/// are to be emptied, the number of entry instances, the data centres that are
/// evacuated, and the requests that are kept from endpoints.

#ifndef PSP_FLEET_CONTROLSTATEMACHINE_H
#define PSP_FLEET_CONTROLSTATEMACHINE_H

#include "consensus/StateMachine.h"
#include "fleet/HeldRequestList.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::fleet {

class ControlStateMachine : public consensus::StateMachine {
public:
  void apply(std::uint64_t Index, std::string_view Command,
             std::uint64_t WallMs) override;
  std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;

  /// Zero before the first configuration.
  std::uint64_t version() const { return m_State.configuration().version(); }
  const std::string &document() const {
    return m_State.configuration().document();
  }
  /// Initial members of each history group, by group number; empty before the
  /// groups are bootstrapped. The number of groups never changes after that.
  const auto &historyGroups() const { return m_State.history_groups(); }
  /// Identities of the disks that are to be emptied.
  const auto &retiring() const { return m_State.retiring(); }
  bool isRetiring(const std::string &Member) const;
  /// Number of entry instances that rates are divided among; zero before it is
  /// recorded.
  std::uint32_t entryInstances() const { return m_State.entry_instances(); }
  const HeldRequestList &heldRequests() const { return m_HeldRequests; }
  /// Data centres whose endpoints get nothing new.
  const auto &evacuated() const { return m_State.evacuated(); }
  /// Index of the command that changed them last; zero before the first one.
  std::uint64_t evacuationRevision() const {
    return m_State.evacuation_revision();
  }
  /// Incremented by each change, except of the held requests, the evacuated
  /// data centres and the number of entry instances, so that a publisher can
  /// detect changes.
  std::uint64_t revision() const { return m_Revision; }

private:
  void evacuate(const messages::fleet::EvacuateDataCentre &Command,
                std::uint64_t Index);

  /// Without the held requests.
  messages::fleet::ControlGroupSnapshot m_State;
  HeldRequestList m_HeldRequests;
  std::uint64_t m_Revision = 0;
};

} // namespace psp::fleet

#endif
