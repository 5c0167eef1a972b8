#include "history/SlotRequestTable.h"

#include <utility>

namespace psp::history {

bool SlotRequestTable::join(const std::string &Node, const Request &Asked) {
  const auto Found = m_ByTurn.find(Asked.begin().turn());
  if (Found == m_ByTurn.end())
    return false;
  Pending &Known = m_Rows.at(Found->second);
  Known.m_Node = Node;
  Known.m_Request.set_id(Asked.id());
  return true;
}

std::uint64_t SlotRequestTable::add(Pending Asked) {
  const std::uint64_t Id = ++m_LastId;
  m_ByTurn[Asked.m_Request.begin().turn()] = Id;
  m_Rows[Id] = std::move(Asked);
  return Id;
}

const SlotRequestTable::Pending *
SlotRequestTable::find(std::uint64_t Id) const {
  const auto Found = m_Rows.find(Id);
  return Found == m_Rows.end() ? nullptr : &Found->second;
}

std::optional<SlotRequestTable::Pending>
SlotRequestTable::take(std::uint64_t Id) {
  const auto Found = m_Rows.find(Id);
  if (Found == m_Rows.end())
    return std::nullopt;
  Pending Taken = std::move(Found->second);
  m_Rows.erase(Found);
  m_ByTurn.erase(Taken.m_Request.begin().turn());
  return Taken;
}

std::vector<std::uint64_t>
SlotRequestTable::takeUnanswered(base::TimePoint Now) {
  std::vector<std::uint64_t> Ids;
  for (auto &[Id, Each] : m_Rows) {
    if (Now - Each.m_SentAt < m_Options.m_ResendInterval)
      continue;
    Each.m_SentAt = Now;
    Ids.push_back(Id);
  }
  return Ids;
}

std::vector<SlotRequestTable::Pending>
SlotRequestTable::takeOverdue(base::TimePoint Now) {
  auto Overdue = takeIf([&](const Pending &Each) {
    return Now - Each.m_ArrivedAt >= m_Options.m_Limit;
  });
  m_GranterMissing = m_GranterMissing || !Overdue.empty();
  return Overdue;
}

std::vector<SlotRequestTable::Pending>
SlotRequestTable::takeGroup(std::uint32_t Group) {
  return takeIf(
      [&](const Pending &Each) { return Each.m_Request.group() == Group; });
}

template <typename Condition>
std::vector<SlotRequestTable::Pending>
SlotRequestTable::takeIf(Condition Matches) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Each] : m_Rows)
    if (Matches(Each))
      Ids.push_back(Id);
  std::vector<Pending> Taken;
  Taken.reserve(Ids.size());
  for (const std::uint64_t Id : Ids)
    Taken.push_back(std::move(*take(Id)));
  return Taken;
}

} // namespace psp::history
