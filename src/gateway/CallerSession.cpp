#include "gateway/CallerSession.h"

#include "gateway/Call.h"
#include "gateway/Gateway.h"
#include "web/OperationTimeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// A request's body must arrive within this time after its head.
constexpr base::Duration BodyTimeout = base::seconds(10);

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(Gateway &Owner, tcp::socket Socket)
      : m_Gateway(Owner), m_Socket(std::move(Socket)),
        m_OperationTimeout(Owner.io().get_executor()) {}

  asio::awaitable<void> run();

private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> waitForBytes();
  asio::awaitable<bool> readRequest(Parser &RequestParser);
  asio::awaitable<void> rejectUnreadable(boost::system::error_code Error);
  void setTimeout(base::Duration Timeout);
  fleet::CallerLimits limits() const;

  Gateway &m_Gateway;
  tcp::socket m_Socket;
  web::OperationTimeout m_OperationTimeout;
  boost::beast::flat_buffer m_Buffer;
};

asio::awaitable<void> CallerSession::run() {
  auto Self = shared_from_this();
  boost::system::error_code Ignored; // The connection works without the option.
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  bool KeepAlive = true;
  while (KeepAlive) {
    if (!co_await waitForBytes())
      break;
    Parser RequestParser;
    if (!co_await readRequest(RequestParser))
      break;
    const bool WantsKeepAlive = RequestParser.keep_alive();
    auto CurrentCall =
        std::make_shared<Call>(m_Gateway, m_Socket, RequestParser.release(),
                               WantsKeepAlive && !m_Gateway.isStopping());
    m_Gateway.onCallBegun();
    KeepAlive = co_await CurrentCall->run();
    m_Gateway.onCallEnded();
  }
  m_OperationTimeout.cancel();
  m_Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
}

asio::awaitable<bool> CallerSession::waitForBytes() {
  if (m_Buffer.size() > 0)
    co_return true;
  if (m_Gateway.isClosing())
    co_return false;
  setTimeout(limits().m_IdleTimeout);
  const std::uint64_t IdleId = m_Gateway.addIdleConnection([this] {
    boost::system::error_code Ignored; // The wait reports its own error.
    m_Socket.close(Ignored);
  });
  boost::system::error_code Error;
  co_await m_Socket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, Error));
  m_Gateway.removeIdleConnection(IdleId);
  co_return !Error;
}

asio::awaitable<bool> CallerSession::readRequest(Parser &RequestParser) {
  const fleet::CallerLimits Limits = limits();
  RequestParser.header_limit(Limits.m_HeaderBytes);
  RequestParser.body_limit(Limits.m_BodyBytes);
  setTimeout(Limits.m_HeaderTimeout);
  boost::system::error_code Error;
  co_await http::async_read_header(
      m_Socket, m_Buffer, RequestParser,
      asio::redirect_error(asio::use_awaitable, Error));
  if (!Error && !RequestParser.is_done()) {
    setTimeout(BodyTimeout);
    if (RequestParser.get()[http::field::expect] == "100-continue") {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      co_await http::async_write(
          m_Socket, Continue, asio::redirect_error(asio::use_awaitable, Error));
    }
    if (!Error)
      co_await http::async_read(
          m_Socket, m_Buffer, RequestParser,
          asio::redirect_error(asio::use_awaitable, Error));
  }
  m_OperationTimeout.cancel();
  if (Error)
    co_await rejectUnreadable(Error);
  co_return !Error;
}

asio::awaitable<void>
CallerSession::rejectUnreadable(boost::system::error_code Error) {
  base::ErrorKind Kind = base::ErrorKind::BadRequest;
  if (Error == http::error::end_of_stream || !m_Socket.is_open() ||
      Error.category() !=
          http::make_error_code(http::error::end_of_stream).category())
    co_return;
  if (Error == http::error::body_limit)
    Kind = base::ErrorKind::BodyTooLarge;
  m_Gateway.node().log().write("request_unreadable",
                               {{"reason", Error.message()}});
  Response ErrorResponse =
      m_Gateway.protocol().makeRefusal({}, Refusal(Kind, Error.message()));
  ErrorResponse.keep_alive(false);
  ErrorResponse.prepare_payload();
  boost::system::error_code Ignored; // The connection is closed either way.
  co_await http::async_write(
      m_Socket, ErrorResponse,
      asio::redirect_error(asio::use_awaitable, Ignored));
}

void CallerSession::setTimeout(base::Duration Timeout) {
  m_OperationTimeout.set(Timeout, [this] {
    boost::system::error_code Ignored; // The read reports its own error.
    m_Socket.close(Ignored);
  });
}

fleet::CallerLimits CallerSession::limits() const {
  return m_Gateway.routeTable()
             ? m_Gateway.routeTable()->configuration().m_Limits
             : fleet::CallerLimits{};
}

} // namespace

void startSession(Gateway &Owner, tcp::socket Socket) {
  auto Session = std::make_shared<CallerSession>(Owner, std::move(Socket));
  asio::co_spawn(
      Owner.io(), [Session] { return Session->run(); }, asio::detached);
}

} // namespace psp::gateway
