/// \file
/// A control node: a member of the control group, which keeps the registry of
/// endpoints and serves the calls of operators.

#ifndef PSP_COORDINATOR_COORDINATOR_H
#define PSP_COORDINATOR_COORDINATOR_H

#include "coordinator/ConfigurationPublisher.h"
#include "coordinator/ControlProtocol.h"
#include "coordinator/CrashTracker.h"
#include "coordinator/EndpointPublisher.h"
#include "coordinator/EntryInstanceCount.h"
#include "coordinator/PathTrials.h"
#include "coordinator/TokenAllocator.h"
#include "fleet/ControlStateMachine.h"
#include "fleet/DirectoryCoverage.h"
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
#include <set>
#include <string>

namespace psp::coordinator {

struct CoordinatorOptions {
  std::uint16_t m_MetricsPort = 0;
  std::string m_PeerBindHost; ///< See node::NodeRuntimeOptions.
  /// A forwarded call fails after this long; callers wait for one second.
  base::Duration m_ForwardTimeout = base::milliseconds(800);
  /// The initial members of the history groups are chosen this long after
  /// enough history nodes are connected, so that all nodes of a first start are
  /// included.
  base::Duration m_BootstrapDelay = base::milliseconds(700);
  /// Whether an organisation's tokens cover whole programs; otherwise a fixed
  /// part is reserved for programs that have begun.
  bool m_AllowancesByPrograms = false;
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
  void onMessage(const link::MessageSource &From, LinkMessage &Message);
  void onPeerUp(const NodeState &Peer);
  boost::asio::awaitable<void> serveRequest(fleet::ReplyAddress From,
                                            Request Received);
  boost::asio::awaitable<Reply> execute(Request Received, bool MayForward);
  boost::asio::awaitable<Reply> executeAsLeader(Request Received);
  // Tokens, in CoordinatorTokens.cpp.
  Reply allocateTokens(const Request &Received);
  void countEndedPrograms(const std::string &Organisation,
                          const ProgramAllowance &Programs);
  boost::asio::awaitable<bool> confirmRead();
  /// Proposes \p Command. Returns whether it was committed in time.
  boost::asio::awaitable<bool>
  commit(messages::fleet::ControlGroupCommand Command);
  boost::asio::awaitable<Reply> forward(const std::string &Node,
                                        Request Forwarded);

  // The control group.
  /// Number of the only control group.
  static constexpr std::uint32_t ControlGroup = 0;
  const consensus::Group &group() const;
  void onProgress();
  void publishConfiguration();
  LinkMessage configurationMessage(messages::fleet::NodeKind For) const;

  // The configuration's document, in CoordinatorConfiguration.cpp.
  /// Throws UserError(InvalidConfiguration). Lets other calls through
  /// meanwhile.
  boost::asio::awaitable<void> checkDocument(std::string Document);
  /// Decodes the document that the group has agreed on.
  void decodeDocument();
  /// Sends the present update to an entry instance, or to all of them.
  void announceConfiguration(const std::string &Instance);
  void announceConfiguration();
  void replyWithDocument(const fleet::ReplyAddress &To,
                         const Request &Received);
  void serveInstancesThatDontFetch();

  /// Counts the entry instances that are connected, and has a change recorded.
  void countEntryInstances();
  void bootstrapHistory();
  bool canReachEntryInstances();

  // Requests that end endpoints, in CoordinatorHolds.cpp.
  void onCrashReports(const messages::fleet::CrashReports &Reports);
  void onCrash(const messages::fleet::EndpointCrash &Crash);
  void holdSuspects();
  void publishHeldRequests();
  LinkMessage heldRequestsMessage() const;
  boost::asio::awaitable<Reply> tryHeldRequest(std::string Fingerprint);
  Reply tryTurnOnHeldPath(const std::string &Path);
  boost::asio::awaitable<ControlAnswer> releaseRequest(ReleaseRequestCall Call);

  // Evacuated data centres, in CoordinatorPlaces.cpp.
  boost::asio::awaitable<ControlAnswer> evacuate(EvacuateCall Call);
  void addEvacuations(messages::fleet::ConfigurationUpdate &Update) const;
  void publishEvacuations();

  /// Clears or completes the cold time that an endpoint states.
  void completeColdTime(AnnounceCall &Call) const;

  // Endpoints.
  /// Tells all nodes of a change that reached this node first.
  void broadcastEndpoint(const messages::fleet::EndpointState &Endpoint);
  /// Tells those nodes that other control nodes don't tell.
  void passOnEndpoint(const messages::fleet::EndpointState &Endpoint);
  void onEndpointChange(const messages::fleet::EndpointState &Endpoint);
  /// Tells the nodes of data centres whose control nodes have fallen silent
  /// what they may have missed.
  void checkControlDataCentres();
  void flushHeartbeats();
  void runMaintenance();

  // Calls over HTTP.
  boost::asio::awaitable<web::Response> onCall(const web::Request &Received);
  void checkService(const fleet::EndpointState &Announced) const;
  ControlAnswer announce(AnnounceCall Call);
  ControlAnswer leave(const LeaveCall &Call);
  boost::asio::awaitable<ControlAnswer>
  submitConfiguration(SubmitConfigurationCall Call);
  boost::asio::awaitable<ControlAnswer> readConfiguration();
  boost::asio::awaitable<ControlAnswer> retireNode(RetireNodeCall Call);
  boost::asio::awaitable<ControlAnswer> startRetirement(std::string Member);
  boost::asio::awaitable<bool> isRetired(std::string Node);
  boost::asio::awaitable<Reply> queryHistoryGroup(std::uint32_t Group,
                                                  Request Query);
  std::size_t countOtherHistoryNodes(const std::string &Member) const;

  void stop();

  CoordinatorOptions m_Options;
  const ControlProtocol &m_Protocol;
  const fleet::ConfigurationCodec &m_Codec;
  node::NodeRuntime m_Node;
  fleet::ControlStateMachine m_StateMachine;
  fleet::ServingConfiguration m_Configuration; ///< Decoded from m_StateMachine.
  std::unique_ptr<fleet::ConfigurationDecoder> m_Decoder; ///< Of the above.
  ConfigurationPublisher m_Publisher;
  fleet::EndpointDirectory m_Endpoints;
  EndpointPublisher m_EndpointPublisher;
  fleet::DirectoryCoverage m_EndpointCoverage; ///< Of m_Endpoints.
  fleet::LeaderTable m_HistoryLeaders;
  std::unique_ptr<link::GroupHost> m_Group;
  link::RequestTable m_ForwardedRequests;
  TokenAllocator m_TokenAllocator;
  /// Programs that are in the metrics, by organisation: ended, and refused
  /// last.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      m_CountedPrograms;
  CrashTracker m_CrashTracker;
  /// Requests for which a hold was proposed in this term.
  PathTrials m_PathTrials;
  std::set<std::string> m_PendingHolds;
  /// Held requests for which permission to be tried is being committed.
  std::set<std::string> m_PendingTries;
  std::uint64_t m_PublishedHolds = 0; ///< Revision of the held requests.
  /// Holds of which this node has written a log line: number, by fingerprint.
  std::map<std::string, std::uint32_t> m_LoggedHolds;
  std::unique_ptr<web::HttpServer> m_Server;

  /// Coroutines that wait for a commit, by index, or a read, by ticket.
  std::map<std::uint64_t, link::Waiter *> m_CommitWaiters;
  std::map<std::uint64_t, link::Waiter *> m_ReadWaiters;
  std::uint64_t m_WaitersTerm = 0; ///< Term in which the waiters began.
  std::uint64_t m_PublishedRevision = 0;
  std::uint64_t m_PublishedEvacuations = 0; ///< Their revision.
  EntryInstanceCount m_EntryInstances{base::readMonotonic()};
  /// Proposed in this term.
  std::optional<std::uint32_t> m_ProposedEntryInstances;
  /// The number that entry instances were last told to divide rates by.
  std::uint32_t m_PublishedDivisor = 0;
  /// Since when enough history nodes are connected.
  std::optional<base::TimePoint> m_EnoughHistoryNodesAt;
  /// Announcements that are not yet forwarded to the other control nodes.
  messages::fleet::EndpointUpdate m_PendingHeartbeats;
  boost::asio::steady_timer m_HeartbeatTimer;
  boost::asio::steady_timer m_MaintenanceTimer;
};

} // namespace psp::coordinator

#endif
