#include "web/HttpServer.h"

#include "web/AcceptLoop.h"
#include "web/OperationTimeout.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace psp::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

HttpServer::HttpServer(asio::io_context &Io, HttpServerOptions Options,
                       Handler Handle)
    : m_Io(Io), m_Options(std::move(Options)), m_Handle(std::move(Handle)),
      m_Acceptor(Io) {}

void HttpServer::start() {
  const tcp::endpoint ListenAddress(
      asio::ip::make_address(m_Options.m_Address.m_Host),
      m_Options.m_Address.m_Port);
  m_Acceptor.open(ListenAddress.protocol());
  m_Acceptor.set_option(asio::socket_base::reuse_address(true));
  m_Acceptor.bind(ListenAddress);
  m_Acceptor.listen();
  spawn(m_Io.get_executor(), "accept_http", Lasting(*this),
        [](HttpServer &Self) {
          return acceptConnections(Self.m_Acceptor, "accept_http",
                                   [&Self](tcp::socket Socket) {
                                     Self.serveInBackground(std::move(Socket));
                                   });
        });
}

void HttpServer::serveInBackground(tcp::socket Socket) {
  spawn(m_Io.get_executor(), "http_connection", Lasting(*this),
        [Socket = std::move(Socket)](HttpServer &Self) mutable {
          return Self.serve(std::move(Socket));
        });
}

asio::awaitable<void> HttpServer::serve(tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  OperationTimeout IdleTimeout(m_Io.get_executor());
  boost::system::error_code Error;
  Socket.set_option(tcp::no_delay(true), Error);
  bool KeepAlive = true;
  while (KeepAlive) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(m_Options.m_MaxBodyBytes);
    IdleTimeout.set(m_Options.m_IdleTimeout, [&Socket] {
      boost::system::error_code Ignored; // The read reports its own error.
      Socket.close(Ignored);
    });
    co_await http::async_read(Socket, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
    IdleTimeout.cancel();
    if (Error)
      co_return;
    KeepAlive = Parser.keep_alive();
    Response HandlerResponse = co_await m_Handle(Parser.get());
    HandlerResponse.keep_alive(KeepAlive);
    HandlerResponse.prepare_payload();
    co_await http::async_write(
        Socket, HandlerResponse,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return;
  }
}

} // namespace psp::web
