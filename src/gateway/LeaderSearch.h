/// \file
/// Decides which call of this instance searches for a leader while none is
/// known.

#ifndef PSP_GATEWAY_LEADERSEARCH_H
#define PSP_GATEWAY_LEADERSEARCH_H

#include "base/Time.h"
#include "link/ReplyTimeEstimate.h"
#include "link/RequestTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>

namespace psp::gateway {

/// Load pattern: a leader fails, or everything restarts, while calls keep
/// arriving. If each call queried the nodes itself, the next leader would spend
/// its first second replying that it is not the leader yet. So one call
/// searches, and the others proceed when it has found the leader.
class LeaderSearch {
public:
  explicit LeaderSearch(boost::asio::io_context &Io) : m_Io(Io) {}

  enum class WaitResult {
    LeaderKnown, ///< The call may send to leader().
    Search,      ///< The call must search, and then call finishSearch().
    TimedOut     ///< Neither happened within the timeout.
  };
  /// Waits until a leader is known or no other call is searching for one.
  boost::asio::awaitable<WaitResult> waitForLeader(base::Duration Timeout);
  /// Ends the search of the call that got WaitResult::Search. If it found no
  /// leader, the next waiting call searches.
  void finishSearch();

  /// \p Node has replied as the leader.
  void confirmLeader(const std::string &Node, base::TimePoint Now);
  /// \p Node announced that it is the leader now.
  void setLeader(const std::string &Node);
  /// \p Node is not the leader, or did not reply.
  void clearLeader(const std::string &Node);
  /// Another node named \p Node as the leader, so it is queried next.
  void setHint(const std::string &Node) { m_Hint = Node; }

  /// The leader took \p ReplyTime for a request.
  void recordReplyTime(base::Duration ReplyTime) {
    m_ReplyTime.observe(ReplyTime);
  }
  /// The time after which the leader's reply is lost rather than late.
  base::Duration replyTimeout(base::Duration Min, base::Duration Max) const {
    return m_ReplyTime.timeout(Min, Max);
  }

  /// When a leader last replied.
  base::TimePoint lastReplyAt() const { return m_LastReplyAt; }
  /// Empty while no leader is known.
  const std::string &leader() const { return m_Leader; }
  const std::string &hint() const { return m_Hint; }

private:
  boost::asio::io_context &m_Io;
  std::string m_Leader;
  std::string m_Hint;
  base::TimePoint m_LastReplyAt;
  link::ReplyTimeEstimate m_ReplyTime; ///< Of the last leader.
  std::string m_LastLeader;
  bool m_Searching = false;
  std::deque<link::Waiter *> m_Waiters;
};

} // namespace psp::gateway

#endif
