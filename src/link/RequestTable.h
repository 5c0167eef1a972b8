/// \file
/// Waiting for a one-time event, and the requests of this process that are
/// waiting for a reply.

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

/// Lets one coroutine wait until another handler calls fire(). Works once.
class Waiter {
public:
  explicit Waiter(boost::asio::io_context &Io) : m_Timer(Io) {}

  /// Returns the value given to fire(), or false if \p Timeout has passed
  /// before it was called.
  boost::asio::awaitable<bool> wait(base::Duration Timeout);
  void fire(bool Success = true);

private:
  boost::asio::steady_timer m_Timer;
  std::optional<bool> m_Result;
};

class RequestTable {
public:
  using Reply = messages::fleet::Reply;

  explicit RequestTable(boost::asio::io_context &Io) : m_Io(Io) {}

  std::uint64_t nextId() { return ++m_LastId; }
  /// Returns the reply to the request \p Id, or nothing if none has arrived
  /// within \p Timeout.
  boost::asio::awaitable<std::optional<Reply>> wait(std::uint64_t Id,
                                                    base::Duration Timeout);
  /// Returns false if no request waits for \p Received.
  bool onReply(const Reply &Received);

private:
  struct PendingRequest {
    Waiter *m_Waiter = nullptr;
    Reply m_Reply;
  };

  boost::asio::io_context &m_Io;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, PendingRequest *> m_Pending;
};

} // namespace psp::link

#endif
