#include "gateway/CallerSession.h"

#include "gateway/Call.h"
#include "gateway/Gateway.h"
#include "gateway/IdleStep.h"
#include "gateway/RequestBodyReader.h"
#include "gateway/SlowTransfers.h"
#include "web/OperationTimeout.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <sys/socket.h>
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
  using Parser = RequestBodyReader::Parser;

  asio::awaitable<bool> waitForBytes();
  bool hasBytes();
  asio::awaitable<bool> serveRequest();
  asio::awaitable<bool> readRequest(Parser &RequestParser,
                                    CallMemory::Hold &Held);
  asio::awaitable<void> rejectUnreadable(boost::system::error_code Error);
  /// The connection is closed afterwards.
  asio::awaitable<void> writeRefusal(const CallMetadata &Metadata,
                                     const Refusal &Reason);
  void setTimeout(base::Duration Timeout);
  fleet::CallerLimits limits() const;

  Gateway &m_Gateway;
  tcp::socket m_Socket;
  web::OperationTimeout m_OperationTimeout;
  boost::beast::flat_buffer m_Buffer;
  base::Duration m_StatedLimit{0}; ///< By the latest response.
};

asio::awaitable<void> CallerSession::run() {
  auto Self = shared_from_this();
  boost::system::error_code Ignored; // The connection works without the option.
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  bool MayBeReused = true;
  while (MayBeReused) {
    const bool HasRequest = co_await waitForBytes();
    if (!HasRequest)
      break;
    MayBeReused = co_await serveRequest();
  }
  m_OperationTimeout.cancel();
  if (!MayBeReused) {
    const Gateway::ActiveCall Counted(m_Gateway);
    co_await m_Gateway.lingeringClose().close(m_Socket);
  }
  m_Socket.close(Ignored);
}

/// Whether to read a request. The idle timeout and a planned stop only end the
/// wait, so that a request that has arrived at the same moment is found.
asio::awaitable<bool> CallerSession::waitForBytes() {
  const base::TimePoint WaitingSince = base::readMonotonic();
  while (true) {
    const base::TimePoint Now = base::readMonotonic();
    const base::TimePoint Deadline =
        std::max(m_Gateway.idleLimit().deadline(WaitingSince),
                 WaitingSince + m_StatedLimit);
    const IdleStep Step = nextIdleStep({.m_HasBytes = hasBytes(),
                                        .m_Closing = m_Gateway.isClosing(),
                                        .m_Now = Now,
                                        .m_Deadline = Deadline});
    if (Step != IdleStep::Wait)
      co_return Step == IdleStep::Read;
    const auto EndWait = [this] {
      boost::system::error_code Ignored; // The wait reports its own error.
      m_Socket.cancel(Ignored);
    };
    m_OperationTimeout.set(Deadline - Now, EndWait);
    const std::uint64_t IdleId = m_Gateway.addIdleConnection(EndWait);
    boost::system::error_code Ignored; // What the socket holds decides.
    co_await m_Socket.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, Ignored));
    m_OperationTimeout.cancel();
    m_Gateway.removeIdleConnection(IdleId);
  }
}

/// Also true if the caller has closed its connection, which a read reports.
bool CallerSession::hasBytes() {
  if (m_Buffer.size() > 0)
    return true;
  char Byte = 0;
  return ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >=
             0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// Returns whether the connection may be reused.
asio::awaitable<bool> CallerSession::serveRequest() {
  const Gateway::ActiveCall Counted(m_Gateway);
  Parser RequestParser;
  CallMemory::Hold Held(m_Gateway.callMemory(), CallDirection::Request);
  if (!co_await readRequest(RequestParser, Held))
    co_return false;
  ConnectionUse Use = ConnectionUse::Close;
  if (RequestParser.keep_alive() && m_Buffer.size() > 0)
    Use = ConnectionUse::KeepForNextRequest;
  else if (RequestParser.keep_alive() && !m_Gateway.isStopping())
    Use = ConnectionUse::Keep;
  const bool Large = Held.bytes() > m_Gateway.callMemory().smallBytes();
  const base::TimePoint HeldSince = base::readMonotonic();
  auto CurrentCall = std::make_shared<Call>(
      m_Gateway, m_Socket, RequestParser.release(), std::move(Held), Use);
  m_StatedLimit = CurrentCall->idleLimit();
  const bool MayBeReused = co_await CurrentCall->run();
  if (Large)
    m_Gateway.callMemory().recordLargeHold(base::readMonotonic() - HeldSince);
  co_return MayBeReused;
}

asio::awaitable<bool> CallerSession::readRequest(Parser &RequestParser,
                                                 CallMemory::Hold &Held) {
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
    RequestBodyReader Body(m_Gateway, m_Socket, m_Buffer, RequestParser,
                           Limits.m_BodyBytes);
    const bool Read = co_await Body.read();
    if (!Read && Body.refusal()) {
      co_await writeRefusal(Body.metadata(), *Body.refusal());
      co_return false;
    }
    Held = Body.takeHold();
    Error = Body.error();
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
  const Refusal Reason(Kind, Error.message());
  const CallMetadata NotKnown;
  co_await writeRefusal(NotKnown, Reason);
}

asio::awaitable<void> CallerSession::writeRefusal(const CallMetadata &Metadata,
                                                  const Refusal &Reason) {
  Response ErrorResponse = m_Gateway.protocol().makeRefusal(Metadata, Reason);
  ErrorResponse.keep_alive(false);
  ErrorResponse.prepare_payload();
  setTimeout(CallerStallLimits.m_Usual);
  boost::system::error_code Ignored; // The connection is closed either way.
  co_await http::async_write(
      m_Socket, ErrorResponse,
      asio::redirect_error(asio::use_awaitable, Ignored));
  m_OperationTimeout.cancel();
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
  web::spawn(Owner.io().get_executor(), "caller_session", Session,
             [](CallerSession &Self) { return Self.run(); });
}

} // namespace psp::gateway
