#include "gateway/EndpointChannel.h"

#include "base/ResponseStatus.h"
#include "gateway/SocketBuffers.h"
#include "web/OperationTimeout.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadBufferBytes = 8U << 10U;
constexpr std::uint32_t MaxHeadBytes = 32U << 10U;
/// Maximum interim responses before a response.
constexpr int MaxInterimResponses = 8;
/// A connection fails after this time without an acknowledgement, whether of
/// bytes, of the kernel's keep-alive probes, or that a full receive window has
/// room again. The last one also comes from an endpoint that pauses before it
/// has read a long request, so the time is longer than such a pause.
constexpr int UserTimeoutMs = 2500;
/// Times of the kernel's keep-alive probes, in seconds. They detect a
/// connection that is lost while nothing is being sent. The kernel of an
/// endpoint that pauses still answers them. UserTimeoutMs limits their number.
constexpr int KeepAliveIdleS = 1;
constexpr int KeepAliveIntervalS = 1;

std::optional<tcp::endpoint> parseAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  boost::system::error_code Error;
  const auto Host = asio::ip::make_address(Address.substr(0, Colon), Error);
  if (Error || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return tcp::endpoint(Host, Port);
}

} // namespace

std::string_view framingName(ResponseFraming Framing) {
  switch (Framing) {
  case ResponseFraming::Length:
    return "length";
  case ResponseFraming::Chunked:
    return "chunked";
  case ResponseFraming::UntilClose:
    return "until_close";
  }
  return "unknown";
}

std::string_view reachabilityName(Reachability Value) {
  switch (Value) {
  case Reachability::Accepts:
    return "yes";
  case Reachability::Refuses:
    return "no";
  case Reachability::Silent:
    break;
  }
  return "unknown";
}

EndpointChannel::EndpointChannel(asio::io_context &Io, std::string Address)
    : m_Io(Io), m_Address(std::move(Address)), m_Socket(Io) {}

asio::awaitable<Reachability> EndpointChannel::connect(base::Duration Timeout) {
  const auto Target = parseAddress(m_Address);
  if (!Target)
    co_return Reachability::Refuses;
  web::OperationTimeout Timer(m_Io.get_executor());
  Timer.set(Timeout, [this] { abort(); });
  boost::system::error_code Error;
  m_Socket.open(Target->protocol(), Error);
  if (!Error)
    limitSocketBuffers(m_Socket);
  co_await m_Socket.async_connect(
      *Target, asio::redirect_error(asio::use_awaitable, Error));
  Timer.cancel();
  if (Error == asio::error::connection_refused ||
      Error == asio::error::connection_reset)
    co_return Reachability::Refuses;
  if (Error || !m_Socket.is_open())
    co_return Reachability::Silent;
  boost::system::error_code Ignored; // The connection works without them.
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const auto SetTcpOption = [&]<int Name>(int Value) {
    m_Socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, Name>(Value),
        Ignored);
  };
  SetTcpOption.operator()<TCP_USER_TIMEOUT>(UserTimeoutMs);
  SetTcpOption.operator()<TCP_KEEPIDLE>(KeepAliveIdleS);
  SetTcpOption.operator()<TCP_KEEPINTVL>(KeepAliveIntervalS);
  co_return Reachability::Accepts;
}

asio::awaitable<bool>
EndpointChannel::send(OutgoingRequest &Out,
                      std::function<void(std::size_t)> OnSent) {
  boost::system::error_code Error;
  m_Used = true;
  m_SentWhole = false;
  m_SentBytes = 0;
  m_SentHead = Out.method() == http::verb::head;
  http::request_serializer<ForwardedBody> Serializer(Out);
  // The serializer's first buffers are the head and the whole body.
  Serializer.next(Error, [&](boost::system::error_code &, const auto &Buffers) {
    m_HeadBytes = boost::beast::buffer_bytes(Buffers) - Out.body().size();
  });
  while (!Error && !Serializer.is_done()) {
    const std::size_t Count = co_await http::async_write_some(
        m_Socket, Serializer, asio::redirect_error(asio::use_awaitable, Error));
    m_SentBytes += Count;
    if (OnSent)
      OnSent(Count);
  }
  m_SentWhole = !Error;
  co_return m_SentWhole;
}

asio::awaitable<bool> EndpointChannel::readHead() {
  m_MarkedIncomplete = false;
  for (int Heads = 0; Heads <= MaxInterimResponses; ++Heads) {
    m_Parser = std::make_unique<Parser>();
    m_Parser->header_limit(MaxHeadBytes);
    m_Parser->body_limit(boost::none);
    m_Parser->skip(m_SentHead);
    boost::system::error_code Error;
    co_await http::async_read_header(
        m_Socket, m_Buffer, *m_Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return false;
    const base::StatusUse Use = base::statusUse(head().result_int());
    if (Use == base::StatusUse::Final) {
      ++m_HeadCount;
      co_return true;
    }
    if (Use == base::StatusUse::Invalid)
      break;
  }
  abort();
  co_return false;
}

ResponseFraming EndpointChannel::framing() const {
  if (m_Parser->need_eof())
    return ResponseFraming::UntilClose;
  return m_Parser->chunked() ? ResponseFraming::Chunked
                             : ResponseFraming::Length;
}

std::optional<std::uint64_t> EndpointChannel::length() const {
  const auto Value = m_Parser->content_length();
  return Value ? std::optional<std::uint64_t>(*Value) : std::nullopt;
}

asio::awaitable<std::string_view> EndpointChannel::readSome() {
  m_ReadBuffer.resize(ReadBufferBytes);
  while (!m_Parser->is_done()) {
    auto &Body = m_Parser->get().body();
    Body.data = m_ReadBuffer.data();
    Body.size = m_ReadBuffer.size();
    Body.more = true;
    boost::system::error_code Error;
    co_await http::async_read_some(
        m_Socket, m_Buffer, *m_Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    const std::size_t Count = m_ReadBuffer.size() - Body.size;
    if (Error && Error != http::error::need_buffer) {
      abort();
      co_return std::string_view();
    }
    if (Count > 0)
      co_return std::string_view(m_ReadBuffer.data(), Count);
  }
  co_return std::string_view();
}

void EndpointChannel::abort() {
  boost::system::error_code Ignored; // A failed close can't be handled.
  m_Socket.close(Ignored);
}

void EndpointChannel::cancel() {
  boost::system::error_code Ignored; // The operations report their own errors.
  m_Socket.cancel(Ignored);
}

bool EndpointChannel::hasUnread() {
  char Byte = 0;
  return m_Buffer.size() > 0 || ::recv(m_Socket.native_handle(), &Byte, 1,
                                       MSG_PEEK | MSG_DONTWAIT) > 0;
}

void EndpointChannel::notifyWhenReadable(std::function<void()> Action) {
  m_Socket.async_wait(
      tcp::socket::wait_read,
      [Notify = std::move(Action)](boost::system::error_code Error) {
        if (!Error)
          Notify();
      });
}

bool EndpointChannel::isReusable() const {
  return m_Socket.is_open() && m_SentWhole && isComplete() &&
         m_Parser->keep_alive() && m_Buffer.size() == 0;
}

bool EndpointChannel::isIdle() {
  char Byte = 0;
  const ssize_t Count =
      ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<EndpointChannel>
EndpointPool::acquire(const std::string &Address) {
  const auto It = m_IdleChannels.find(Address);
  while (It != m_IdleChannels.end() && !It->second.empty()) {
    std::unique_ptr<EndpointChannel> Channel = std::move(It->second.back());
    It->second.pop_back();
    if (base::readMonotonic() - Channel->m_IdleSince < Channel->m_IdleTimeout &&
        Channel->isIdle())
      return Channel;
  }
  return std::make_unique<EndpointChannel>(m_Io, Address);
}

void EndpointPool::release(std::unique_ptr<EndpointChannel> Channel,
                           std::optional<base::Duration> IdleTimeout) {
  auto &Channels = m_IdleChannels[Channel->address()];
  const base::Duration Timeout =
      IdleTimeout.value_or(m_Options.m_DefaultIdleTimeout) -
      m_Options.m_IdleMargin;
  if (Timeout <= base::Duration(0) ||
      Channels.size() >= m_Options.m_MaxIdlePerEndpoint)
    return;
  Channel->m_IdleSince = base::readMonotonic();
  Channel->m_IdleTimeout = Timeout;
  Channels.push_back(std::move(Channel));
}

bool EndpointPool::hasIdle(const std::string &Address) const {
  const auto It = m_IdleChannels.find(Address);
  return It != m_IdleChannels.end() && !It->second.empty();
}

bool EndpointPool::hasLive(const std::string &Address) const {
  const auto It = m_IdleChannels.find(Address);
  return It != m_IdleChannels.end() &&
         std::ranges::any_of(
             It->second, [](const auto &Channel) { return Channel->isIdle(); });
}

void EndpointPool::expire() {
  const base::TimePoint Now = base::readMonotonic();
  for (auto &[Address, Channels] : m_IdleChannels)
    std::erase_if(Channels,
                  [Now](const std::unique_ptr<EndpointChannel> &Channel) {
                    return Now - Channel->m_IdleSince >= Channel->m_IdleTimeout;
                  });
  std::erase_if(m_IdleChannels,
                [](const auto &Entry) { return Entry.second.empty(); });
}

std::size_t EndpointPool::idleCount() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Channels] : m_IdleChannels)
    Sum += Channels.size();
  return Sum;
}

} // namespace psp::gateway
