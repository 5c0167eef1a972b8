/// \file
/// Who of this instance's calls may ask for a leader while none is known.

#ifndef PSP_GATEWAY_LEADERSEARCH_H
#define PSP_GATEWAY_LEADERSEARCH_H

#include "base/Time.h"
#include "link/RequestTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>

namespace psp::gateway {

/// Load pattern: a leader is lost, or everything restarts, while calls go on
/// coming. If each of them asked around by itself, the next leader would spend
/// its first second on answering that it doesn't lead yet. So one asks, and the
/// others go on when it has found the leader.
class LeaderSearch {
public:
  explicit LeaderSearch(boost::asio::io_context &Io) : m_Io(Io) {}

  enum class Entry {
    Go,      ///< A leader is believed in.
    Seek,    ///< None is, and the caller is the one that looks; see leave().
    TimedOut ///< Neither came about in time.
  };
  boost::asio::awaitable<Entry> enter(base::Duration Limit);
  /// The one that looked has done its try.
  void leave();

  /// \p Node has answered as the leader.
  void found(const std::string &Node, base::TimePoint Now);
  /// \p Node says that it leads now.
  void hear(const std::string &Node);
  /// \p Node isn't the leader, or didn't answer.
  void lost(const std::string &Node);
  /// Some node believes that \p Node leads: the next one to be asked.
  void hint(const std::string &Node) { m_Hint = Node; }

  /// When a leader answered last.
  base::TimePoint answeredAt() const { return m_AnsweredAt; }
  /// Empty while unknown.
  const std::string &leader() const { return m_Leader; }
  const std::string &hinted() const { return m_Hint; }

private:
  boost::asio::io_context &m_Io;
  std::string m_Leader;
  std::string m_Hint;
  base::TimePoint m_AnsweredAt;
  bool m_Seeking = false;
  std::deque<link::Waiter *> m_Waiting;
};

} // namespace psp::gateway

#endif
