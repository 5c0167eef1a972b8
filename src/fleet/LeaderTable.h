/// \file
/// The leader of each history group, as announced by the leaders themselves.

#ifndef PSP_FLEET_LEADERTABLE_H
#define PSP_FLEET_LEADERTABLE_H

#include "generated/fleet.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace psp::fleet {

using messages::fleet::GroupLeader;

/// Entries may be out of date: the node that receives a request decides whether
/// it is the leader.
class LeaderTable {
public:
  /// Returns true if \p Update is newer than the stored entry and replaced it.
  bool merge(const GroupLeader &Update);
  /// Null if no leader of \p Group is known.
  const GroupLeader *find(std::uint32_t Group) const;
  /// Name of the leader's node; empty if unknown.
  std::string leaderOf(std::uint32_t Group) const;

private:
  std::map<std::uint32_t, GroupLeader> m_Leaders;
};

} // namespace psp::fleet

#endif
