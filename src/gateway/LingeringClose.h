/// \file
/// Ends a connection so that what was written to it still arrives.

#ifndef PSP_GATEWAY_LINGERINGCLOSE_H
#define PSP_GATEWAY_LINGERINGCLOSE_H

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace psp::gateway {

struct LingeringCloseOptions {
  /// A connection whose caller does not end it is closed after this time: some
  /// round trips, and the time in which a slow caller reads an answer.
  base::Duration m_MaxTime = base::seconds(1);
  /// Bytes of a caller that are discarded before its connection is closed.
  std::size_t m_MaxBytes = 4 * 1024 * 1024;
  /// Connections beyond this number are closed at once.
  std::size_t m_MaxConnections = 256;
};

/// Closes connections of callers. The kernel resets a connection that is closed
/// while bytes lie unread in it, or to which more are sent later, and discards
/// what its caller has not received yet. So only the sending side ends at
/// first, and what the caller still sends is discarded until it ends its own
/// side.
class LingeringClose {
public:
  explicit LingeringClose(LingeringCloseOptions Options = {})
      : m_Options(Options) {}
  LingeringClose(const LingeringClose &) = delete;
  LingeringClose &operator=(const LingeringClose &) = delete;

  /// \p Socket may have been closed already. It must outlive the wait.
  boost::asio::awaitable<void> close(boost::asio::ip::tcp::socket &Socket);
  /// Number of connections whose callers have not ended them yet.
  std::size_t connectionCount() const { return m_Connections; }

private:
  boost::asio::awaitable<void> discard(boost::asio::ip::tcp::socket &Socket);

  LingeringCloseOptions m_Options;
  std::size_t m_Connections = 0;
};

} // namespace psp::gateway

#endif
