/// \file
/// An entry instance: accepts callers' requests and has endpoints execute them.

#ifndef PSP_GATEWAY_GATEWAY_H
#define PSP_GATEWAY_GATEWAY_H

#include "fleet/EndpointDirectory.h"
#include "fleet/LeaderTable.h"
#include "fleet/RouteTable.h"
#include "gateway/CallMemory.h"
#include "gateway/CallProtocol.h"
#include "gateway/ConfigurationReceiver.h"
#include "gateway/EndpointChannel.h"
#include "gateway/HeldRequestTable.h"
#include "gateway/IdleLimit.h"
#include "gateway/InstancePlaces.h"
#include "gateway/LateStreamRecords.h"
#include "gateway/LeaderSearch.h"
#include "gateway/LingeringClose.h"
#include "gateway/LostCall.h"
#include "gateway/RateShares.h"
#include "gateway/ReachabilityProbe.h"
#include "gateway/RecentPrograms.h"
#include "gateway/RecordedVersions.h"
#include "gateway/SecondTries.h"
#include "gateway/ServicePlacement.h"
#include "gateway/SlowTransfers.h"
#include "link/RequestTable.h"
#include "node/NodeRuntime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace psp::gateway {

struct GatewayOptions {
  std::uint16_t m_MetricsPort = 0;
  /// If a leader doesn't reply within this time, the leader is searched for at
  /// other nodes: several round trips between data centres and a disk sync.
  base::Duration m_LeaderReplyTimeout = base::milliseconds(250);
  /// The same for a leader whose replies have been late.
  base::Duration m_MaxLeaderReplyTimeout = base::milliseconds(1000);
  /// Pause before the next attempt while no leader is known.
  base::Duration m_LeaderRetryDelay = base::milliseconds(40);
  /// A call waits this long for a leader before it is refused: the time of an
  /// election.
  base::Duration m_LeaderWaitTimeout = base::milliseconds(1200);
  /// Once the leader has been missing for the time of an election, further
  /// calls wait only this long.
  base::Duration m_MissingLeaderWaitTimeout = base::milliseconds(120);
  /// Recording an ended turn is attempted for this long.
  base::Duration m_RecordTimeout = base::seconds(20);
  /// How often the versions of usable endpoints are looked through for records
  /// that are due.
  base::Duration m_VersionCheckInterval = base::seconds(1);
  /// Timeout of each repeated record of a stream's version, and the pause after
  /// one that isn't confirmed.
  base::Duration m_LateRecordTimeout = base::seconds(1);
  base::Duration m_LateRecordPause = base::milliseconds(250);
  /// A connection to an endpoint must be established within this time: several
  /// round trips between data centres.
  base::Duration m_ConnectTimeout = base::milliseconds(300);
  /// Second tries of slow calls that may be repeated; by default none.
  SecondTriesOptions m_SecondTries{};
  /// Maximum number of endpoints that are tried one after another for one call.
  std::uint32_t m_MaxTries = 6;
  /// The history leader is probed after this long without a reply. The interval
  /// grows by the second value for each entry instance, since every instance
  /// probes.
  base::Duration m_BaseProbeInterval = base::milliseconds(200);
  base::Duration m_ProbeIntervalPerInstance = base::milliseconds(12);
  /// An instance is not ready if the leader has not replied for this many probe
  /// intervals.
  int m_ReadyProbeIntervals = 2;
  /// A stopping instance accepts calls for at least this long, until the
  /// balancer has detected that it is not ready.
  base::Duration m_StopDrainTime = base::milliseconds(3000);
  /// The result of a search for the endpoints of a service is used for this
  /// long, unless it says that there are no others.
  base::Duration m_EndpointSearchInterval = base::milliseconds(100);
  /// The endpoint of an abandoned call, which may still execute it, is checked
  /// this often, with a pause before each check.
  int m_AbandonedCallChecks = 3;
  base::Duration m_AbandonedCallPause = base::milliseconds(400);
  /// Abandoned calls beyond this number are not checked.
  std::size_t m_MaxAbandonedCalls = 64;
  /// An endpoint that is silent for longer than this doesn't merely pause.
  base::Duration m_MaxEndpointPause = base::seconds(2);
  /// A process that ends closes its connections and its listening socket one
  /// after another, within this time.
  base::Duration m_ProcessEndTime = base::milliseconds(20);
  /// Calls that still run at the end of a planned stop are answered in this
  /// time before the instance exits.
  base::Duration m_StopAnswerTime = base::milliseconds(300);
  /// A stopping instance exits this long before it would be killed.
  base::Duration m_StopMargin = base::milliseconds(700);
};

/// What a search for the endpoints of a service has found out besides them.
struct EndpointSearch {
  bool m_Answered = false; ///< A leader replied.
  bool m_Complete = false; ///< No other endpoint announces itself.
};

class Gateway {
public:
  Gateway(GatewayOptions Options, const node::SettingsSource &Source,
          const CallProtocol &Protocol, const fleet::ConfigurationCodec &Codec);

  void run();

  /// Sends a request to the leader of the nodes of \p Kind, for history to that
  /// of the group which \p LeaderRequest names, and searches for the leader if
  /// necessary. Empty if none replied within \p Timeout.
  boost::asio::awaitable<std::optional<messages::fleet::Reply>>
  requestFromLeader(messages::fleet::NodeKind Kind,
                    messages::fleet::Request LeaderRequest,
                    base::Duration Timeout);
  /// The history group that stores \p Program; empty until control has
  /// bootstrapped the groups.
  std::optional<std::uint32_t> groupOf(const std::string &Organisation,
                                       const std::string &Program) const;
  /// How long a call may wait for the leader of \p Group, which depends on how
  /// long the leader has been missing.
  base::Duration leaderWaitTimeout(std::uint32_t Group);
  /// Delay after which a caller should retry while there is no history leader.
  base::Duration retryDelayWithoutLeader();
  /// The active configuration. During the startup of a deployment, waits for
  /// the first one up to \p Timeout; null if there is none.
  boost::asio::awaitable<std::shared_ptr<const fleet::RouteTable>>
  waitForRouteTable(base::Duration Timeout);
  /// Records the end of a turn in the background.
  void recordTurnEndAsync(messages::fleet::EndTurn End);

  /// Null before the first configuration.
  const std::shared_ptr<const fleet::RouteTable> &routeTable() const {
    return m_RouteTable;
  }
  const GatewayOptions &options() const { return m_Options; }
  const CallProtocol &protocol() const { return m_Protocol; }
  node::NodeRuntime &node() { return m_Node; }
  boost::asio::io_context &io() { return m_Node.io(); }
  fleet::EndpointDirectory &endpoints() { return m_Endpoints; }
  InstancePlaces &places() { return m_Places; }
  /// That rates are divided among; zero: not known.
  std::uint32_t entryInstances() const { return m_EntryInstances; }
  /// The start of \p Id at \p StartTime announced in a response that it is
  /// leaving. It gets no new calls from this instance, and control and history
  /// nodes are notified.
  void onEndpointLeaving(const std::string &Id, std::uint64_t StartTime);
  HeldRequestTable &heldRequests() { return m_HeldRequests; }
  /// Finds out in the background whether the endpoint of \p Lost refuses
  /// connections, and reports its crash if so.
  void checkLostCallAsync(LostCall Lost);
  /// Reports that an endpoint has answered a suspected request.
  void reportSuccess(const std::string &Fingerprint);
  ServicePlacement &placement() { return m_Placement; }
  SecondTries &secondTries() { return m_SecondTries; }
  EndpointPool &pool() { return m_Pool; }
  boost::asio::awaitable<Reachability>
  probeEndpoint(const std::string &Address) {
    return m_Probe.check(Address);
  }
  /// Whether the process of the endpoint at \p Address runs now. One that
  /// accepts no further connection still does if an idle one stays open. One
  /// that pauses is waited for, up to \p Limit.
  boost::asio::awaitable<bool> isRunning(std::string Address,
                                         base::Duration Limit);
  /// Repeats a record of a stream's version until history confirms it. Returns
  /// false if too many wait; that one isn't repeated.
  bool recordStreamLater(LateStreamRecord Record);
  /// Has history record that \p Software generates streams of \p Service,
  /// unless it is recorded already. False if no leader confirmed it.
  boost::asio::awaitable<bool> ensureVersionRecorded(std::string Service,
                                                     std::string Software,
                                                     base::Duration Timeout);
  /// The group that dispatches turns of \p Service; empty before the groups are
  /// known.
  std::optional<std::uint32_t> groupOfService(const std::string &Service) const;
  /// Merges what a leader of the nodes of \p Kind knows of the endpoints of
  /// \p Service. Calls share the search.
  boost::asio::awaitable<EndpointSearch>
  findEndpoints(messages::fleet::NodeKind Kind, std::string Service,
                base::Duration Timeout);
  /// The same for this call alone, and for \p Endpoint only unless that is
  /// empty.
  boost::asio::awaitable<EndpointSearch>
  searchEndpoints(messages::fleet::NodeKind Kind, std::string Service,
                  std::string Endpoint, base::Duration Timeout);
  /// Suspends a coroutine.
  boost::asio::awaitable<void> pause(base::Duration Length);
  RateShares &rates() { return m_Rates; }
  CallMemory &callMemory() { return m_CallMemory; }
  SlowTransfers &slowTransfers() { return m_SlowTransfers; }
  /// Ends the transfers that are too slow, and reports the memory of calls.
  void endSlowTransfers();
  void countSlowTransfer(const std::string &OtherSide);
  RecentPrograms &programs() { return m_Programs; }
  /// Whether the balancer should route callers to this instance.
  bool isReady() const;
  bool isStopping() const { return m_StoppingSince.has_value(); }
  /// A uniform random number in [0, 1).
  double randomUnit();

  /// When the calls that still run are ended; empty without a planned stop.
  std::optional<base::TimePoint> callsEndAt() const;
  /// Registers \p EndNow, which ends a running call. The result identifies it
  /// for removeCall().
  std::uint64_t addCall(std::function<void()> EndNow);
  void removeCall(std::uint64_t Id) { m_Calls.erase(Id); }

  /// Whether the drain time of a planned stop is over, so that no more calls
  /// are accepted.
  bool isClosing() const { return m_Closing; }
  /// Registers a connection that waits for a request, with \p EndWait to end
  /// the wait. The result identifies it for removeIdleConnection().
  std::uint64_t addIdleConnection(std::function<void()> EndWait);
  void removeIdleConnection(std::uint64_t Id) { m_IdleConnections.erase(Id); }
  const IdleLimit &idleLimit() const { return m_IdleLimit; }
  LingeringClose &lingeringClose() { return m_LingeringClose; }

  /// Counts a call, from the first byte of its request to the end of its
  /// response, or to that of its connection. A planned stop waits for it.
  class ActiveCall {
  public:
    explicit ActiveCall(Gateway &Owner) : m_Gateway(Owner) {
      ++m_Gateway.m_ActiveCalls;
    }
    ~ActiveCall() { --m_Gateway.m_ActiveCalls; }
    ActiveCall(const ActiveCall &) = delete;
    ActiveCall &operator=(const ActiveCall &) = delete;

  private:
    Gateway &m_Gateway;
  };

private:
  using LinkMessage = link::LinkMessage;
  using NodeState = fleet::NodeState;

  void onMessage(const link::MessageSource &From, LinkMessage &Message);
  void onHeldRequests(const messages::fleet::HeldRequests &Update);
  void onConfiguration(const NodeState &From,
                       const messages::fleet::ConfigurationUpdate &Update);

  // The configuration's document, in GatewayConfiguration.cpp.
  void onControlConnected(const NodeState &Peer);
  void onDocumentUpdate(const NodeState &From,
                        const messages::fleet::ConfigurationUpdate &Update);
  /// Returns false if \p Received replies to another kind of request.
  bool onDocumentReply(const messages::fleet::Reply &Received);
  /// Sends the requests that are due, and decodes what has come.
  void pursueDocument();
  boost::asio::awaitable<void> decodeDocuments();
  boost::asio::awaitable<bool> decode(ConfigurationText Text);
  void putInForce(const ConfigurationText &Text);

  boost::asio::awaitable<void> recordTurnEnd(messages::fleet::EndTurn End);
  boost::asio::awaitable<void> checkLostCall(LostCall Lost);
  boost::asio::awaitable<bool> endsSoon(std::string Address);
  boost::asio::awaitable<bool> recordServiceVersion(std::string Service,
                                                    std::string Software,
                                                    base::Duration Timeout);
  void renewServiceVersions();
  boost::asio::awaitable<void> sendLateRecords();
  void mergeEndpoint(const fleet::EndpointState &Endpoint);
  void runMaintenance();
  void probeLeader();
  base::Duration probeInterval() const;
  void onLeaders(const messages::fleet::LeaderUpdate &Update);
  std::string pickNode(messages::fleet::NodeKind Kind,
                       const LeaderSearch &Search);
  /// \p Group is used for history nodes only.
  LeaderSearch &searchFor(messages::fleet::NodeKind Kind, std::uint32_t Group);
  boost::asio::awaitable<std::optional<messages::fleet::Reply>>
  requestFromNode(const std::string &Node,
                  messages::fleet::Request &LeaderRequest,
                  base::Duration Timeout);
  void stop();
  void finishWhenIdle();
  void closeIdleConnections();
  void endCalls();
  void closeAcceptor();

  GatewayOptions m_Options;
  const CallProtocol &m_Protocol;
  const fleet::ConfigurationCodec &m_Codec;
  node::NodeRuntime m_Node;
  std::shared_ptr<const fleet::RouteTable> m_RouteTable;
  ConfigurationReceiver m_DocumentReceiver;
  std::unique_ptr<fleet::ConfigurationDecoder> m_Decoder;
  bool m_Decoding = false;
  boost::asio::steady_timer m_DocumentTimer;
  fleet::EndpointDirectory m_Endpoints;
  InstancePlaces m_Places;
  CallMemory m_CallMemory;
  SlowTransfers m_SlowTransfers;
  EndpointPool m_Pool;
  ReachabilityProbe m_Probe;
  ServicePlacement m_Placement;
  SecondTries m_SecondTries;
  HeldRequestTable m_HeldRequests;
  std::size_t m_AbandonedCalls = 0; ///< That wait for their check.
  RecordedVersions m_RecordedVersions;
  LateStreamRecords m_LateRecords;
  bool m_SendingLateRecords = false;
  base::TimePoint m_VersionsCheckAt; ///< Next renewal of their records.
  /// Services whose streams may be taken up, and their longest timeout.
  std::map<std::string, base::Duration> m_ResumableServices;
  RateShares m_Rates;
  RecentPrograms m_Programs;
  link::RequestTable m_PendingRequests;
  std::uint32_t m_HistoryGroupCount = 0; ///< Zero until bootstrapped.
  std::uint32_t m_NextProbedGroup = 0;
  fleet::LeaderTable m_Leaders;
  std::map<std::uint32_t, LeaderSearch> m_HistorySearches; ///< By group.
  LeaderSearch m_ControlSearch;
  /// A search for all endpoints of a service. Calls share it, since many come
  /// back at once after a restart of everything.
  struct SharedSearch {
    bool m_Running = false;
    std::uint64_t m_Begun = 0; ///< Number of searches.
    base::TimePoint m_SentAt;  ///< Of the last search.
    EndpointSearch m_Last;     ///< Result of the last one that has ended.
    std::vector<std::shared_ptr<link::Waiter>> m_Waiters; ///< For its end.
  };
  boost::asio::awaitable<void> waitForSearch(SharedSearch &Shared,
                                             base::Duration Timeout);
  void finishSearch(SharedSearch &Shared);
  std::map<std::pair<messages::fleet::NodeKind, std::string>, SharedSearch>
      m_EndpointSearches;
  std::size_t m_NextNode = 0;
  base::TimePoint m_StartedAt;
  /// Of calls that wait for the first route table.
  std::set<link::Waiter *> m_RouteTableWaiters;
  base::TimePoint m_LeaderRepliedAt;
  std::uint32_t m_EntryInstances = 0; ///< Zero: not known.
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::unique_ptr<web::HttpServer> m_ReadinessServer;
  boost::asio::steady_timer m_MaintenanceTimer;
  boost::asio::steady_timer m_StopTimer;
  std::optional<base::TimePoint> m_StoppingSince;
  std::uint32_t m_ActiveCalls = 0;
  bool m_Closing = false;
  bool m_EndingCalls = false;
  std::uint64_t m_LastCallId = 0;
  std::map<std::uint64_t, std::function<void()>> m_Calls; ///< Running ones.
  IdleLimit m_IdleLimit{fleet::CallerLimits{}.m_IdleTimeout};
  LingeringClose m_LingeringClose;
  std::uint64_t m_LastIdleId = 0;
  std::map<std::uint64_t, std::function<void()>> m_IdleConnections;
  bool m_ReportedReady = false;
  bool m_ProbePending = false;
  std::mt19937_64 m_Random;
};

} // namespace psp::gateway

#endif
