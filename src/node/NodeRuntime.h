/// \file
/// The common part of all processes of a deployment that uses node discovery:
/// links, the node directory, reloading of settings, signals, metrics and logs.

#ifndef PSP_NODE_NODERUNTIME_H
#define PSP_NODE_NODERUNTIME_H

#include "fleet/NodeDirectory.h"
#include "link/LinkManager.h"
#include "link/RequestTable.h"
#include "logging/EventLog.h"
#include "metrics/Registry.h"
#include "node/LinkBytes.h"
#include "node/NodeSettings.h"
#include "web/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace psp::node {

struct NodeRuntimeOptions {
  std::string m_Program;
  messages::fleet::NodeKind m_Kind = messages::fleet::NODE_ENTRY;
  /// Zero disables the metrics server.
  std::uint16_t m_MetricsPort = 0;
  /// How often the settings are checked for changes. A signal isn't needed.
  base::Duration m_SettingsInterval = base::seconds(2);
  /// Whether other nodes may connect to this one.
  bool m_Listens = true;
  /// Address to listen at for other nodes, if it isn't the announced host, for
  /// instance behind a forwarding proxy. Empty: the announced host.
  std::string m_PeerBindHost;
};

class NodeRuntime {
public:
  using NodeState = fleet::NodeState;
  using LinkMessage = link::LinkMessage;

  struct Handlers {
    std::function<void(const link::MessageSource &From, LinkMessage &)>
        m_OnMessage;
    std::function<void(const NodeState &)> m_OnConnected;
    std::function<void(const NodeState &)> m_OnDisconnected;
    std::function<void()> m_OnStop; ///< A signal has requested a stop.
  };

  NodeRuntime(NodeRuntimeOptions Options, const SettingsSource &Source);
  NodeRuntime(const NodeRuntime &) = delete;
  NodeRuntime &operator=(const NodeRuntime &) = delete;

  /// Starts to listen and to connect. \p Member: identity of this node as a
  /// member of groups, or empty.
  void start(const std::string &Member, Handlers Handle);
  void run() { m_Io.run(); }
  /// Makes run() return.
  void finish();
  /// Announces to other nodes that this one is stopping, and makes run() return
  /// after a delay in which the last messages can be sent.
  void finishGracefully();
  bool isStopping() const { return m_Self.stopping(); }

  const NodeSettings &settings() const { return m_Settings; }
  boost::asio::io_context &io() { return m_Io; }
  link::LinkManager &links() { return m_Links; }
  const link::LinkManager &links() const { return m_Links; }
  fleet::NodeDirectory &nodes() { return m_Nodes; }
  const fleet::NodeDirectory &nodes() const { return m_Nodes; }
  logging::EventLog &log() { return m_Log; }
  metrics::Registry &metrics() { return m_Metrics; }
  /// Number of nodes of \p Kind with an open connection.
  std::size_t connectedNodeCount(messages::fleet::NodeKind Kind) const;
  /// Whether something has come from \p Node lately.
  bool isHeard(const std::string &Node) const;
  /// Whether several control and history nodes of \p DataCentre are known, none
  /// of them is heard, and one elsewhere is.
  bool isDataCentreSilent(const std::string &DataCentre) const;
  /// Sends \p Message to all connected nodes, or to those of \p Kind if given.
  void broadcast(const LinkMessage &Message,
                 std::optional<messages::fleet::NodeKind> Kind = {});
  /// Sends a reply to the process that asked; drops it if that has gone.
  void reply(const fleet::ReplyAddress &To, const LinkMessage &Message);
  /// Hands \p Received to the request in \p Requests that it replies to; drops
  /// it if none waits.
  void onReply(link::RequestTable &Requests,
               const messages::fleet::Reply &Received);

private:
  void onMessage(const link::MessageSource &From, LinkMessage &Message);
  void onConnected(const NodeState &Peer);
  void onDisconnected(const NodeState &Peer, const std::string &Reason);
  void mergeDirectory(const messages::fleet::Directory &Update);
  void dialNodes();
  void broadcastDirectory();
  void watchSettings();
  void reload(std::string_view Cause);
  void watchSignals();
  NodeState describeSelf() const;
  void countDroppedReply(std::string_view Reason, std::uint64_t Request,
                         const std::string &To);

  NodeRuntimeOptions m_Options;
  const SettingsSource &m_Source;
  NodeSettings m_Settings;
  std::string m_Fingerprint;
  boost::asio::io_context m_Io{1};
  logging::EventLog m_Log;
  metrics::Registry m_Metrics;
  LinkBytes m_LinkBytes;
  link::LinkManager m_Links;
  fleet::NodeDirectory m_Nodes;
  NodeState m_Self;
  Handlers m_Handle;
  std::optional<base::TimePoint> m_DroppedReplyLoggedAt;
  boost::asio::signal_set m_Signals;
  boost::asio::steady_timer m_SettingsTimer;
  boost::asio::steady_timer m_DirectoryTimer;
  boost::asio::steady_timer m_StopTimer;
  std::unique_ptr<web::HttpServer> m_MetricsServer;
};

} // namespace psp::node

#endif
