#include "link/Hub.h"

#include "web/OperationTimeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace psp::link {

namespace asio = boost::asio;
using asio::ip::tcp;

Hub::Hub(asio::io_context &Io, HubOptions Options, Handlers Handle)
    : m_Io(Io), m_Options(Options), m_Handle(std::move(Handle)),
      m_Acceptor(Io) {}

void Hub::setSelf(const NodeState &Self) {
  m_Self = Self;
  LinkMessage Message;
  *Message.mutable_hello()->mutable_node() = m_Self;
  for (auto &[Name, Row] : m_Nodes)
    Row.m_Links.back()->send(Message);
}

void Hub::listen(const PeerAddress &At) {
  const tcp::endpoint Endpoint(asio::ip::make_address(At.m_Host), At.m_Port);
  m_Acceptor.open(Endpoint.protocol());
  m_Acceptor.set_option(asio::socket_base::reuse_address(true));
  m_Acceptor.bind(Endpoint);
  m_Acceptor.listen();
  asio::co_spawn(m_Io, accept(), asio::detached);
}

void Hub::dial(const std::set<PeerAddress> &Wanted) {
  for (auto &[At, Row] : m_Dialled)
    if (std::exchange(Row.m_Wanted, Wanted.contains(At)) != Row.m_Wanted &&
        Row.m_Wake)
      Row.m_Wake->cancel();
  for (const PeerAddress &At : Wanted) {
    if (At.m_Host == m_Self.host() && At.m_Port == m_Self.port())
      continue;
    if (m_Dialled.try_emplace(At).second)
      asio::co_spawn(m_Io, keepDialling(At), asio::detached);
  }
}

bool Hub::send(const std::string &Node, const LinkMessage &Message) {
  const auto Found = m_Nodes.find(Node);
  if (Found == m_Nodes.end())
    return false;
  Found->second.m_Links.back()->send(Message);
  return true;
}

std::size_t Hub::unsentBytes(const std::string &Node) const {
  const auto Found = m_Nodes.find(Node);
  return Found == m_Nodes.end() ? 0
                                : Found->second.m_Links.back()->unsentBytes();
}

std::set<std::string> Hub::nodesUp() const {
  std::set<std::string> Names;
  for (const auto &[Name, Row] : m_Nodes)
    Names.insert(Name);
  return Names;
}

asio::awaitable<void> Hub::accept() {
  while (true) {
    boost::system::error_code Error;
    tcp::socket Socket = co_await m_Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Error)
      open(std::move(Socket));
  }
}

asio::awaitable<void> Hub::keepDialling(PeerAddress At) {
  asio::steady_timer Timer(m_Io);
  while (m_Dialled[At].m_Wanted) {
    tcp::socket Socket(m_Io);
    boost::system::error_code Error;
    web::OperationTimeout Limit(m_Io.get_executor());
    Limit.set(m_Options.m_ConnectTimeout, [&Socket] {
      boost::system::error_code Ignored; // The connect reports its own.
      Socket.close(Ignored);
    });
    co_await Socket.async_connect(
        tcp::endpoint(asio::ip::make_address(At.m_Host), At.m_Port),
        asio::redirect_error(asio::use_awaitable, Error));
    Limit.cancel();
    if (!Error && Socket.is_open()) {
      std::shared_ptr<Link> Opened = open(std::move(Socket));
      m_Dialled[At].m_Link = Opened;
      m_Dialled[At].m_Wake = &Timer;
      while (Opened->isOpen() && m_Dialled[At].m_Wanted) {
        Timer.expires_at(asio::steady_timer::time_point::max());
        co_await Timer.async_wait(
            asio::redirect_error(asio::use_awaitable, Error));
      }
      m_Dialled[At].m_Wake = nullptr;
      if (Opened->isOpen())
        Opened->close("not wanted any more");
    }
    Timer.expires_after(m_Options.m_RetryInterval);
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  }
  m_Dialled.erase(At);
}

std::shared_ptr<Link> Hub::open(tcp::socket Socket) {
  auto Opened = std::make_shared<Link>(
      std::move(Socket), m_Options.m_Link,
      Link::Handlers{
          .m_OnMessage =
              [this](const std::shared_ptr<Link> &On, LinkMessage &Message) {
                onMessage(On, Message);
              },
          .m_OnEnd = [this](const std::shared_ptr<Link> &On,
                            const std::string &Reason) { onEnd(On, Reason); }});
  Opened->start();
  greet(Opened);
  return Opened;
}

void Hub::greet(const std::shared_ptr<Link> &On) {
  LinkMessage Message;
  *Message.mutable_hello()->mutable_node() = m_Self;
  On->send(Message);
}

void Hub::onMessage(const std::shared_ptr<Link> &On, LinkMessage &Message) {
  if (Message.has_hello()) {
    onHello(On, Message.hello().node());
    return;
  }
  const auto Found = m_Nodes.find(On->peer());
  if (Found != m_Nodes.end())
    m_Handle.m_OnMessage(Found->second.m_State, Message);
}

void Hub::onHello(const std::shared_ptr<Link> &On, const NodeState &Peer) {
  const bool Known = On->peer() == Peer.name();
  On->setPeer(Peer.name());
  NodeRow &Row = m_Nodes[Peer.name()];
  Row.m_State = Peer;
  if (!Known)
    Row.m_Links.push_back(On);
  m_Handle.m_OnUp(Peer);
}

void Hub::onEnd(const std::shared_ptr<Link> &On, const std::string &Reason) {
  for (auto &[At, Row] : m_Dialled)
    if (Row.m_Link == On && Row.m_Wake)
      Row.m_Wake->cancel();
  const auto Found = m_Nodes.find(On->peer());
  if (Found == m_Nodes.end())
    return;
  NodeRow &Row = Found->second;
  if (std::erase(Row.m_Links, On) == 0)
    return;
  if (!Row.m_Links.empty())
    return;
  const NodeState State = Row.m_State;
  m_Nodes.erase(Found);
  m_Handle.m_OnDown(State, Reason);
}

} // namespace psp::link
