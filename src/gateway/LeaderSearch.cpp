#include "gateway/LeaderSearch.h"

#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;

asio::awaitable<LeaderSearch::WaitResult>
LeaderSearch::waitForLeader(base::Duration Timeout) {
  const base::TimePoint Deadline = base::readMonotonic() + Timeout;
  while (m_Leader.empty() && m_Searching) {
    const base::TimePoint Now = base::readMonotonic();
    if (Now >= Deadline)
      co_return WaitResult::TimedOut;
    link::Waiter LeaderWaiter(m_Io);
    m_Waiters.push_back(&LeaderWaiter);
    co_await LeaderWaiter.wait(
        std::chrono::duration_cast<base::Duration>(Deadline - Now));
    std::erase(m_Waiters, &LeaderWaiter);
  }
  if (!m_Leader.empty())
    co_return WaitResult::LeaderKnown;
  m_Searching = true;
  co_return WaitResult::Search;
}

void LeaderSearch::finishSearch() {
  m_Searching = false;
  if (!m_Leader.empty() || m_Waiters.empty())
    return;
  link::Waiter *Next = m_Waiters.front();
  m_Waiters.pop_front();
  Next->fire();
}

void LeaderSearch::confirmLeader(const std::string &Node, base::TimePoint Now) {
  m_LastReplyAt = Now;
  setLeader(Node);
}

void LeaderSearch::setLeader(const std::string &Node) {
  if (std::exchange(m_LastLeader, Node) != Node)
    m_ReplyTime = {};
  m_Leader = Node;
  m_Hint.clear();
  for (link::Waiter *Waiter : std::exchange(m_Waiters, {}))
    Waiter->fire();
}

void LeaderSearch::clearLeader(const std::string &Node) {
  if (m_Leader == Node)
    m_Leader.clear();
  if (m_Hint == Node)
    m_Hint.clear();
}

} // namespace psp::gateway
