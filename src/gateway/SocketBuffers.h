/// \file
/// Limits of what the system keeps for one connection.

#ifndef PSP_GATEWAY_SOCKETBUFFERS_H
#define PSP_GATEWAY_SOCKETBUFFERS_H

#include <boost/asio/socket_base.hpp>

namespace psp::gateway {

/// Bytes in each direction that the system may keep for a connection, unread or
/// unsent. The kernel allows itself as much again for its own data.
inline constexpr int SocketBufferBytes = 128 << 10;

/// Limits the buffers of \p Socket, or of all connections that an acceptor
/// takes. Must be called before it connects or listens, since the window's
/// scale depends on it. Load pattern: bytes that nobody reads yet count as
/// memory of this process, and by default the system keeps megabytes of them
/// for one connection.
template <typename Socket> void limitSocketBuffers(Socket &Limited) {
  namespace asio = boost::asio;
  boost::system::error_code Ignored; // The connection works without them.
  Limited.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes),
                     Ignored);
  Limited.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes),
                     Ignored);
}

} // namespace psp::gateway

#endif
