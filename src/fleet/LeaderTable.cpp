#include "fleet/LeaderTable.h"

#include <utility>

namespace psp::fleet {

bool LeaderTable::merge(const GroupLeader &Update) {
  GroupLeader &Current = m_Leaders[Update.group()];
  if (std::pair(Update.term(), Update.membership_index()) <=
      std::pair(Current.term(), Current.membership_index()))
    return false;
  Current = Update;
  return true;
}

const GroupLeader *LeaderTable::find(std::uint32_t Group) const {
  const auto It = m_Leaders.find(Group);
  return It == m_Leaders.end() ? nullptr : &It->second;
}

std::string LeaderTable::leaderOf(std::uint32_t Group) const {
  const GroupLeader *Leader = find(Group);
  return Leader ? Leader->node() : std::string();
}

} // namespace psp::fleet
