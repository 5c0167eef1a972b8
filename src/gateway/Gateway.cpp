#include "gateway/Gateway.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "fleet/ProgramGroups.h"
#include "gateway/CallerSession.h"
#include "gateway/RetryTime.h"
#include "gateway/SocketBuffers.h"
#include "metrics/Names.h"
#include "node/EvacuationUpdate.h"
#include "web/AcceptLoop.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::readClocks;
using messages::fleet::EndTurn;
using messages::fleet::NODE_CONTROL;
using messages::fleet::NODE_ENTRY;
using messages::fleet::NODE_HISTORY;
using messages::fleet::NodeKind;
using messages::fleet::Reply;

namespace {

constexpr base::Duration MaintenanceInterval = base::milliseconds(150);
/// Longer than any pause of a program between two calls.
constexpr base::Duration ProgramRetentionTime = base::seconds(30);
constexpr base::Duration StopCheckInterval = base::milliseconds(100);

std::uint64_t seedOf(const std::string &Name) {
  return base::stableHash(Name + std::to_string(readClocks().m_Wall));
}

/// Whether a leader with earlier software stays silent on \p Sent, which says
/// nothing about who leads.
bool isUnknownToEarlierNodes(messages::fleet::NodeKind Kind,
                             const messages::fleet::Request &Sent) {
  return Sent.has_service_version() || Sent.has_find_service_version() ||
         Sent.has_read_chain() ||
         (Kind == messages::fleet::NODE_HISTORY && Sent.has_find_endpoints());
}

} // namespace

Gateway::Gateway(GatewayOptions Options, const node::SettingsSource &Source,
                 const CallProtocol &Protocol,
                 const fleet::ConfigurationCodec &Codec)
    : m_Options(Options), m_Protocol(Protocol), m_Codec(Codec),
      m_Node({.m_Program = "psp-gateway",
              .m_Kind = NODE_ENTRY,
              .m_MetricsPort = Options.m_MetricsPort,
              .m_Listens = false,
              .m_PeerBindHost = {}},
             Source),
      m_DocumentReceiver({.m_Instance = m_Node.settings().m_Name,
                          .m_DataCentre = m_Node.settings().m_DataCentre}),
      m_Decoder(Codec.makeDecoder()), m_DocumentTimer(m_Node.io()),
      m_Places(m_Node.settings(), m_Endpoints),
      m_CallMemory({.m_ProcessBytes = m_Node.settings().m_MemoryBytes}),
      m_Pool(m_Node.io(), {}),
      m_Probe(m_Node.io(), m_Pool, Options.m_ConnectTimeout),
      m_Placement({.m_DataCentre = m_Node.settings().m_DataCentre,
                   .m_Seed = seedOf(m_Node.settings().m_Name)},
                  m_Pool),
      m_SecondTries(Options.m_SecondTries), m_PendingRequests(m_Node.io()),
      m_ControlSearch(m_Node.io()), m_Acceptor(m_Node.io()),
      m_MaintenanceTimer(m_Node.io()), m_StopTimer(m_Node.io()),
      m_Random(seedOf(m_Node.settings().m_Name + "/draw")) {}

void Gateway::run() {
  m_StartedAt = base::readMonotonic();
  const node::NodeSettings &Settings = m_Node.settings();
  m_Node.start("",
               {.m_OnMessage =
                    [this](const link::MessageSource &From,
                           LinkMessage &Message) { onMessage(From, Message); },
                .m_OnConnected =
                    [this](const NodeState &Peer) { onControlConnected(Peer); },
                .m_OnDisconnected =
                    [this](const NodeState &Peer) {
                      m_DocumentReceiver.onDisconnected(Peer.name());
                      pursueDocument();
                    },
                .m_OnStop = [this] { stop(); }});
  const link::PeerAddress &CallerAddress = Settings.m_CallerAddress.value();
  const tcp::endpoint ListenAddress(
      asio::ip::make_address(CallerAddress.m_Host), CallerAddress.m_Port);
  m_Acceptor.open(ListenAddress.protocol());
  limitSocketBuffers(m_Acceptor);
  m_Acceptor.set_option(asio::socket_base::reuse_address(true));
  m_Acceptor.bind(ListenAddress);
  m_Acceptor.listen();
  web::spawn(io().get_executor(), "accept_callers", web::Lasting(*this),
             [](Gateway &Self) {
               return web::acceptConnections(Self.m_Acceptor, "accept_callers",
                                             [&Self](tcp::socket Socket) {
                                               startSession(Self,
                                                            std::move(Socket));
                                             });
             });
  m_ReadinessServer = std::make_unique<web::HttpServer>(
      io(),
      web::HttpServerOptions{.m_Address = Settings.m_ReadinessAddress.value()},
      [this](const web::Request &) -> asio::awaitable<web::Response> {
        web::Response Readiness;
        Readiness.result(isReady()
                             ? boost::beast::http::status::ok
                             : boost::beast::http::status::service_unavailable);
        co_return Readiness;
      });
  m_ReadinessServer->start();
  runMaintenance();
  m_Node.run();
}

void Gateway::onMessage(const link::MessageSource &From, LinkMessage &Message) {
  if (Message.has_reply()) {
    if (!onDocumentReply(Message.reply()))
      m_Node.onReply(m_PendingRequests, Message.reply());
  } else if (Message.has_configuration())
    onConfiguration(From.m_Node, Message.configuration());
  else if (Message.has_leaders())
    onLeaders(Message.leaders());
  else if (Message.has_held())
    onHeldRequests(Message.held());
  else if (Message.has_suspected())
    for (const std::string &Fingerprint : Message.suspected().fingerprints())
      m_HeldRequests.suspect(Fingerprint, base::readMonotonic());
  else if (Message.has_endpoints())
    for (const auto &Endpoint : Message.endpoints().endpoints())
      mergeEndpoint(Endpoint);
}

void Gateway::mergeEndpoint(const fleet::EndpointState &Endpoint) {
  if (!m_Endpoints.merge(Endpoint, false, base::readMonotonic()))
    return;
  m_VersionsCheckAt = {};
  m_Node.log().write(
      "endpoint_changed",
      {{"endpoint", Endpoint.id()},
       {"address", Endpoint.address()},
       {"service", Endpoint.service()},
       {"software", Endpoint.software()},
       {"cold_ms", Endpoint.cold_left_ms()},
       {"phase", messages::fleet::EndpointPhase_Name(Endpoint.phase())}});
}

void Gateway::onEndpointLeaving(const std::string &Id,
                                std::uint64_t StartTime) {
  if (!m_Endpoints.markDraining(Id, StartTime, base::readMonotonic()))
    return;
  m_Node.log().write("endpoint_leaving",
                     {{"endpoint", Id}, {"born", StartTime}});
  LinkMessage Message;
  *Message.mutable_endpoints()->add_endpoints() = *m_Endpoints.find(Id);
  m_Node.broadcast(Message);
}

void Gateway::onConfiguration(
    const NodeState &From, const messages::fleet::ConfigurationUpdate &Update) {
  m_EntryInstances = std::max(m_EntryInstances, Update.entry_instances());
  m_Rates.setInstances(m_EntryInstances);
  m_HistoryGroupCount = std::max(m_HistoryGroupCount, Update.history_groups());
  node::takeEvacuations(m_Node, m_Endpoints, Update);
  onDocumentUpdate(From, Update);
}

void Gateway::onHeldRequests(const messages::fleet::HeldRequests &Update) {
  m_HeldRequests.update(Update, base::readMonotonic());
  m_Node.metrics()
      .gauge(metrics::names::RequestsHeld)
      .set(static_cast<std::int64_t>(m_HeldRequests.heldCount()));
  m_Node.log().write("held_requests_received",
                     {{"revision", Update.revision()},
                      {"requests", m_HeldRequests.heldCount()}});
}

void Gateway::checkLostCallAsync(LostCall Lost) {
  if (Lost.m_Kind == LostCall::Kind::Abandoned &&
      m_AbandonedCalls >= m_Options.m_MaxAbandonedCalls)
    return;
  web::spawn(io().get_executor(), "check_lost_call", web::Lasting(*this),
             [Lost = std::move(Lost)](Gateway &Self) mutable {
               return Self.checkLostCall(std::move(Lost));
             });
}

asio::awaitable<void> Gateway::checkLostCall(LostCall Lost) {
  messages::fleet::EndpointCrash &Crash = Lost.m_Crash;
  Reachability Shown = Reachability::Refuses;
  if (Lost.m_Kind == LostCall::Kind::Abandoned) {
    if (!co_await endsSoon(Lost.m_Address))
      co_return;
    Lost.m_LostAt = base::readMonotonic();
  } else {
    Shown = co_await m_Probe.checkUntilKnown(Lost.m_Address,
                                             m_Options.m_MaxEndpointPause);
  }
  const base::TimePoint Now = base::readMonotonic();
  m_Node.log().write("endpoint_lost_call",
                     {{"fingerprint", base::toHex(Crash.fingerprint())},
                      {"organisation", Crash.organisation()},
                      {"route", Crash.route()},
                      {"endpoint", Crash.endpoint()},
                      {"born", Crash.born()},
                      {"reachable", reachabilityName(Shown)}});
  // An endpoint that answers nothing may be out of reach.
  if (Shown != Reachability::Refuses)
    co_return;
  const auto Ago = [Now](base::TimePoint Time) {
    return static_cast<std::uint64_t>((Now - Time).count());
  };
  Crash.set_sent_us_ago(Ago(Lost.m_SentAt));
  Crash.set_lost_us_ago(Ago(Lost.m_LostAt));
  m_HeldRequests.suspect(Crash.fingerprint(), Now);
  LinkMessage Message;
  *Message.mutable_crashes()->add_crashes() = std::move(Crash);
  m_Node.broadcast(Message, NODE_CONTROL);
}

asio::awaitable<bool> Gateway::isRunning(std::string Address,
                                         base::Duration Limit) {
  co_await pause(m_Options.m_ProcessEndTime);
  Reachability Shown = co_await m_Probe.checkAnew(Address);
  if (Shown == Reachability::Silent && !m_Pool.hasLive(Address))
    Shown = co_await m_Probe.checkUntilKnown(
        Address, std::min(Limit, m_Options.m_MaxEndpointPause));
  co_return Shown == Reachability::Accepts || m_Pool.hasLive(Address);
}

/// Whether the process of the endpoint of an abandoned call ends soon after.
asio::awaitable<bool> Gateway::endsSoon(std::string Address) {
  ++m_AbandonedCalls;
  Reachability Shown = Reachability::Accepts;
  for (int Check = 0; Check < m_Options.m_AbandonedCallChecks &&
                      Shown != Reachability::Refuses;
       ++Check) {
    co_await pause(m_Options.m_AbandonedCallPause);
    if (!m_Pool.hasLive(Address))
      Shown = co_await m_Probe.check(Address);
  }
  --m_AbandonedCalls;
  co_return Shown == Reachability::Refuses;
}

void Gateway::reportSuccess(const std::string &Fingerprint) {
  LinkMessage Message;
  Message.mutable_crashes()->add_succeeded(Fingerprint);
  m_Node.broadcast(Message, NODE_CONTROL);
}

void Gateway::onLeaders(const messages::fleet::LeaderUpdate &Update) {
  for (const auto &Leader : Update.leaders())
    if (m_Leaders.merge(Leader))
      searchFor(NODE_HISTORY, Leader.group()).setLeader(Leader.node());
}

LeaderSearch &Gateway::searchFor(NodeKind Kind, std::uint32_t Group) {
  return Kind == NODE_HISTORY
             ? m_HistorySearches.try_emplace(Group, io()).first->second
             : m_ControlSearch;
}

std::optional<std::uint32_t>
Gateway::groupOf(const std::string &Organisation,
                 const std::string &Program) const {
  if (m_HistoryGroupCount == 0)
    return std::nullopt;
  return fleet::groupOfProgram(Organisation, Program, m_HistoryGroupCount);
}

std::string Gateway::pickNode(NodeKind Kind, const LeaderSearch &Search) {
  for (const std::string &Candidate : {Search.leader(), Search.hint()})
    if (!Candidate.empty() && m_Node.links().isConnected(Candidate))
      return Candidate;
  std::vector<std::string> Names;
  for (const NodeState &Node : m_Node.nodes().ofKind(Kind))
    if (m_Node.links().isConnected(Node.name()) && !Node.stopping())
      Names.push_back(Node.name());
  return Names.empty() ? std::string() : Names[m_NextNode++ % Names.size()];
}

asio::awaitable<std::optional<Reply>>
Gateway::requestFromLeader(NodeKind Kind,
                           messages::fleet::Request LeaderRequest,
                           base::Duration Timeout) {
  const base::TimePoint Deadline = base::readMonotonic() + Timeout;
  LeaderSearch &Search = searchFor(Kind, LeaderRequest.group());
  std::string FirstSentTo;
  base::TimePoint FirstSentAt;
  while (base::readMonotonic() < Deadline) {
    const auto Result =
        co_await Search.waitForLeader(Deadline - base::readMonotonic());
    if (Result == LeaderSearch::WaitResult::TimedOut)
      break;
    const std::string Node = pickNode(Kind, Search);
    if (FirstSentTo.empty()) {
      FirstSentTo = Node;
      FirstSentAt = base::readMonotonic();
    }
    const base::Duration ReplyTimeout =
        Node == Search.leader()
            ? Search.replyTimeout(m_Options.m_LeaderReplyTimeout,
                                  m_Options.m_MaxLeaderReplyTimeout)
            : m_Options.m_LeaderReplyTimeout;
    auto LeaderReply = co_await requestFromNode(
        Node, LeaderRequest,
        std::min<base::Duration>(ReplyTimeout,
                                 Deadline - base::readMonotonic()));
    const bool FromLeader =
        LeaderReply && LeaderReply->kind() != messages::fleet::REPLY_NOT_LEADER;
    if (FromLeader) {
      // Another node may have relayed the leader's reply.
      const std::string Leader =
          LeaderReply->leader().empty() ? Node : LeaderReply->leader();
      Search.confirmLeader(Leader, base::readMonotonic());
      if (Leader == FirstSentTo)
        Search.recordReplyTime(base::readMonotonic() - FirstSentAt);
      if (Kind == NODE_HISTORY)
        m_LeaderRepliedAt = base::readMonotonic();
    } else {
      const bool KeepsLeader = !LeaderReply &&
                               Result != LeaderSearch::WaitResult::Search &&
                               isUnknownToEarlierNodes(Kind, LeaderRequest);
      if (!KeepsLeader)
        Search.clearLeader(Node);
      const bool HasHint = LeaderReply && LeaderReply->leader() != Node;
      if (HasHint)
        Search.setHint(LeaderReply->leader());
      const bool ShouldPause =
          Node.empty() ||
          (LeaderReply && (!HasHint || LeaderReply->leader().empty()));
      if (ShouldPause)
        co_await pause(m_Options.m_LeaderRetryDelay);
    }
    if (Result == LeaderSearch::WaitResult::Search)
      Search.finishSearch();
    if (FromLeader)
      co_return LeaderReply;
  }
  co_return std::nullopt;
}

/// Empty if \p Node is empty or didn't reply in time.
asio::awaitable<std::optional<Reply>>
Gateway::requestFromNode(const std::string &Node,
                         messages::fleet::Request &LeaderRequest,
                         base::Duration Timeout) {
  if (Node.empty())
    co_return std::nullopt;
  LeaderRequest.set_id(m_PendingRequests.nextId());
  LinkMessage Message;
  // Swapped, since a copy of a long turn would be held beside it.
  Message.mutable_request()->Swap(&LeaderRequest);
  m_Node.links().send(Node, Message);
  Message.mutable_request()->Swap(&LeaderRequest);
  co_return co_await m_PendingRequests.wait(LeaderRequest.id(), Timeout);
}

asio::awaitable<void> Gateway::pause(base::Duration Length) {
  asio::steady_timer Timer(io(), Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::shared_ptr<const fleet::RouteTable>>
Gateway::waitForRouteTable(base::Duration Timeout) {
  const base::Duration Remaining = std::min(
      Timeout, remainingStartupTime(base::readMonotonic() - m_StartedAt));
  if (!m_RouteTable && Remaining > base::Duration(0)) {
    link::Waiter TableWaiter(io());
    m_RouteTableWaiters.insert(&TableWaiter);
    co_await TableWaiter.wait(Remaining);
    m_RouteTableWaiters.erase(&TableWaiter);
  }
  co_return m_RouteTable;
}

base::Duration Gateway::leaderWaitTimeout(std::uint32_t Group) {
  const LeaderSearch &Search = searchFor(NODE_HISTORY, Group);
  const base::TimePoint LastReplyAt =
      std::max(Search.lastReplyAt(), m_StartedAt);
  const bool Missing =
      Search.leader().empty() &&
      base::readMonotonic() - LastReplyAt > m_Options.m_LeaderWaitTimeout;
  return Missing ? m_Options.m_MissingLeaderWaitTimeout
                 : m_Options.m_LeaderWaitTimeout;
}

base::Duration Gateway::retryDelayWithoutLeader() {
  return gateway::retryDelayWithoutLeader(
      {.m_Uptime = base::readMonotonic() - m_StartedAt,
       .m_HistoryNodes = m_Node.nodes().ofKind(NODE_HISTORY).size(),
       .m_ReachableNodes = m_Node.connectedNodeCount(NODE_HISTORY)});
}

std::optional<std::uint32_t>
Gateway::groupOfService(const std::string &Service) const {
  if (m_HistoryGroupCount == 0)
    return std::nullopt;
  return fleet::dispatchingGroup(Service, m_HistoryGroupCount);
}

asio::awaitable<bool> Gateway::ensureVersionRecorded(std::string Service,
                                                     std::string Software,
                                                     base::Duration Timeout) {
  const base::TimePoint Now = base::readMonotonic();
  if (m_RecordedVersions.isRecorded(Service, Software, Now))
    co_return true;
  // History may have earlier software that doesn't answer.
  if (m_RecordedVersions.hasFailed(Service, Software))
    co_return false;
  co_return co_await recordServiceVersion(std::move(Service),
                                          std::move(Software), Timeout);
}

asio::awaitable<bool> Gateway::recordServiceVersion(std::string Service,
                                                    std::string Software,
                                                    base::Duration Timeout) {
  const auto Group = groupOfService(Service);
  const auto Longest = m_ResumableServices.find(Service);
  if (!Group || Longest == m_ResumableServices.end())
    co_return false;
  const base::TimePoint SentAt = base::readMonotonic();
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(*Group);
  auto &Recorded = *LeaderRequest.mutable_service_version();
  Recorded.set_service(Service);
  Recorded.set_software(Software);
  Recorded.set_retention_ms(
      base::wholeMilliseconds(m_RecordedVersions.retention(Longest->second)));
  const auto LeaderReply =
      co_await requestFromLeader(NODE_HISTORY, LeaderRequest, Timeout);
  const bool Confirmed =
      LeaderReply && LeaderReply->kind() == messages::fleet::REPLY_OK;
  if (Confirmed) {
    m_RecordedVersions.onRecorded(Service, Software, SentAt);
  } else {
    m_RecordedVersions.onFailed(Service, Software);
    m_Node.log().write("service_version_not_recorded",
                       {{"service", Service}, {"software", Software}});
  }
  co_return Confirmed;
}

bool Gateway::recordStreamLater(LateStreamRecord Record) {
  if (!m_LateRecords.add(std::move(Record)))
    return false;
  if (!std::exchange(m_SendingLateRecords, true))
    web::spawn(io().get_executor(), "send_late_records", web::Lasting(*this),
               [](Gateway &Self) { return Self.sendLateRecords(); });
  return true;
}

/// Sends one record at a time until none is left.
asio::awaitable<void> Gateway::sendLateRecords() {
  const struct Sending {
    ~Sending() { m_Flag = false; }
    bool &m_Flag;
  } Ended{m_SendingLateRecords};
  co_await pause(m_Options.m_LateRecordPause);
  while (auto Next = m_LateRecords.takeNext(base::readMonotonic())) {
    const auto LeaderReply = co_await requestFromLeader(
        NODE_HISTORY, Next->m_Request, m_Options.m_LateRecordTimeout);
    const messages::fleet::RecordStream &Stream = Next->m_Request.stream();
    if (LeaderReply && !LeaderReply->software().empty()) {
      m_Node.log().write(
          "stream_recorded_late",
          {{"request", Stream.stream()},
           {"organisation", Stream.organisation()},
           {"software", Stream.software()},
           {"recorded", LeaderReply->software()},
           {"waiting", static_cast<std::uint64_t>(m_LateRecords.size())}});
      continue;
    }
    const std::string Name = Stream.stream();
    if (!m_LateRecords.add(std::move(*Next)))
      m_Node.log().write("stream_record_given_up", {{"request", Name}});
    co_await pause(m_Options.m_LateRecordPause);
  }
}

/// Records the versions of usable endpoints before a stream needs them.
void Gateway::renewServiceVersions() {
  const base::TimePoint Now = base::readMonotonic();
  if (Now < m_VersionsCheckAt)
    return;
  m_VersionsCheckAt = Now + m_Options.m_VersionCheckInterval;
  for (const auto &Resumable : m_ResumableServices) {
    const std::string &Service = Resumable.first;
    std::set<std::string> Versions;
    m_Endpoints.forEachUsable(Service,
                              [&](const fleet::EndpointState &Endpoint) {
                                if (!Endpoint.software().empty())
                                  Versions.insert(Endpoint.software());
                              });
    for (const std::string &Software : Versions)
      if (m_RecordedVersions.takeDue(Service, Software, Now))
        web::spawn(
            io().get_executor(), "record_service_version", web::Lasting(*this),
            [Service, Software](Gateway &Self) -> asio::awaitable<void> {
              co_await Self.recordServiceVersion(
                  Service, Software, Self.m_Options.m_VersionCheckInterval);
            });
  }
}

asio::awaitable<EndpointSearch> Gateway::findEndpoints(NodeKind Kind,
                                                       std::string Service,
                                                       base::Duration Timeout) {
  SharedSearch &Shared = m_EndpointSearches[{Kind, Service}];
  const bool IsRecent = base::readMonotonic() - Shared.m_SentAt <
                        m_Options.m_EndpointSearchInterval;
  if (IsRecent && !Shared.m_Running && !Shared.m_Last.m_Complete)
    co_return Shared.m_Last;
  // A search that has begun before this call can't confirm what it asks for;
  // those that wait for its end share the next one.
  const base::TimePoint Deadline = base::readMonotonic() + Timeout;
  const std::uint64_t BegunBefore = Shared.m_Begun;
  while (Shared.m_Running) {
    const auto Left = std::chrono::duration_cast<base::Duration>(
        Deadline - base::readMonotonic());
    if (Left <= base::Duration(0))
      co_return EndpointSearch{};
    co_await waitForSearch(Shared, Left);
    if (!Shared.m_Running && Shared.m_Begun > BegunBefore)
      co_return Shared.m_Last;
  }
  ++Shared.m_Begun;
  Shared.m_Running = true;
  Shared.m_SentAt = base::readMonotonic();
  try {
    Shared.m_Last = co_await searchEndpoints(Kind, Service, {}, Timeout);
  } catch (...) {
    finishSearch(Shared);
    throw;
  }
  finishSearch(Shared);
  co_return Shared.m_Last;
}

asio::awaitable<void> Gateway::waitForSearch(SharedSearch &Shared,
                                             base::Duration Timeout) {
  const auto Finished = std::make_shared<link::Waiter>(io());
  Shared.m_Waiters.push_back(Finished);
  co_await Finished->wait(Timeout);
}

void Gateway::finishSearch(SharedSearch &Shared) {
  Shared.m_Running = false;
  for (const auto &Waiting : std::exchange(Shared.m_Waiters, {}))
    Waiting->fire();
}

asio::awaitable<EndpointSearch>
Gateway::searchEndpoints(NodeKind Kind, std::string Service,
                         std::string Endpoint, base::Duration Timeout) {
  messages::fleet::Request LeaderRequest;
  LeaderRequest.mutable_find_endpoints()->set_service(Service);
  LeaderRequest.mutable_find_endpoints()->set_endpoint(Endpoint);
  if (Kind == NODE_HISTORY)
    LeaderRequest.set_group(groupOfService(Service).value_or(0));
  const base::TimePoint SentAt = base::readMonotonic();
  const auto LeaderReply =
      co_await requestFromLeader(Kind, LeaderRequest, Timeout);
  EndpointSearch Result;
  if (LeaderReply && LeaderReply->kind() == messages::fleet::REPLY_OK) {
    Result.m_Answered = true;
    Result.m_Complete = LeaderReply->endpoints_complete();
    for (const auto &Found : LeaderReply->endpoints())
      mergeEndpoint(Found);
  }
  m_Node.log().write(
      "endpoints_searched",
      {{"service", Service},
       {"endpoint", Endpoint},
       {"at", messages::fleet::NodeKind_Name(Kind)},
       {"endpoints", Result.m_Answered ? static_cast<std::uint64_t>(
                                             LeaderReply->endpoints_size())
                                       : 0},
       {"answered", Result.m_Answered ? "yes" : "no"},
       {"complete", Result.m_Complete ? "yes" : "no"},
       {"took_us",
        static_cast<std::uint64_t>((base::readMonotonic() - SentAt).count())}});
  co_return Result;
}

void Gateway::recordTurnEndAsync(EndTurn End) {
  web::spawn(io().get_executor(), "record_turn_end", web::Lasting(*this),
             [End = std::move(End)](Gateway &Self) mutable {
               return Self.recordTurnEnd(std::move(End));
             });
}

asio::awaitable<void> Gateway::recordTurnEnd(EndTurn End) {
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(
      groupOf(End.organisation(), End.program()).value_or(0));
  *LeaderRequest.mutable_end() = std::move(End);
  const auto LeaderReply = co_await requestFromLeader(
      NODE_HISTORY, LeaderRequest, m_Options.m_RecordTimeout);
  if (!LeaderReply)
    m_Node.log().write("turn_not_recorded",
                       {{"turn", LeaderRequest.end().turn()},
                        {"reason", "no leader of history answered"}});
}

double Gateway::randomUnit() {
  return std::uniform_real_distribution<double>(0, 1)(m_Random);
}

bool Gateway::isReady() const {
  return !m_StoppingSince && m_RouteTable &&
         base::readMonotonic() - m_LeaderRepliedAt <
             m_Options.m_ReadyProbeIntervals * probeInterval();
}

base::Duration Gateway::probeInterval() const {
  return m_Options.m_BaseProbeInterval +
         m_EntryInstances * m_Options.m_ProbeIntervalPerInstance;
}

/// Probes a history leader if no call has had a reply from one recently.
void Gateway::probeLeader() {
  if (m_ProbePending || m_HistoryGroupCount == 0 ||
      base::readMonotonic() - m_LeaderRepliedAt < probeInterval())
    return;
  m_ProbePending = true;
  struct PendingProbe {
    bool &m_Pending;
    ~PendingProbe() { m_Pending = false; }
  };
  messages::fleet::Request LeaderRequest;
  LeaderRequest.mutable_retire(); // Names no node, so it changes nothing.
  LeaderRequest.set_group(m_NextProbedGroup++ % m_HistoryGroupCount);
  web::spawn(io().get_executor(), "probe_leader", web::Lasting(*this),
             [LeaderRequest](Gateway &Self) -> asio::awaitable<void> {
               const PendingProbe Pending{Self.m_ProbePending};
               co_await Self.requestFromLeader(NODE_HISTORY, LeaderRequest,
                                               Self.probeInterval());
             });
}

void Gateway::runMaintenance() {
  endSlowTransfers();
  m_Pool.expire();
  m_Programs.expire(ProgramRetentionTime, base::readMonotonic());
  m_HeldRequests.expire(base::readMonotonic());
  m_Endpoints.reinstateMisdirected(base::readMonotonic());
  m_Places.expire(base::readMonotonic());
  renewServiceVersions();
  probeLeader();
  const bool Ready = isReady();
  if (std::exchange(m_ReportedReady, Ready) != Ready)
    m_Node.log().write(
        "readiness_changed",
        {{"ready", Ready ? "yes" : "no"},
         {"history_groups", m_HistoryGroupCount},
         {"configuration",
          m_RouteTable ? m_RouteTable->configuration().m_Version : 0}});
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

void Gateway::stop() {
  if (m_StoppingSince)
    return;
  m_StoppingSince = base::readMonotonic();
  finishWhenIdle();
}

std::optional<base::TimePoint> Gateway::callsEndAt() const {
  if (!m_StoppingSince)
    return std::nullopt;
  return *m_StoppingSince + m_Node.settings().m_StopGrace -
         m_Options.m_StopMargin - m_Options.m_StopAnswerTime;
}

std::uint64_t Gateway::addCall(std::function<void()> EndNow) {
  m_Calls[++m_LastCallId] = std::move(EndNow);
  return m_LastCallId;
}

/// Ends the calls that can't finish before this instance exits, so that their
/// callers are answered.
void Gateway::endCalls() {
  m_EndingCalls = true;
  m_Node.log().write("running_calls_ended", {{"count", m_Calls.size()}});
  for (const auto &[Id, EndNow] : m_Calls)
    EndNow();
}

std::uint64_t Gateway::addIdleConnection(std::function<void()> EndWait) {
  m_IdleConnections[++m_LastIdleId] = std::move(EndWait);
  return m_LastIdleId;
}

/// Closes the connections that wait for a request, unless one has arrived.
/// Otherwise a caller could send a request on one that this instance can't
/// finish any more.
void Gateway::closeIdleConnections() {
  m_Closing = true;
  m_Node.log().write("idle_connections_closed",
                     {{"count", m_IdleConnections.size()}});
  closeAcceptor();
  for (const auto &[Id, EndWait] : m_IdleConnections)
    EndWait();
}

/// Takes the connections that are established but not accepted yet, since
/// their callers may have sent a request.
void Gateway::closeAcceptor() {
  boost::system::error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    tcp::socket Socket = m_Acceptor.accept(Error);
    if (!Error)
      startSession(*this, std::move(Socket));
  }
  m_Acceptor.close(Error); // It stops listening either way.
}

void Gateway::finishWhenIdle() {
  const base::Duration Elapsed = base::readMonotonic() - *m_StoppingSince;
  // A call that has arrived is counted at the next check.
  const bool Idle =
      m_Closing && m_ActiveCalls == 0 && m_IdleConnections.empty();
  const base::TimePoint CallsEndAt = callsEndAt().value();
  // The connections close well before a short grace ends, too.
  const base::Duration CloseAfter = std::min<base::Duration>(
      m_Options.m_StopDrainTime, (CallsEndAt - *m_StoppingSince) / 2);
  if (!m_Closing && Elapsed >= CloseAfter)
    closeIdleConnections();
  if (!m_EndingCalls && base::readMonotonic() >= CallsEndAt)
    endCalls();
  if (Idle ||
      Elapsed >= m_Node.settings().m_StopGrace - m_Options.m_StopMargin) {
    m_Node.finish();
    return;
  }
  m_StopTimer.expires_after(StopCheckInterval);
  m_StopTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      finishWhenIdle();
  });
}

} // namespace psp::gateway
