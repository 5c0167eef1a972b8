/// \file
/// Who leads which group of history, as the leaders themselves have told.

#ifndef PSP_FLEET_LEADERTABLE_H
#define PSP_FLEET_LEADERTABLE_H

#include "generated/fleet.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace psp::fleet {

using messages::fleet::GroupLeader;

/// What it says may be out of date: whoever is asked decides whether it leads.
class LeaderTable {
public:
  /// True if \p News is newer than what is known.
  bool merge(const GroupLeader &News);
  /// Null if nothing is known.
  const GroupLeader *find(std::uint32_t Group) const;
  /// Name of the leader's node; empty while unknown.
  std::string leaderOf(std::uint32_t Group) const;

private:
  std::map<std::uint32_t, GroupLeader> m_Rows;
};

} // namespace psp::fleet

#endif
