#include "link/Link.h"

#include "base/Error.h"
#include "web/Spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace psp::link {

namespace asio = boost::asio;

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadChunkBytes = 16U << 10U;
/// Queued messages are combined into writes of up to this many bytes.
constexpr std::size_t MaxWriteBytes = 64U << 10U;

} // namespace

Link::Link(asio::ip::tcp::socket Socket, LinkOptions Options, Handlers Handle,
           std::uint64_t Number)
    : m_Socket(std::move(Socket)), m_Options(Options),
      m_Handle(std::move(Handle)), m_LastReceivedAt(base::readMonotonic()),
      m_LastSentAt(m_LastReceivedAt), m_Number(Number) {}

void Link::start() {
  boost::system::error_code Ignored; // The option isn't essential.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  web::spawn(m_Socket.get_executor(), "link_read", shared_from_this(),
             [](Link &Self) { return Self.read(); });
}

bool Link::send(const LinkMessage &Message) {
  if (!m_Open)
    return true;
  const std::size_t MessageBytes = Message.ByteSizeLong();
  if (MessageBytes > m_Options.m_MaxMessageBytes) {
    if (m_Handle.m_OnTooLong)
      m_Handle.m_OnTooLong(*this, Message, MessageBytes);
    return false;
  }
  const auto Length = static_cast<std::uint32_t>(MessageBytes);
  std::string Bytes(LengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(Bytes.data()),
                               Length);
  Message.AppendToString(&Bytes);
  m_QueuedBytes += Bytes.size();
  if (m_Handle.m_OnSent)
    m_Handle.m_OnSent(*this, Message, Bytes.size());
  m_Queue.push_back(std::move(Bytes));
  m_LastSentAt = base::readMonotonic();
  if (m_QueuedBytes > m_Options.m_MaxUnsentBytes) {
    close("the limit of unsent bytes is exceeded");
    return true;
  }
  if (m_Writing)
    return true;
  m_Writing = true;
  // Written after the present handler, so that one write covers all messages
  // that it sends.
  asio::post(m_Socket.get_executor(),
             [Self = shared_from_this()] { Self->write(); });
  return true;
}

void Link::close(const std::string &Reason) {
  if (!m_Open)
    return;
  m_Open = false;
  boost::system::error_code Ignored; // The socket isn't used any more.
  m_Socket.close(Ignored);
  m_Queue.clear();
  m_Handle.m_OnClosed(shared_from_this(), Reason);
}

asio::awaitable<void> Link::read() {
  auto Self = shared_from_this();
  std::string Buffer;
  std::array<char, ReadChunkBytes> Chunk{};
  while (m_Open) {
    boost::system::error_code Error;
    const std::size_t Count = co_await m_Socket.async_read_some(
        asio::buffer(Chunk), asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      close(Error.message());
      co_return;
    }
    m_LastReceivedAt = base::readMonotonic();
    Buffer.append(Chunk.data(), Count);
    try {
      if (!takeMessages(Buffer))
        close("received a message that is malformed or too long");
    } catch (const base::UserError &Fault) {
      close(Fault.what());
    }
  }
}

bool Link::takeMessages(std::string &Buffer) {
  std::size_t Start = 0;
  while (m_Open && Buffer.size() - Start >= LengthBytes) {
    const std::uint32_t Length = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char *>(Buffer.data() + Start));
    if (Length > m_Options.m_MaxMessageBytes)
      return false;
    if (Buffer.size() - Start < LengthBytes + Length)
      break;
    LinkMessage Message;
    if (!Message.ParseFromArray(Buffer.data() + Start + LengthBytes,
                                static_cast<int>(Length)))
      return false;
    Start += LengthBytes + Length;
    if (!Message.has_ping())
      m_Handle.m_OnMessage(shared_from_this(), Message);
  }
  Buffer.erase(0, Start);
  return true;
}

/// Combines the messages that are queued into one write.
void Link::write() {
  if (!m_Open || m_Queue.empty()) {
    m_Writing = false;
    return;
  }
  m_Batch = std::move(m_Queue.front());
  m_Queue.pop_front();
  while (!m_Queue.empty() &&
         m_Batch.size() + m_Queue.front().size() < MaxWriteBytes) {
    m_Batch += m_Queue.front();
    m_Queue.pop_front();
  }
  asio::async_write(
      m_Socket, asio::buffer(m_Batch),
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t) { Self->onWritten(Error); });
}

void Link::onWritten(const boost::system::error_code &Error) {
  m_QueuedBytes -= std::min(m_QueuedBytes, m_Batch.size());
  m_Batch = {};
  try {
    if (Error)
      close(Error.message());
    write();
  } catch (...) {
    web::reportFailure(m_Socket.get_executor(), "link_write",
                       std::current_exception());
  }
}

void Link::check(base::TimePoint Now, bool EnforceTimeout) {
  if (EnforceTimeout &&
      Now - m_LastReceivedAt > m_Options.m_InactivityTimeout) {
    close("nothing was received within the timeout");
    return;
  }
  if (Now - m_LastSentAt >= m_Options.m_PingInterval) {
    LinkMessage Message;
    Message.mutable_ping();
    send(Message);
  }
}

} // namespace psp::link
