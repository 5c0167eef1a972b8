#include "history/SlotRequestTable.h"

#include <algorithm>
#include <utility>

namespace psp::history {

bool SlotRequestTable::coalesce(const fleet::ReplyAddress &From,
                                const Request &Repeated) {
  const auto It = m_IdsByTurn.find(Repeated.begin().turn());
  if (It == m_IdsByTurn.end())
    return false;
  PendingRequest &Pending = m_Requests.at(It->second);
  Pending.m_From = From;
  Pending.m_Request.set_id(Repeated.id());
  return true;
}

std::uint64_t SlotRequestTable::add(PendingRequest Added) {
  const std::uint64_t Id = ++m_LastId;
  m_IdsByTurn[Added.m_Request.begin().turn()] = Id;
  m_Requests[Id] = std::move(Added);
  return Id;
}

const SlotRequestTable::PendingRequest *
SlotRequestTable::find(std::uint64_t Id) const {
  const auto It = m_Requests.find(Id);
  return It == m_Requests.end() ? nullptr : &It->second;
}

std::optional<SlotRequestTable::PendingRequest>
SlotRequestTable::take(std::uint64_t Id) {
  const auto It = m_Requests.find(Id);
  if (It == m_Requests.end())
    return std::nullopt;
  PendingRequest Taken = std::move(It->second);
  m_Requests.erase(It);
  m_IdsByTurn.erase(Taken.m_Request.begin().turn());
  return Taken;
}

std::vector<std::uint64_t>
SlotRequestTable::takeDueForResend(base::TimePoint Now) {
  std::vector<std::uint64_t> Ids;
  const base::Duration Interval =
      m_ReplyTime.timeout(m_Options.m_ResendInterval, m_Options.m_SlowTimeout);
  for (auto &[Id, Pending] : m_Requests) {
    if (Now - Pending.m_SentAt < Interval)
      continue;
    Pending.m_SentAt = Now;
    Ids.push_back(Id);
  }
  return Ids;
}

std::vector<SlotRequestTable::PendingRequest>
SlotRequestTable::takeOverdue(base::TimePoint Now, const IsHeard &Heard) {
  return takeIf([&](const PendingRequest &Pending) {
    const base::Duration Age = Now - Pending.m_ArrivedAt;
    if (Age < m_Options.m_Timeout)
      return false;
    if (!Heard(Pending.m_Request.begin().service())) {
      m_AllocatorUnreachable = true;
      return true;
    }
    return Pending.m_NewProgram || Age >= m_Options.m_SlowTimeout;
  });
}

bool SlotRequestTable::isAllocatorLate(const std::string &Service,
                                       base::TimePoint Now) const {
  // Identifiers grow with the time of arrival, so the first is the oldest.
  const auto Oldest = std::ranges::find_if(m_Requests, [&](const auto &Entry) {
    return Entry.second.m_Request.begin().service() == Service;
  });
  return Oldest != m_Requests.end() &&
         Now - Oldest->second.m_ArrivedAt >= m_Options.m_LateTime;
}

void SlotRequestTable::recordReply(std::uint64_t Id, base::TimePoint Now) {
  m_AllocatorUnreachable = false;
  if (const PendingRequest *Pending = find(Id))
    m_ReplyTime.observe(Now - Pending->m_ArrivedAt);
}

std::vector<SlotRequestTable::PendingRequest>
SlotRequestTable::takeGroup(std::uint32_t Group) {
  return takeIf([&](const PendingRequest &Pending) {
    return Pending.m_Request.group() == Group;
  });
}

template <typename Condition>
std::vector<SlotRequestTable::PendingRequest>
SlotRequestTable::takeIf(Condition Matches) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Pending] : m_Requests)
    if (Matches(Pending))
      Ids.push_back(Id);
  std::vector<PendingRequest> Taken;
  Taken.reserve(Ids.size());
  for (const std::uint64_t Id : Ids)
    Taken.push_back(std::move(*take(Id)));
  return Taken;
}

} // namespace psp::history
