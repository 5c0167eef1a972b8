/// \file
/// All connections of one process to other processes of the system.

#ifndef PSP_LINK_HUB_H
#define PSP_LINK_HUB_H

#include "link/Link.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace psp::link {

using messages::fleet::NodeState;

/// Where a process of the system listens for others.
struct PeerAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  auto operator<=>(const PeerAddress &) const = default;
};

struct HubOptions {
  LinkOptions m_Link;
  /// Pause before another try to connect.
  base::Duration m_RetryInterval = base::milliseconds(250);
  /// A try to connect ends after this long: several round trips between data
  /// centres. A machine without power answers nothing, and is back soon.
  base::Duration m_ConnectTimeout = base::milliseconds(300);
};

class Hub {
public:
  struct Handlers {
    std::function<void(const NodeState &From, LinkMessage &)> m_OnMessage;
    std::function<void(const NodeState &)> m_OnUp;
    /// With the reason.
    std::function<void(const NodeState &, const std::string &)> m_OnDown;
  };

  Hub(boost::asio::io_context &Io, HubOptions Options, Handlers Handle);

  /// What this process says of itself; greetings from now on carry it, and
  /// those connected are told.
  void setSelf(const NodeState &Self);
  void listen(const PeerAddress &At);
  /// Keeps connections to exactly these, besides those that others opened.
  void dial(const std::set<PeerAddress> &Wanted);

  /// False if there is no connection to \p Node.
  bool send(const std::string &Node, const LinkMessage &Message);
  bool isUp(const std::string &Node) const { return m_Nodes.contains(Node); }
  /// Bytes for \p Node that haven't left yet.
  std::size_t unsentBytes(const std::string &Node) const;
  std::set<std::string> nodesUp() const;

private:
  struct Dialled {
    std::shared_ptr<Link> m_Link;
    bool m_Wanted = true;
    /// Ends the wait for the link's end; null while there is none.
    boost::asio::steady_timer *m_Wake = nullptr;
  };
  struct NodeRow {
    NodeState m_State;
    /// Newest last; messages go to the last one.
    std::vector<std::shared_ptr<Link>> m_Links;
  };

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> keepDialling(PeerAddress At);
  std::shared_ptr<Link> open(boost::asio::ip::tcp::socket Socket);
  void greet(const std::shared_ptr<Link> &On);
  void onMessage(const std::shared_ptr<Link> &On, LinkMessage &Message);
  void onHello(const std::shared_ptr<Link> &On, const NodeState &Peer);
  void onEnd(const std::shared_ptr<Link> &On, const std::string &Reason);

  boost::asio::io_context &m_Io;
  HubOptions m_Options;
  Handlers m_Handle;
  NodeState m_Self;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::map<PeerAddress, Dialled> m_Dialled;
  std::map<std::string, NodeRow> m_Nodes;
};

} // namespace psp::link

#endif
