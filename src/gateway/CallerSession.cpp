#include "gateway/CallerSession.h"

#include "gateway/Call.h"
#include "gateway/Gateway.h"
#include "web/OperationLimit.h"

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

/// A request's body must come in this time after its head.
constexpr base::Duration BodyTimeout = base::seconds(10);

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(Gateway &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)),
        m_Timer(Owner.io().get_executor()) {}

  asio::awaitable<void> run();

private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> waitForBytes();
  asio::awaitable<bool> readRequest(Parser &Reading);
  asio::awaitable<void> refuseUnreadable(boost::system::error_code Error);
  void limit(base::Duration Time);
  fleet::CallerLimits limits() const;

  Gateway &m_Owner;
  tcp::socket m_Socket;
  web::OperationLimit m_Timer;
  boost::beast::flat_buffer m_Buffer;
};

asio::awaitable<void> CallerSession::run() {
  auto Self = shared_from_this();
  boost::system::error_code Ignored; // The connection works without it.
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  bool KeepAlive = true;
  while (KeepAlive) {
    if (!co_await waitForBytes())
      break;
    Parser Reading;
    if (!co_await readRequest(Reading))
      break;
    const bool WantsMore = Reading.keep_alive();
    auto Handling = std::make_shared<Call>(m_Owner, m_Socket, Reading.release(),
                                           WantsMore && !m_Owner.isStopping());
    m_Owner.onCallBegun();
    KeepAlive = co_await Handling->run();
    m_Owner.onCallEnded();
  }
  m_Timer.cancel();
  m_Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
}

asio::awaitable<bool> CallerSession::waitForBytes() {
  if (m_Buffer.size() > 0)
    co_return true;
  if (m_Owner.isClosing())
    co_return false;
  limit(limits().m_IdleTimeout);
  const std::uint64_t Idle = m_Owner.addIdle([this] {
    boost::system::error_code Ignored; // The wait reports its own.
    m_Socket.close(Ignored);
  });
  boost::system::error_code Error;
  co_await m_Socket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, Error));
  m_Owner.removeIdle(Idle);
  co_return !Error;
}

asio::awaitable<bool> CallerSession::readRequest(Parser &Reading) {
  const fleet::CallerLimits Limits = limits();
  Reading.header_limit(Limits.m_HeaderBytes);
  Reading.body_limit(Limits.m_BodyBytes);
  limit(Limits.m_HeaderTimeout);
  boost::system::error_code Error;
  co_await http::async_read_header(
      m_Socket, m_Buffer, Reading,
      asio::redirect_error(asio::use_awaitable, Error));
  if (!Error && !Reading.is_done()) {
    limit(BodyTimeout);
    if (Reading.get()[http::field::expect] == "100-continue") {
      http::response<http::empty_body> Go(http::status::continue_, 11);
      co_await http::async_write(
          m_Socket, Go, asio::redirect_error(asio::use_awaitable, Error));
    }
    if (!Error)
      co_await http::async_read(
          m_Socket, m_Buffer, Reading,
          asio::redirect_error(asio::use_awaitable, Error));
  }
  m_Timer.cancel();
  if (Error)
    co_await refuseUnreadable(Error);
  co_return !Error;
}

asio::awaitable<void>
CallerSession::refuseUnreadable(boost::system::error_code Error) {
  base::ErrorKind Kind = base::ErrorKind::BadRequest;
  if (Error == http::error::end_of_stream || !m_Socket.is_open() ||
      Error.category() !=
          http::make_error_code(http::error::end_of_stream).category())
    co_return;
  if (Error == http::error::body_limit)
    Kind = base::ErrorKind::BodyTooLarge;
  m_Owner.node().log().write("request_unreadable",
                             {{"reason", Error.message()}});
  Response Answer =
      m_Owner.protocol().makeRefusal({}, Refusal(Kind, Error.message()));
  Answer.keep_alive(false);
  Answer.prepare_payload();
  boost::system::error_code Ignored; // The connection ends either way.
  co_await http::async_write(
      m_Socket, Answer, asio::redirect_error(asio::use_awaitable, Ignored));
}

void CallerSession::limit(base::Duration Time) {
  m_Timer.set(Time, [this] {
    boost::system::error_code Ignored; // The read reports its own.
    m_Socket.close(Ignored);
  });
}

fleet::CallerLimits CallerSession::limits() const {
  return m_Owner.table() ? m_Owner.table()->configuration().m_Limits
                         : fleet::CallerLimits{};
}

} // namespace

void startSession(Gateway &Owner, tcp::socket Socket) {
  auto Session = std::make_shared<CallerSession>(Owner, std::move(Socket));
  asio::co_spawn(
      Owner.io(), [Session] { return Session->run(); }, asio::detached);
}

} // namespace psp::gateway
