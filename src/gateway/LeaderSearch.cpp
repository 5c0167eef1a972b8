#include "gateway/LeaderSearch.h"

#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;

asio::awaitable<LeaderSearch::Entry> LeaderSearch::enter(base::Duration Limit) {
  const base::TimePoint Until = base::readMonotonic() + Limit;
  while (m_Leader.empty() && m_Seeking) {
    const base::TimePoint Now = base::readMonotonic();
    if (Now >= Until)
      co_return Entry::TimedOut;
    link::Waiter Waiting(m_Io);
    m_Waiting.push_back(&Waiting);
    co_await Waiting.wait(
        std::chrono::duration_cast<base::Duration>(Until - Now));
    std::erase(m_Waiting, &Waiting);
  }
  if (!m_Leader.empty())
    co_return Entry::Go;
  m_Seeking = true;
  co_return Entry::Seek;
}

void LeaderSearch::leave() {
  m_Seeking = false;
  if (!m_Leader.empty() || m_Waiting.empty())
    return;
  link::Waiter *Next = m_Waiting.front();
  m_Waiting.pop_front();
  Next->fire();
}

void LeaderSearch::found(const std::string &Node, base::TimePoint Now) {
  m_AnsweredAt = Now;
  hear(Node);
}

void LeaderSearch::hear(const std::string &Node) {
  m_Leader = Node;
  m_Hint.clear();
  for (link::Waiter *Each : std::exchange(m_Waiting, {}))
    Each->fire();
}

void LeaderSearch::lost(const std::string &Node) {
  if (m_Leader == Node)
    m_Leader.clear();
  if (m_Hint == Node)
    m_Hint.clear();
}

} // namespace psp::gateway
