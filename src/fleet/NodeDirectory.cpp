#include "fleet/NodeDirectory.h"

#include <algorithm>
#include <utility>

namespace psp::fleet {

bool NodeDirectory::merge(const NodeState &News, base::TimePoint Now) {
  const auto [Found, Fresh] = m_Rows.try_emplace(News.name());
  Row &Known = Found->second;
  const auto Order = [](const NodeState &State) {
    return std::pair(State.incarnation(), State.revision());
  };
  if (!Fresh && Order(News) <= Order(Known.m_State))
    return false;
  if (Known.m_State.member() != News.member())
    m_ByMember.erase(Known.m_State.member());
  if (!News.member().empty())
    m_ByMember[News.member()] = News.name();
  Known.m_State = News;
  Known.m_HeardAt = Now;
  return true;
}

void NodeDirectory::touch(const std::string &Name, base::TimePoint Now) {
  const auto Found = m_Rows.find(Name);
  if (Found != m_Rows.end())
    Found->second.m_HeardAt = Now;
}

void NodeDirectory::forget(base::Duration Age, base::TimePoint Now) {
  std::erase_if(m_Rows, [&](const auto &Entry) {
    if (Now - Entry.second.m_HeardAt <= Age)
      return false;
    m_ByMember.erase(Entry.second.m_State.member());
    return true;
  });
}

const NodeState *NodeDirectory::find(const std::string &Name) const {
  const auto Found = m_Rows.find(Name);
  return Found == m_Rows.end() ? nullptr : &Found->second.m_State;
}

const NodeState *NodeDirectory::findMember(const std::string &Identity) const {
  const auto Found = m_ByMember.find(Identity);
  return Found == m_ByMember.end() ? nullptr : find(Found->second);
}

std::vector<NodeState> NodeDirectory::ofKind(NodeKind Kind) const {
  std::vector<NodeState> States;
  for (const auto &[Name, Known] : m_Rows)
    if (Known.m_State.kind() == Kind)
      States.push_back(Known.m_State);
  return States;
}

std::vector<NodeState> NodeDirectory::all() const {
  std::vector<NodeState> States;
  for (const auto &[Name, Known] : m_Rows)
    States.push_back(Known.m_State);
  return States;
}

std::optional<base::TimePoint>
NodeDirectory::heardAt(const std::string &Name) const {
  const auto Found = m_Rows.find(Name);
  return Found == m_Rows.end() ? std::nullopt
                               : std::optional(Found->second.m_HeardAt);
}

} // namespace psp::fleet
