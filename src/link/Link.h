/// \file
/// A connection between two processes of the system. It carries length-prefixed
/// messages, sends pings when idle, and closes when the peer sends nothing
/// within a timeout.

#ifndef PSP_LINK_LINK_H
#define PSP_LINK_LINK_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace psp::link {

using messages::fleet::LinkMessage;

/// Of one message, in bytes, the same at both ends.
inline constexpr std::uint32_t MaxMessageBytes = 16U << 20U;

struct LinkOptions {
  /// A ping is sent if no other message was sent for this long.
  base::Duration m_PingInterval = base::milliseconds(600);
  /// The connection is closed after this long without received data: three
  /// pings.
  base::Duration m_InactivityTimeout = base::milliseconds(1800);
  /// In bytes. A longer message isn't sent, and closes the connection if it is
  /// received.
  std::uint32_t m_MaxMessageBytes = MaxMessageBytes;
  /// A connection with more unsent bytes than this is closed.
  std::size_t m_MaxUnsentBytes = 24U << 20U;
};

class Link : public std::enable_shared_from_this<Link> {
public:
  struct Handlers {
    std::function<void(const std::shared_ptr<Link> &, LinkMessage &)>
        m_OnMessage;
    /// Called once when the connection closes, with the reason.
    std::function<void(const std::shared_ptr<Link> &, const std::string &)>
        m_OnClosed;
    /// Called with each message that is sent and its size on the connection.
    std::function<void(const Link &, const LinkMessage &, std::size_t Bytes)>
        m_OnSent = nullptr;
    /// Called instead with a message that is too long to be sent.
    std::function<void(const Link &, const LinkMessage &, std::size_t Bytes)>
        m_OnTooLong = nullptr;
  };

  Link(boost::asio::ip::tcp::socket Socket, LinkOptions Options,
       Handlers Handle, std::uint64_t Number = 0);

  void start();
  /// Sends a ping if one is due. With \p EnforceTimeout, closes the connection
  /// if nothing was received for too long.
  void check(base::TimePoint Now, bool EnforceTimeout);
  /// Returns false if \p Message is too long, which nothing on the connection
  /// notices.
  bool send(const LinkMessage &Message);
  void close(const std::string &Reason);
  bool isOpen() const { return m_Open; }
  std::size_t unsentBytes() const { return m_QueuedBytes; }
  base::TimePoint lastReceivedAt() const { return m_LastReceivedAt; }

  /// Name of the node at the other end, empty until its hello has arrived.
  const std::string &peer() const { return m_Peer; }
  /// Identifies the connection in this process; never used again.
  std::uint64_t number() const { return m_Number; }
  void setPeer(const std::string &Name) { m_Peer = Name; }

private:
  boost::asio::awaitable<void> read();
  void write();
  void onWritten(const boost::system::error_code &Error);
  bool takeMessages(std::string &Buffer);

  boost::asio::ip::tcp::socket m_Socket;
  LinkOptions m_Options;
  Handlers m_Handle;
  std::deque<std::string> m_Queue;
  std::string m_Batch; ///< Messages that are being written.
  std::size_t m_QueuedBytes = 0;
  bool m_Writing = false;
  bool m_Open = true;
  base::TimePoint m_LastReceivedAt;
  base::TimePoint m_LastSentAt;
  std::string m_Peer;
  std::uint64_t m_Number;
};

} // namespace psp::link

#endif
