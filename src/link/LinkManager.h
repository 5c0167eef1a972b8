/// \file
/// All links of this process to other processes of the system.

#ifndef PSP_LINK_LINKMANAGER_H
#define PSP_LINK_LINKMANAGER_H

#include "fleet/ReplyAddress.h"
#include "link/Link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace psp::link {

using messages::fleet::NodeState;

/// The address at which a process listens for other processes of the system.
struct PeerAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  auto operator<=>(const PeerAddress &) const = default;
};

struct LinkManagerOptions {
  LinkOptions m_Link;
  /// How often all links are checked for pings and timeouts that are due.
  base::Duration m_CheckInterval = base::milliseconds(150);
  /// Time between two attempts to connect.
  base::Duration m_RetryInterval = base::milliseconds(250);
  /// Several round trips between data centres. Short, because a machine without
  /// power doesn't reply at all and may soon be back.
  base::Duration m_ConnectTimeout = base::milliseconds(300);
};

/// The node that sent a message, and the connection that brought it.
struct MessageSource {
  const NodeState &m_Node;
  std::uint64_t m_Connection = 0;

  fleet::ReplyAddress replyAddress() const {
    return {.m_Node = m_Node.name(), .m_Connection = m_Connection};
  }
};

class LinkManager {
public:
  struct Handlers {
    std::function<void(const MessageSource &From, LinkMessage &)> m_OnMessage;
    /// Called with each hello of a node: when it has connected, and when it
    /// announces a changed state.
    std::function<void(const NodeState &)> m_OnConnected;
    /// Called with the node and the reason.
    std::function<void(const NodeState &, const std::string &)>
        m_OnDisconnected;
    /// Called with each message that is sent and its size. The node is null
    /// until its hello has arrived.
    std::function<void(const NodeState *, const LinkMessage &,
                       std::size_t Bytes)>
        m_OnSent = nullptr;
    /// Called instead with the name of the node and a message that is too long
    /// to be sent.
    std::function<void(const std::string &, const LinkMessage &,
                       std::size_t Bytes)>
        m_OnTooLong = nullptr;
  };

  LinkManager(boost::asio::io_context &Io, LinkManagerOptions Options,
              Handlers Handle);

  /// Sets the state that this process announces in its hello messages, and
  /// sends it to all connected nodes.
  void setSelf(const NodeState &Self);
  void listen(const PeerAddress &Address);
  /// Keeps outgoing connections to exactly these addresses. Incoming
  /// connections aren't affected.
  void dial(const std::set<PeerAddress> &Addresses);

  /// Returns false if there is no connection to \p Node, or \p Message is too
  /// long.
  bool send(const std::string &Node, const LinkMessage &Message);
  /// Sends a reply on the connection that brought its request, or one that the
  /// reply is unavailable if it is too long. Returns false if the connection
  /// has closed: the process that asked may have ended.
  bool reply(const fleet::ReplyAddress &To, const LinkMessage &Message);
  bool isConnected(const std::string &Node) const {
    return m_Nodes.contains(Node);
  }
  /// When something came from \p Node; empty if there is no connection to it.
  std::optional<base::TimePoint> lastReceivedAt(const std::string &Node) const;
  /// Bytes that haven't been written to a socket yet, for all nodes.
  std::size_t unsentBytes() const;
  /// Bytes for \p Node that haven't been written to the socket yet.
  std::size_t unsentBytes(const std::string &Node) const;
  std::set<std::string> connectedNodes() const;

private:
  struct DialTarget {
    std::shared_ptr<Link> m_Link;
    bool m_Wanted = true;
    /// Cancelled to end the wait for the link to close; null without a link.
    boost::asio::steady_timer *m_WakeTimer = nullptr;
  };
  struct ConnectedNode {
    NodeState m_State;
    /// Oldest first. Messages are sent on the last one.
    std::vector<std::shared_ptr<Link>> m_Links;
  };

  boost::asio::awaitable<void> keepDialling(PeerAddress Address);
  std::shared_ptr<Link> open(boost::asio::ip::tcp::socket Socket);
  void sendHello(const std::shared_ptr<Link> &Connection);
  void onMessage(const std::shared_ptr<Link> &Connection, LinkMessage &Message);
  void onHello(const std::shared_ptr<Link> &Connection, const NodeState &Peer);
  void onClosed(const std::shared_ptr<Link> &Connection,
                const std::string &Reason);
  void checkLinks();

  boost::asio::io_context &m_Io;
  LinkManagerOptions m_Options;
  Handlers m_Handle;
  NodeState m_Self;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_CheckTimer;
  base::TimePoint m_NextCheckAt;
  bool m_SkippedTimeouts = false; ///< At the last check.
  std::set<std::shared_ptr<Link>> m_OpenLinks;
  std::uint64_t m_LastLinkNumber = 0;
  std::map<PeerAddress, DialTarget> m_DialTargets;
  std::map<std::string, ConnectedNode> m_Nodes;
};

} // namespace psp::link

#endif
