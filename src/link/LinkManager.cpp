#include "link/LinkManager.h"

#include "web/AcceptLoop.h"
#include "web/OperationTimeout.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace psp::link {

namespace asio = boost::asio;
using asio::ip::tcp;

LinkManager::LinkManager(asio::io_context &Io, LinkManagerOptions Options,
                         Handlers Handle)
    : m_Io(Io), m_Options(Options), m_Handle(std::move(Handle)), m_Acceptor(Io),
      m_CheckTimer(Io) {
  checkLinks();
}

void LinkManager::setSelf(const NodeState &Self) {
  m_Self = Self;
  LinkMessage Message;
  *Message.mutable_hello()->mutable_node() = m_Self;
  for (auto &[Name, Node] : m_Nodes)
    Node.m_Links.back()->send(Message);
}

void LinkManager::listen(const PeerAddress &Address) {
  const tcp::endpoint Endpoint(asio::ip::make_address(Address.m_Host),
                               Address.m_Port);
  m_Acceptor.open(Endpoint.protocol());
  m_Acceptor.set_option(asio::socket_base::reuse_address(true));
  m_Acceptor.bind(Endpoint);
  m_Acceptor.listen();
  web::spawn(m_Io.get_executor(), "accept_nodes", web::Lasting(*this),
             [](LinkManager &Self) {
               return web::acceptConnections(Self.m_Acceptor, "accept_nodes",
                                             [&Self](tcp::socket Socket) {
                                               Self.open(std::move(Socket));
                                             });
             });
}

void LinkManager::dial(const std::set<PeerAddress> &Addresses) {
  for (auto &[Address, Target] : m_DialTargets)
    if (std::exchange(Target.m_Wanted, Addresses.contains(Address)) !=
            Target.m_Wanted &&
        Target.m_WakeTimer)
      Target.m_WakeTimer->cancel();
  for (const PeerAddress &Address : Addresses) {
    if (Address.m_Host == m_Self.host() && Address.m_Port == m_Self.port())
      continue;
    if (m_DialTargets.try_emplace(Address).second)
      web::spawn(
          m_Io.get_executor(), "dial_node", web::Lasting(*this),
          [Address](LinkManager &Self) { return Self.keepDialling(Address); });
  }
}

bool LinkManager::send(const std::string &Node, const LinkMessage &Message) {
  const auto It = m_Nodes.find(Node);
  if (It == m_Nodes.end())
    return false;
  return It->second.m_Links.back()->send(Message);
}

bool LinkManager::reply(const fleet::ReplyAddress &To,
                        const LinkMessage &Message) {
  const auto It = m_Nodes.find(To.m_Node);
  if (It == m_Nodes.end())
    return false;
  for (const std::shared_ptr<Link> &Connection : It->second.m_Links)
    if (Connection->number() == To.m_Connection) {
      if (!Connection->send(Message)) {
        // The requester learns of it without waiting for its timeout.
        LinkMessage Unavailable;
        Unavailable.mutable_reply()->set_id(Message.reply().id());
        Unavailable.mutable_reply()->set_kind(
            messages::fleet::REPLY_UNAVAILABLE);
        Connection->send(Unavailable);
      }
      return true;
    }
  return false;
}

std::size_t LinkManager::unsentBytes() const {
  std::size_t Bytes = 0;
  for (const std::shared_ptr<Link> &Connection : m_OpenLinks)
    Bytes += Connection->unsentBytes();
  return Bytes;
}

std::size_t LinkManager::unsentBytes(const std::string &Node) const {
  const auto It = m_Nodes.find(Node);
  return It == m_Nodes.end() ? 0 : It->second.m_Links.back()->unsentBytes();
}

std::optional<base::TimePoint>
LinkManager::lastReceivedAt(const std::string &Node) const {
  const auto It = m_Nodes.find(Node);
  if (It == m_Nodes.end())
    return std::nullopt;
  base::TimePoint Last;
  for (const std::shared_ptr<Link> &Connection : It->second.m_Links)
    Last = std::max(Last, Connection->lastReceivedAt());
  return Last;
}

std::set<std::string> LinkManager::connectedNodes() const {
  std::set<std::string> Names;
  for (const auto &[Name, Node] : m_Nodes)
    Names.insert(Name);
  return Names;
}

asio::awaitable<void> LinkManager::keepDialling(PeerAddress Address) {
  asio::steady_timer Timer(m_Io);
  while (m_DialTargets[Address].m_Wanted) {
    tcp::socket Socket(m_Io);
    boost::system::error_code Error;
    web::OperationTimeout Limit(m_Io.get_executor());
    Limit.set(m_Options.m_ConnectTimeout, [&Socket] {
      boost::system::error_code Ignored; // The connect reports its own error.
      Socket.close(Ignored);
    });
    co_await Socket.async_connect(
        tcp::endpoint(asio::ip::make_address(Address.m_Host), Address.m_Port),
        asio::redirect_error(asio::use_awaitable, Error));
    Limit.cancel();
    if (!Error && Socket.is_open()) {
      std::shared_ptr<Link> Opened = open(std::move(Socket));
      m_DialTargets[Address].m_Link = Opened;
      m_DialTargets[Address].m_WakeTimer = &Timer;
      while (Opened->isOpen() && m_DialTargets[Address].m_Wanted) {
        Timer.expires_at(asio::steady_timer::time_point::max());
        co_await Timer.async_wait(
            asio::redirect_error(asio::use_awaitable, Error));
      }
      m_DialTargets[Address].m_WakeTimer = nullptr;
      if (Opened->isOpen())
        Opened->close("the connection is no longer needed");
    }
    Timer.expires_after(m_Options.m_RetryInterval);
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  }
  m_DialTargets.erase(Address);
}

std::shared_ptr<Link> LinkManager::open(tcp::socket Socket) {
  auto Opened = std::make_shared<Link>(
      std::move(Socket), m_Options.m_Link,
      Link::Handlers{
          .m_OnMessage =
              [this](const std::shared_ptr<Link> &Connection,
                     LinkMessage &Message) { onMessage(Connection, Message); },
          .m_OnClosed =
              [this](const std::shared_ptr<Link> &Connection,
                     const std::string &Reason) {
                onClosed(Connection, Reason);
              },
          .m_OnSent =
              [this](const Link &Connection, const LinkMessage &Message,
                     std::size_t Bytes) {
                if (!m_Handle.m_OnSent)
                  return;
                const auto It = m_Nodes.find(Connection.peer());
                m_Handle.m_OnSent(It == m_Nodes.end() ? nullptr
                                                      : &It->second.m_State,
                                  Message, Bytes);
              },
          .m_OnTooLong =
              [this](const Link &Connection, const LinkMessage &Message,
                     std::size_t Bytes) {
                if (m_Handle.m_OnTooLong)
                  m_Handle.m_OnTooLong(Connection.peer(), Message, Bytes);
              }},
      ++m_LastLinkNumber);
  m_OpenLinks.insert(Opened);
  Opened->start();
  sendHello(Opened);
  return Opened;
}

/// One timer for all links: a node of a large deployment has hundreds.
void LinkManager::checkLinks() {
  const base::TimePoint Now = base::readMonotonic();
  // After a stall of this process, what has arrived is read first.
  const bool Stalled = Now - m_NextCheckAt > m_Options.m_CheckInterval;
  m_SkippedTimeouts = Stalled && !m_SkippedTimeouts;
  m_NextCheckAt = Now + m_Options.m_CheckInterval;
  m_CheckTimer.expires_at(m_NextCheckAt);
  m_CheckTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      checkLinks();
  });
  // A link that closes leaves the set.
  const std::vector<std::shared_ptr<Link>> Links(m_OpenLinks.begin(),
                                                 m_OpenLinks.end());
  for (const std::shared_ptr<Link> &Connection : Links)
    Connection->check(Now, !m_SkippedTimeouts);
}

void LinkManager::sendHello(const std::shared_ptr<Link> &Connection) {
  LinkMessage Message;
  *Message.mutable_hello()->mutable_node() = m_Self;
  Connection->send(Message);
}

void LinkManager::onMessage(const std::shared_ptr<Link> &Connection,
                            LinkMessage &Message) {
  if (Message.has_hello()) {
    onHello(Connection, Message.hello().node());
    return;
  }
  const auto It = m_Nodes.find(Connection->peer());
  if (It != m_Nodes.end())
    m_Handle.m_OnMessage(
        {.m_Node = It->second.m_State, .m_Connection = Connection->number()},
        Message);
}

void LinkManager::onHello(const std::shared_ptr<Link> &Connection,
                          const NodeState &Peer) {
  const bool AlreadyGreeted = Connection->peer() == Peer.name();
  Connection->setPeer(Peer.name());
  ConnectedNode &Node = m_Nodes[Peer.name()];
  Node.m_State = Peer;
  if (!AlreadyGreeted)
    Node.m_Links.push_back(Connection);
  m_Handle.m_OnConnected(Peer);
}

void LinkManager::onClosed(const std::shared_ptr<Link> &Connection,
                           const std::string &Reason) {
  m_OpenLinks.erase(Connection);
  for (auto &[Address, Target] : m_DialTargets)
    if (Target.m_Link == Connection && Target.m_WakeTimer)
      Target.m_WakeTimer->cancel();
  const auto It = m_Nodes.find(Connection->peer());
  if (It == m_Nodes.end())
    return;
  ConnectedNode &Node = It->second;
  if (std::erase(Node.m_Links, Connection) == 0)
    return;
  if (!Node.m_Links.empty())
    return;
  const NodeState State = Node.m_State;
  m_Nodes.erase(It);
  m_Handle.m_OnDisconnected(State, Reason);
}

} // namespace psp::link
