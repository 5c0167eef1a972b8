/// \file
/// A control node: member of the control group, registry of endpoints, and the
/// place where operators call.

#ifndef PSP_COORDINATOR_COORDINATOR_H
#define PSP_COORDINATOR_COORDINATOR_H

#include "coordinator/ControlProtocol.h"
#include "coordinator/TokenAllocator.h"
#include "fleet/ControlMachine.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/LeaderTable.h"
#include "fleet/RouteTable.h"
#include "fleet/ServingConfiguration.h"
#include "link/GroupHost.h"
#include "link/RequestTable.h"
#include "node/NodeRuntime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace psp::coordinator {

struct CoordinatorOptions {
  std::uint16_t m_MetricsPort = 0;
  std::string m_PeerBindHost; ///< See node::NodeRuntimeOptions.
  /// A forwarded call fails after this long; callers wait a second.
  base::Duration m_ForwardTimeout = base::milliseconds(800);
  /// Founders of the history group are chosen this long after enough history
  /// nodes have come, so that all of a first start take part.
  base::Duration m_FoundDelay = base::milliseconds(700);
};

class Coordinator {
public:
  Coordinator(const CoordinatorOptions &Options,
              const node::SettingsSource &Source,
              const ControlProtocol &Protocol,
              const fleet::ConfigurationCodec &Codec);

  void run();

private:
  using LinkMessage = link::LinkMessage;
  using NodeState = fleet::NodeState;
  using Reply = messages::fleet::Reply;
  using Request = messages::fleet::Request;

  // Links.
  void onMessage(const NodeState &From, LinkMessage &Message);
  void onUp(const NodeState &Peer);
  boost::asio::awaitable<void> serveRequest(std::string From, Request Asked);
  boost::asio::awaitable<Reply> execute(Request Asked, bool MayForward);
  boost::asio::awaitable<Reply> executeAsLeader(Request Asked);
  boost::asio::awaitable<Reply> forward(const std::string &Node, Request Asked);

  // The group.
  const consensus::Group &group() const;
  void onProgress();
  void publishConfiguration();
  LinkMessage configurationMessage(messages::fleet::NodeKind For) const;
  void foundHistory();
  bool isInContact();

  // Endpoints.
  void spread(const messages::fleet::EndpointState &News);
  void flushBeats();
  void housekeeping();

  // Calls over HTTP.
  boost::asio::awaitable<web::Response> onCall(const web::Request &Received);
  ControlAnswer announce(const AnnounceCall &Call);
  ControlAnswer leave(const LeaveCall &Call);
  boost::asio::awaitable<ControlAnswer> submit(SubmitConfigurationCall Call);
  boost::asio::awaitable<ControlAnswer> read();
  boost::asio::awaitable<ControlAnswer> retire(RetireNodeCall Call);
  boost::asio::awaitable<ControlAnswer> startRetirement(std::string Member);
  boost::asio::awaitable<bool> hasRetired(std::string Node);
  boost::asio::awaitable<Reply> askHistory(std::uint32_t Group, Request Asked);
  std::size_t historyNodesBeside(const std::string &Member) const;

  void stop();

  CoordinatorOptions m_Options;
  const ControlProtocol &m_Protocol;
  const fleet::ConfigurationCodec &m_Codec;
  node::NodeRuntime m_Node;
  fleet::ControlMachine m_Machine;
  fleet::ServingConfiguration m_Current; ///< What the machine holds, decoded.
  fleet::EndpointDirectory m_Endpoints;
  fleet::LeaderTable m_HistoryLeaders;
  std::unique_ptr<link::GroupHost> m_Group;
  link::RequestTable m_Forwarded;
  TokenAllocator m_Tokens;
  std::unique_ptr<web::HttpServer> m_Server;

  /// Waiting for a commit or a read, by index and by ticket.
  std::map<std::uint64_t, link::Waiter *> m_CommitWaiters;
  std::map<std::uint64_t, link::Waiter *> m_ReadWaiters;
  std::uint64_t m_WaitTerm = 0;
  std::uint64_t m_PublishedRevision = 0;
  std::size_t m_MostEntries = 0;
  std::optional<base::TimePoint> m_EnoughHistoryAt;
  messages::fleet::EndpointUpdate m_BeatsForPeers;
  boost::asio::steady_timer m_BeatTimer;
  boost::asio::steady_timer m_HouseTimer;
};

} // namespace psp::coordinator

#endif
