#include "gateway/Call.h"

#include "gateway/Gateway.h"
#include "gateway/SocketBuffers.h"
#include "gateway/TransferWatch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <sys/socket.h>
#include <sys/uio.h>

namespace psp::gateway {

namespace asio = boost::asio;

namespace {

/// Of an endpoint that reads nothing of a request. Its connection fails earlier
/// if its system is out of reach.
constexpr StallLimits EndpointStallLimits = {
    .m_Usual = base::seconds(10), .m_Scarce = base::milliseconds(600)};
/// The same if the call can't be sent to another one: the endpoint may pause
/// for a second or two and go on.
constexpr StallLimits LastEndpointStallLimits = {.m_Usual = base::seconds(10),
                                                 .m_Scarce = base::seconds(3)};
/// The same once it has sent something, most likely its answer.
constexpr StallLimits AnsweredStallLimits = {
    .m_Usual = base::milliseconds(250), .m_Scarce = base::milliseconds(250)};

/// What the connection takes of the bytes without waiting; negative on error.
ssize_t sendNow(int Socket, std::string_view First, std::string_view Second) {
  const auto Part = [](std::string_view Bytes) {
    // The system doesn't write to it. NOLINTNEXTLINE(*-const-cast)
    return iovec{.iov_base = const_cast<char *>(Bytes.data()),
                 .iov_len = Bytes.size()};
  };
  std::array<iovec, 2> Parts = {Part(First), Part(Second)};
  msghdr Message{};
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Parts.size();
  const ssize_t Sent = ::sendmsg(Socket, &Message, MSG_DONTWAIT | MSG_NOSIGNAL);
  const bool WouldBlock =
      errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return Sent < 0 && WouldBlock ? 0 : Sent;
}

} // namespace

asio::awaitable<bool> Call::write(std::string_view First,
                                  std::string_view Second) {
  const ssize_t Taken = sendNow(m_CallerSocket.native_handle(), First, Second);
  if (Taken < 0) {
    m_CallerDisconnected = true;
    co_return false;
  }
  auto Sent = static_cast<std::size_t>(Taken);
  const std::size_t Total = First.size() + Second.size();
  if (Sent == Total)
    co_return true;
  // What the system keeps of the answer meanwhile. Without room for it slow
  // transfers end earlier.
  CallMemory::Hold Unread(m_Gateway.callMemory(), CallDirection::Answer);
  Unread.growTo(SocketBufferBytes);
  TransferWatch Watch(m_Gateway.slowTransfers(), CallerStallLimits,
                      [this] { endSlowCaller(); });
  boost::system::error_code Error;
  while (Sent < Total && !Error) {
    const std::string_view FirstLeft =
        First.substr(std::min(Sent, First.size()));
    const std::string_view SecondLeft =
        Second.substr(Sent - std::min(Sent, First.size()));
    const std::array<asio::const_buffer, 2> Bytes = {asio::buffer(FirstLeft),
                                                     asio::buffer(SecondLeft)};
    const std::size_t Count = co_await m_CallerSocket.async_write_some(
        Bytes, asio::redirect_error(asio::use_awaitable, Error));
    Sent += Count;
    Watch.onProgress(Count);
  }
  if (Error)
    m_CallerDisconnected = true;
  co_return !Error;
}

/// Its connection is reset, since the system would keep what it hasn't read.
void Call::endSlowCaller() {
  m_Gateway.countSlowTransfer("caller");
  m_Gateway.node().log().write("slow_caller_ended",
                               {{"request", m_Metadata.m_Id},
                                {"organisation", organisationName()},
                                {"endpoint", m_CurrentEndpoint}});
  m_CallerDisconnected = true;
  m_KeepAlive = false;
  setResetOnClose(true);
  boost::system::error_code Ignored; // The write reports its own error.
  m_CallerSocket.close(Ignored);
}

asio::awaitable<bool> Call::sendRequest(EndpointChannel &Channel,
                                        OutgoingRequest &Out) {
  if (Out.body().size() <= m_Gateway.callMemory().smallBytes())
    co_return co_await Channel.send(Out);
  std::optional<TransferWatch> Watch;
  const auto BeginWatch = [this, &Watch, &Channel](StallLimits Limits) {
    Watch.emplace(m_Gateway.slowTransfers(), Limits,
                  [this, &Channel] { leaveSlowEndpoint(Channel); });
  };
  BeginWatch(mayRetryNextTry() ? EndpointStallLimits : LastEndpointStallLimits);
  // What arrives while the body is sent may be the answer to it. The endpoint
  // may read on, but need not.
  const auto Sending = std::make_shared<bool>(true);
  Channel.notifyWhenReadable([Sending, BeginWatch] {
    if (*Sending)
      BeginWatch(AnsweredStallLimits);
  });
  const auto OnSent = [&Watch](std::size_t Count) { Watch->onProgress(Count); };
  const bool SentWhole = co_await Channel.send(Out, OnSent);
  *Sending = false;
  co_return SentWhole;
}

/// Ends the send of a request.
void Call::leaveSlowEndpoint(EndpointChannel &Channel) {
  m_Gateway.countSlowTransfer("endpoint");
  m_Gateway.node().log().write(
      "slow_endpoint_left",
      {{"request", m_Metadata.m_Id},
       {"organisation", organisationName()},
       {"endpoint", m_CurrentEndpoint},
       {"has_answered", Channel.hasUnread() ? "yes" : "no"}});
  m_LeftSlowEndpoint = true;
  Channel.cancel();
}

} // namespace psp::gateway
