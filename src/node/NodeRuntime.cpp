#include "node/NodeRuntime.h"

#include "base/Error.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <boost/asio/awaitable.hpp>

#include <csignal>
#include <set>
#include <utility>

namespace psp::node {

namespace asio = boost::asio;
using messages::fleet::NODE_CONTROL;
using messages::fleet::NODE_ENTRY;

namespace {

/// Time in which a stopping process sends its last messages: several round
/// trips between data centres.
constexpr base::Duration StopDelay = base::milliseconds(300);
/// How often control nodes send the nodes that they are connected to.
constexpr base::Duration DirectoryInterval = base::seconds(3);
/// A node from which nothing has come for this long is not heard: two pings of
/// its link are missing.
constexpr base::Duration NodeSilenceTime = base::milliseconds(1600);
/// So many nodes of a data centre show by their silence that it is cut off.
constexpr std::size_t MinSilentNodes = 2;
/// Nodes that no control node has listed for this long are removed from the
/// directory.
constexpr base::Duration NodeExpiryTime = base::seconds(25);
constexpr base::Duration DroppedReplyLogInterval = base::seconds(5);

} // namespace

NodeRuntime::NodeRuntime(NodeRuntimeOptions Options,
                         const SettingsSource &Source)
    : m_Options(std::move(Options)), m_Source(Source),
      m_Settings(Source.load()), m_Fingerprint(Source.fingerprint()),
      m_Log(m_Io,
            {.m_Program = m_Options.m_Program, .m_Node = m_Settings.m_Name}),
      m_LinkBytes(m_Metrics, m_Settings.m_DataCentre),
      m_Links(m_Io, {},
              {.m_OnMessage =
                   [this](const link::MessageSource &From,
                          LinkMessage &Message) { onMessage(From, Message); },
               .m_OnConnected =
                   [this](const NodeState &Peer) { onConnected(Peer); },
               .m_OnDisconnected =
                   [this](const NodeState &Peer, const std::string &Reason) {
                     onDisconnected(Peer, Reason);
                   },
               .m_OnSent =
                   [this](const NodeState *Peer, const LinkMessage &Message,
                          std::size_t Bytes) {
                     m_LinkBytes.add(Message,
                                     Peer ? Peer->data_centre() : std::string(),
                                     Bytes);
                   },
               .m_OnTooLong =
                   [this](const std::string &Peer, const LinkMessage &Message,
                          std::size_t Bytes) {
                     m_Metrics.counter(metrics::names::LongMessages).add();
                     m_Log.write("message_too_long",
                                 {{"peer", Peer},
                                  {"bytes", static_cast<std::uint64_t>(Bytes)},
                                  {"reply", Message.reply().id()},
                                  {"group", Message.group().number()}});
                   }}),
      m_Signals(m_Io), m_SettingsTimer(m_Io), m_DirectoryTimer(m_Io),
      m_StopTimer(m_Io) {
  web::setFailureReporter(m_Io, [this](std::string_view Name,
                                       const std::string &Reason) {
    m_Log.write("coroutine_failed", {{"coroutine", Name}, {"reason", Reason}});
  });
}

void NodeRuntime::start(const std::string &Member, Handlers Handle) {
  m_Handle = std::move(Handle);
  m_Self = describeSelf();
  m_Self.set_member(Member);
  m_Nodes.merge(m_Self, base::readMonotonic());
  m_Links.setSelf(m_Self);
  if (m_Options.m_Listens)
    m_Links.listen({.m_Host = m_Options.m_PeerBindHost.empty()
                                  ? m_Settings.m_Host
                                  : m_Options.m_PeerBindHost,
                    .m_Port = m_Settings.m_PeerPort});
  if (m_Options.m_MetricsPort != 0) {
    m_MetricsServer = std::make_unique<web::HttpServer>(
        m_Io,
        web::HttpServerOptions{
            .m_Address = {.m_Host = m_Settings.m_Host,
                          .m_Port = m_Options.m_MetricsPort}},
        [this](const web::Request &) -> asio::awaitable<web::Response> {
          web::Response Answer;
          Answer.set(boost::beast::http::field::content_type, "text/plain");
          Answer.body() = m_Metrics.text();
          co_return Answer;
        });
    m_MetricsServer->start();
  }
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    m_Signals.add(Signal);
  watchSignals();
  watchSettings();
  broadcastDirectory();
  dialNodes();
  m_Log.write("started", {{"data_centre", m_Settings.m_DataCentre},
                          {"incarnation", m_Self.incarnation()}});
}

void NodeRuntime::finish() {
  m_Log.write("stopped", {});
  m_Log.flush();
  m_Io.stop();
}

void NodeRuntime::finishGracefully() {
  m_Self.set_stopping(true);
  m_Self.set_revision(m_Self.revision() + 1);
  m_Nodes.merge(m_Self, base::readMonotonic());
  m_Links.setSelf(m_Self);
  m_StopTimer.expires_after(StopDelay);
  m_StopTimer.async_wait([this](boost::system::error_code) { finish(); });
}

std::size_t
NodeRuntime::connectedNodeCount(messages::fleet::NodeKind Kind) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Nodes.ofKind(Kind), [this](const auto &Node) {
        return m_Links.isConnected(Node.name());
      }));
}

bool NodeRuntime::isHeard(const std::string &Node) const {
  const auto LastReceivedAt = m_Links.lastReceivedAt(Node);
  return LastReceivedAt &&
         base::readMonotonic() - *LastReceivedAt < NodeSilenceTime;
}

bool NodeRuntime::isDataCentreSilent(const std::string &DataCentre) const {
  std::size_t NodesInside = 0;
  bool HeardOutside = false;
  for (const NodeState &Node : m_Nodes.all()) {
    if (Node.kind() == NODE_ENTRY || Node.name() == m_Self.name() ||
        Node.stopping())
      continue;
    const bool Heard = isHeard(Node.name());
    const bool Inside = Node.data_centre() == DataCentre;
    if (Inside && Heard)
      return false;
    NodesInside += Inside ? 1 : 0;
    HeardOutside = HeardOutside || Heard;
  }
  return NodesInside >= MinSilentNodes && HeardOutside;
}

void NodeRuntime::broadcast(const LinkMessage &Message,
                            std::optional<messages::fleet::NodeKind> Kind) {
  for (const std::string &Name : m_Links.connectedNodes()) {
    const NodeState *Node = m_Nodes.find(Name);
    if (!Kind || (Node && Node->kind() == *Kind))
      m_Links.send(Name, Message);
  }
}

void NodeRuntime::reply(const fleet::ReplyAddress &To,
                        const LinkMessage &Message) {
  if (!m_Links.reply(To, Message))
    countDroppedReply("requester_gone", Message.reply().id(), To.m_Node);
}

void NodeRuntime::onReply(link::RequestTable &Requests,
                          const messages::fleet::Reply &Received) {
  if (!Requests.onReply(Received))
    countDroppedReply("not_awaited", Received.id(), m_Self.name());
}

/// Late replies are frequent under overload, so only some of them are logged.
void NodeRuntime::countDroppedReply(std::string_view Reason,
                                    std::uint64_t Request,
                                    const std::string &To) {
  m_Metrics
      .counter(metrics::names::RepliesDropped,
               {{"reason", std::string(Reason)}})
      .add();
  const base::TimePoint Now = base::readMonotonic();
  if (m_DroppedReplyLoggedAt &&
      Now - *m_DroppedReplyLoggedAt < DroppedReplyLogInterval)
    return;
  m_DroppedReplyLoggedAt = Now;
  m_Log.write("reply_dropped",
              {{"reason", Reason}, {"number", Request}, {"to", To}});
}

void NodeRuntime::onMessage(const link::MessageSource &From,
                            LinkMessage &Message) {
  if (Message.has_directory())
    mergeDirectory(Message.directory());
  else
    m_Handle.m_OnMessage(From, Message);
}

void NodeRuntime::onConnected(const NodeState &Peer) {
  const base::TimePoint Now = base::readMonotonic();
  const bool Changed = m_Nodes.merge(Peer, Now);
  m_Nodes.touch(Peer.name(), Now);
  m_Log.write("peer_connected",
              {{"peer", Peer.name()}, {"data_centre", Peer.data_centre()}});
  LinkMessage Message;
  for (const NodeState &Node : m_Nodes.all())
    if (Node.kind() != NODE_ENTRY || Node.name() == Peer.name())
      *Message.mutable_directory()->add_nodes() = Node;
  m_Links.send(Peer.name(), Message);
  if (Changed && Peer.kind() != NODE_ENTRY) {
    LinkMessage Update;
    *Update.mutable_directory()->add_nodes() = Peer;
    broadcast(Update);
    dialNodes();
  }
  m_Handle.m_OnConnected(Peer);
}

void NodeRuntime::onDisconnected(const NodeState &Peer,
                                 const std::string &Reason) {
  m_Log.write("peer_lost", {{"peer", Peer.name()}, {"reason", Reason}});
  m_Handle.m_OnDisconnected(Peer);
}

void NodeRuntime::mergeDirectory(const messages::fleet::Directory &Update) {
  const base::TimePoint Now = base::readMonotonic();
  bool Changed = false;
  for (const NodeState &Node : Update.nodes()) {
    if (Node.name() != m_Self.name()) {
      Changed |= m_Nodes.merge(Node, Now);
      m_Nodes.touch(Node.name(), Now);
      continue;
    }
    // The entry is from an earlier start of this node, at which the clock was
    // ahead of the present one.
    if (Node.incarnation() > m_Self.incarnation()) {
      m_Self.set_incarnation(Node.incarnation() + 1);
      m_Nodes.merge(m_Self, Now);
      m_Links.setSelf(m_Self);
    }
  }
  if (Changed)
    dialNodes();
}

void NodeRuntime::dialNodes() {
  std::set<link::PeerAddress> Addresses;
  for (const std::string &Host : m_Settings.m_SeedHosts)
    Addresses.insert({.m_Host = Host, .m_Port = m_Settings.m_PeerPort});
  for (const NodeState &Node : m_Nodes.all())
    if (Node.kind() != NODE_ENTRY && Node.name() != m_Self.name())
      Addresses.insert({.m_Host = Node.host(),
                        .m_Port = static_cast<std::uint16_t>(Node.port())});
  m_Links.dial(Addresses);
}

void NodeRuntime::broadcastDirectory() {
  const base::TimePoint Now = base::readMonotonic();
  for (const std::string &Name : m_Links.connectedNodes())
    m_Nodes.touch(Name, Now);
  m_Nodes.touch(m_Self.name(), Now);
  m_Nodes.expire(NodeExpiryTime, Now);
  if (m_Options.m_Kind == NODE_CONTROL) {
    // Lists only nodes that this node is connected to, so that lost nodes
    // expire in all directories.
    LinkMessage Message;
    *Message.mutable_directory()->add_nodes() = m_Self;
    for (const std::string &Name : m_Links.connectedNodes())
      if (const NodeState *Node = m_Nodes.find(Name);
          Node && Node->kind() != NODE_ENTRY)
        *Message.mutable_directory()->add_nodes() = *Node;
    broadcast(Message);
  }
  dialNodes();
  m_DirectoryTimer.expires_after(DirectoryInterval);
  m_DirectoryTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      broadcastDirectory();
  });
}

void NodeRuntime::watchSettings() {
  m_SettingsTimer.expires_after(m_Options.m_SettingsInterval);
  m_SettingsTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    if (m_Source.fingerprint() != m_Fingerprint)
      reload("file changed");
    watchSettings();
  });
}

void NodeRuntime::reload(std::string_view Cause) {
  try {
    const std::string Fingerprint = m_Source.fingerprint();
    m_Settings = m_Source.load();
    m_Fingerprint = Fingerprint;
    m_Log.write("settings_reloaded",
                {{"cause", Cause}, {"seeds", m_Settings.m_SeedHosts.size()}});
    dialNodes();
  } catch (const base::UserError &Fault) {
    // The current settings stay in use. A file that was only partly written is
    // read again later.
    m_Log.write("settings_refused", {{"cause", Fault.what()}});
  }
}

void NodeRuntime::watchSignals() {
  m_Signals.async_wait([this](boost::system::error_code Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP) {
      reload("SIGHUP");
    } else {
      m_Log.write("stopping", {{"signal", static_cast<std::uint64_t>(Signal)}});
      m_Handle.m_OnStop();
    }
    watchSignals();
  });
}

fleet::NodeState NodeRuntime::describeSelf() const {
  NodeState Self;
  Self.set_name(m_Settings.m_Name);
  Self.set_data_centre(m_Settings.m_DataCentre);
  Self.set_host(m_Settings.m_Host);
  Self.set_port(m_Settings.m_PeerPort);
  Self.set_incarnation(base::readClocks().m_Wall);
  Self.set_kind(m_Options.m_Kind);
  if (m_Settings.m_ControlAddress)
    Self.set_control_address(
        m_Settings.m_ControlAddress->m_Host + ":" +
        std::to_string(m_Settings.m_ControlAddress->m_Port));
  return Self;
}

} // namespace psp::node
