/// \file
/// Accepts connections for as long as the acceptor is open.

#ifndef PSP_WEB_ACCEPTLOOP_H
#define PSP_WEB_ACCEPTLOOP_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string_view>

namespace psp::web {

/// Calls \p Handle with each connection. An exception is reported under \p Name
/// and ends only the connection that it concerns.
boost::asio::awaitable<void>
acceptConnections(boost::asio::ip::tcp::acceptor &Acceptor,
                  std::string_view Name,
                  std::function<void(boost::asio::ip::tcp::socket)> Handle);

} // namespace psp::web

#endif
