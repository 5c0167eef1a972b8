#include "operators/HttpConnector.h"

#include "base/Error.h"
#include "logging/Logging.h"
#include "web/AcceptLoop.h"
#include "web/Spawn.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <atomic>
#include <thread>
#include <utility>

namespace psp::operators {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Response = http::response<http::string_body>;

constexpr unsigned HttpVersion11 = 11;

Response makeResponse(http::status Status, const std::string &Type,
                      std::string Body) {
  Response Result(Status, HttpVersion11);
  Result.set(http::field::content_type, Type);
  Result.body() = std::move(Body);
  Result.prepare_payload();
  return Result;
}

} // namespace

class HttpConnector::Impl {
public:
  Impl(HttpConnectorOptions Options, HttpConnector &Owner)
      : m_Options(std::move(Options)), m_Owner(Owner), m_Acceptor(m_Context) {}

  void start() {
    const auto Ip = asio::ip::make_address(m_Options.m_Address.m_Ip);
    const tcp::endpoint Local(Ip, m_Options.m_Address.m_Port);
    m_Acceptor.open(Local.protocol());
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_Acceptor.bind(Local);
    m_Acceptor.listen();
    m_Port = m_Acceptor.local_endpoint().port();
    web::setFailureReporter(m_Context, [](std::string_view Name,
                                          const std::string &Reason) {
      LOG(ERROR) << logging::logLine(logging::Part::Operators,
                                     "coroutine " + std::string(Name) +
                                         " failed",
                                     {{logging::Field::Name::Kind, Reason}});
    });
    web::spawn(m_Context.get_executor(), "accept_operators",
               web::Lasting(*this), [](Impl &Self) {
                 return web::acceptConnections(Self.m_Acceptor,
                                               "accept_operators",
                                               [&Self](tcp::socket Socket) {
                                                 Self.open(std::move(Socket));
                                               });
               });
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  void stop() {
    m_Context.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }

  std::uint16_t port() const { return m_Port; }

private:
  void open(tcp::socket Socket) {
    if (m_Connections >= m_Options.m_MaxConnections)
      return;
    web::spawn(
        m_Context.get_executor(), "operator_connection", web::Lasting(*this),
        [Stream = beast::tcp_stream(std::move(Socket))](Impl &Self) mutable {
          return Self.serve(std::move(Stream));
        });
  }

  asio::awaitable<void> serve(beast::tcp_stream Stream) {
    ++m_Connections;
    try {
      beast::flat_buffer Buffer;
      bool KeepsOpen = true;
      while (KeepsOpen)
        KeepsOpen = co_await serveOne(Stream, Buffer);
    } catch (const std::exception &) {
      // The other side is gone or too slow; closing says all there is to say.
    }
    --m_Connections;
  }

  /// Reads and answers one request; returns whether another may follow.
  asio::awaitable<bool> serveOne(beast::tcp_stream &Stream,
                                 beast::flat_buffer &Buffer) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(m_Options.m_MaxBodyBytes);
    Stream.expires_after(m_Options.m_IdleTimeout);
    beast::error_code Error;
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
    const bool IsTooLarge = Error == http::error::body_limit;
    if (Error && !IsTooLarge)
      co_return false;
    Response Answer = IsTooLarge
                          ? makeResponse(http::status::payload_too_large,
                                         "text/plain", "body too large\n")
                          : answer(Parser.get());
    const bool KeepsOpen = !IsTooLarge && Parser.get().keep_alive();
    Answer.keep_alive(KeepsOpen);
    Stream.expires_after(m_Options.m_IdleTimeout);
    co_await http::async_write(Stream, Answer, asio::use_awaitable);
    co_return KeepsOpen;
  }

  Response answer(const http::request<http::string_body> &Request) {
    if (Request.method() != http::verb::post)
      return makeResponse(http::status::method_not_allowed, "text/plain",
                          "expected POST\n");
    std::string Result;
    try {
      m_Owner.GetHandler()->HandleRequest(Request.body(), Result);
    } catch (const std::exception &) {
      return makeResponse(http::status::bad_request, "text/plain",
                          "expected a JSON-RPC 2.0 request\n");
    }
    return makeResponse(http::status::ok, "application/json",
                        std::move(Result));
  }

  HttpConnectorOptions m_Options;
  HttpConnector &m_Owner;
  asio::io_context m_Context{1};
  tcp::acceptor m_Acceptor;
  std::thread m_Thread;
  std::size_t m_Connections = 0; ///< Touched by the thread only.
  std::uint16_t m_Port = 0;
};

HttpConnector::HttpConnector(HttpConnectorOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options), *this)) {}

HttpConnector::~HttpConnector() { m_Impl->stop(); }

bool HttpConnector::StartListening() {
  try {
    m_Impl->start();
  } catch (const boost::system::system_error &Error) {
    throw base::UserError(base::ErrorKind::InvalidConfiguration,
                          std::string("operator_address can't be bound: ") +
                              Error.what());
  }
  return true;
}

bool HttpConnector::StopListening() {
  m_Impl->stop();
  return true;
}

bool HttpConnector::SendResponse(const std::string & /*Response*/,
                                 void * /*Info*/) {
  return false;
}

std::uint16_t HttpConnector::port() const { return m_Impl->port(); }

} // namespace psp::operators
