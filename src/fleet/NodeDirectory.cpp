#include "fleet/NodeDirectory.h"

#include <algorithm>
#include <utility>

namespace psp::fleet {

bool NodeDirectory::merge(const NodeState &Update, base::TimePoint Now) {
  const auto [It, Inserted] = m_Entries.try_emplace(Update.name());
  NodeEntry &Entry = It->second;
  const auto Version = [](const NodeState &State) {
    return std::pair(State.incarnation(), State.revision());
  };
  if (!Inserted && Version(Update) <= Version(Entry.m_State))
    return false;
  if (Entry.m_State.member() != Update.member())
    m_ByMember.erase(Entry.m_State.member());
  if (!Update.member().empty())
    m_ByMember[Update.member()] = Update.name();
  Entry.m_State = Update;
  Entry.m_LastSeenAt = Now;
  return true;
}

void NodeDirectory::touch(const std::string &Name, base::TimePoint Now) {
  const auto It = m_Entries.find(Name);
  if (It != m_Entries.end())
    It->second.m_LastSeenAt = Now;
}

void NodeDirectory::expire(base::Duration MaxAge, base::TimePoint Now) {
  std::erase_if(m_Entries, [&](const auto &Entry) {
    if (Now - Entry.second.m_LastSeenAt <= MaxAge)
      return false;
    m_ByMember.erase(Entry.second.m_State.member());
    return true;
  });
}

const NodeState *NodeDirectory::find(const std::string &Name) const {
  const auto It = m_Entries.find(Name);
  return It == m_Entries.end() ? nullptr : &It->second.m_State;
}

const NodeState *NodeDirectory::findMember(const std::string &Identity) const {
  const auto It = m_ByMember.find(Identity);
  return It == m_ByMember.end() ? nullptr : find(It->second);
}

std::vector<NodeState> NodeDirectory::ofKind(NodeKind Kind) const {
  std::vector<NodeState> States;
  for (const auto &[Name, Entry] : m_Entries)
    if (Entry.m_State.kind() == Kind)
      States.push_back(Entry.m_State);
  return States;
}

std::vector<NodeState> NodeDirectory::all() const {
  std::vector<NodeState> States;
  for (const auto &[Name, Entry] : m_Entries)
    States.push_back(Entry.m_State);
  return States;
}

std::optional<base::TimePoint>
NodeDirectory::lastSeenAt(const std::string &Name) const {
  const auto It = m_Entries.find(Name);
  return It == m_Entries.end() ? std::nullopt
                               : std::optional(It->second.m_LastSeenAt);
}

} // namespace psp::fleet
