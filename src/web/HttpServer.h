/// \file
/// A small HTTP server for requests whose bodies fit in memory: those of
/// operators, announcements of endpoints, readiness checks and metrics.

#ifndef PSP_WEB_HTTPSERVER_H
#define PSP_WEB_HTTPSERVER_H

#include "base/Time.h"
#include "link/LinkManager.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>

namespace psp::web {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

struct HttpServerOptions {
  link::PeerAddress m_Address;
  std::uint64_t m_MaxBodyBytes = 16U << 20U;
  /// A connection without a request is closed after this long.
  base::Duration m_IdleTimeout = base::seconds(30);
};

class HttpServer {
public:
  using Handler =
      std::function<boost::asio::awaitable<Response>(const Request &)>;

  HttpServer(boost::asio::io_context &Io, HttpServerOptions Options,
             Handler Handle);

  /// Starts listening. Throws if the address can't be bound.
  void start();

private:
  void serveInBackground(boost::asio::ip::tcp::socket Socket);
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &m_Io;
  HttpServerOptions m_Options;
  Handler m_Handle;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace psp::web

#endif
