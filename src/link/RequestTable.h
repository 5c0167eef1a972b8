/// \file
/// Waiting for something that another event brings, and the requests of this
/// process that wait for a reply.

#ifndef PSP_LINK_REQUESTTABLE_H
#define PSP_LINK_REQUESTTABLE_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace psp::link {

/// One coroutine waits; some other event wakes it, once.
class Waiter {
public:
  explicit Waiter(boost::asio::io_context &Io) : m_Timer(Io) {}

  /// False if \p Limit passed before fire().
  boost::asio::awaitable<bool> wait(base::Duration Limit);
  void fire(bool Success = true);

private:
  boost::asio::steady_timer m_Timer;
  std::optional<bool> m_Fired;
};

class RequestTable {
public:
  using Reply = messages::fleet::Reply;

  explicit RequestTable(boost::asio::io_context &Io) : m_Io(Io) {}

  std::uint64_t nextId() { return ++m_LastId; }
  /// Nothing if no reply came in time.
  boost::asio::awaitable<std::optional<Reply>> wait(std::uint64_t Id,
                                                    base::Duration Limit);
  void onReply(const Reply &Received);

private:
  struct Row {
    Waiter *m_Waiter = nullptr;
    Reply m_Reply;
  };

  boost::asio::io_context &m_Io;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Row *> m_Rows;
};

} // namespace psp::link

#endif
