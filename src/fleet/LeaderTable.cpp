#include "fleet/LeaderTable.h"

#include <utility>

namespace psp::fleet {

bool LeaderTable::merge(const GroupLeader &News) {
  GroupLeader &Known = m_Rows[News.group()];
  if (std::pair(News.term(), News.membership_index()) <=
      std::pair(Known.term(), Known.membership_index()))
    return false;
  Known = News;
  return true;
}

const GroupLeader *LeaderTable::find(std::uint32_t Group) const {
  const auto Found = m_Rows.find(Group);
  return Found == m_Rows.end() ? nullptr : &Found->second;
}

std::string LeaderTable::leaderOf(std::uint32_t Group) const {
  const GroupLeader *Known = find(Group);
  return Known ? Known->node() : std::string();
}

} // namespace psp::fleet
