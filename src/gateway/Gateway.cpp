#include "gateway/Gateway.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "fleet/ProgramGroups.h"
#include "gateway/CallerSession.h"
#include "gateway/RetryTime.h"
#include "metrics/Names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

constexpr base::Duration HouseInterval = base::milliseconds(150);
/// Longer than any pause of a program between two calls.
constexpr base::Duration ProgramMemory = base::seconds(30);
constexpr base::Duration StopCheckInterval = base::milliseconds(100);

std::uint64_t seedOf(const std::string &Name) {
  return base::stableHash(Name + std::to_string(readClocks().m_Wall));
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
      m_Pool(m_Node.io(), {}),
      m_Placement({.m_DataCentre = m_Node.settings().m_DataCentre,
                   .m_Seed = seedOf(m_Node.settings().m_Name)},
                  m_Pool),
      m_Requests(m_Node.io()), m_ControlSearch(m_Node.io()),
      m_Acceptor(m_Node.io()), m_HouseTimer(m_Node.io()),
      m_StopTimer(m_Node.io()),
      m_Random(seedOf(m_Node.settings().m_Name + "/draw")) {}

void Gateway::run() {
  m_StartedAt = base::readMonotonic();
  const node::NodeSettings &Settings = m_Node.settings();
  m_Node.start(
      "", {.m_OnMessage = [this](const NodeState &,
                                 LinkMessage &Message) { onMessage(Message); },
           .m_OnConnected = [](const NodeState &) {},
           .m_OnDisconnected = [](const NodeState &) {},
           .m_OnStop = [this] { stop(); }});
  const link::PeerAddress &At = Settings.m_CallerAddress.value();
  const tcp::endpoint Endpoint(asio::ip::make_address(At.m_Host), At.m_Port);
  m_Acceptor.open(Endpoint.protocol());
  m_Acceptor.set_option(asio::socket_base::reuse_address(true));
  m_Acceptor.bind(Endpoint);
  m_Acceptor.listen();
  asio::co_spawn(io(), accept(), asio::detached);
  m_ReadyServer = std::make_unique<web::HttpServer>(
      io(),
      web::HttpServerOptions{.m_Address = Settings.m_ReadinessAddress.value()},
      [this](const web::Request &) -> asio::awaitable<web::Response> {
        web::Response Answer;
        Answer.result(isReady()
                          ? boost::beast::http::status::ok
                          : boost::beast::http::status::service_unavailable);
        co_return Answer;
      });
  m_ReadyServer->start();
  housekeeping();
  m_Node.run();
}

asio::awaitable<void> Gateway::accept() {
  while (m_Acceptor.is_open()) {
    boost::system::error_code Error;
    tcp::socket Socket = co_await m_Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Error && !m_Closing)
      startSession(*this, std::move(Socket));
  }
}

void Gateway::onMessage(LinkMessage &Message) {
  if (Message.has_reply())
    m_Requests.onReply(Message.reply());
  else if (Message.has_configuration())
    onConfiguration(Message.configuration());
  else if (Message.has_leaders())
    onLeaders(Message.leaders());
  else if (Message.has_endpoints())
    for (const auto &Each : Message.endpoints().endpoints())
      if (m_Endpoints.merge(Each, false, base::readMonotonic()))
        m_Node.log().write(
            "endpoint_changed",
            {{"endpoint", Each.id()},
             {"address", Each.address()},
             {"phase", messages::fleet::EndpointPhase_Name(Each.phase())}});
}

void Gateway::onEndpointLeaving(const std::string &Id, std::uint64_t Born) {
  if (!m_Endpoints.markDraining(Id, Born, base::readMonotonic()))
    return;
  m_Node.log().write("endpoint_leaving", {{"endpoint", Id}, {"born", Born}});
  LinkMessage News;
  *News.mutable_endpoints()->add_endpoints() = *m_Endpoints.find(Id);
  m_Node.broadcast(News);
}

void Gateway::onConfiguration(
    const messages::fleet::ConfigurationUpdate &Update) {
  m_EntryInstances = std::max(m_EntryInstances, Update.entry_instances());
  m_Rates.setInstances(m_EntryInstances);
  m_HistoryGroups = std::max(m_HistoryGroups, Update.history_groups());
  const std::uint64_t Held = m_Table ? m_Table->configuration().m_Version : 0;
  if (Update.version() <= Held)
    return;
  try {
    m_Table = std::make_shared<const fleet::RouteTable>(
        m_Codec.decode(Update.document()));
    m_Node.metrics()
        .gauge(metrics::names::ConfigurationVersion)
        .set(static_cast<std::int64_t>(Update.version()));
    m_Node.log().write("configuration_in_force",
                       {{"version", Update.version()}, {"before", Held}});
    for (link::Waiter *Each : m_TableWaiters)
      Each->fire();
  } catch (const base::UserError &Fault) {
    // Control has checked it, so the two disagree: the held one stays.
    m_Node.log().write(
        "configuration_unreadable",
        {{"version", Update.version()}, {"reason", Fault.what()}});
  }
}

void Gateway::onLeaders(const messages::fleet::LeaderUpdate &News) {
  for (const auto &Each : News.leaders())
    if (m_Leaders.merge(Each))
      searchFor(NODE_HISTORY, Each.group()).hear(Each.node());
}

LeaderSearch &Gateway::searchFor(NodeKind Kind, std::uint32_t Group) {
  return Kind == NODE_HISTORY
             ? m_HistorySearches.try_emplace(Group, io()).first->second
             : m_ControlSearch;
}

std::optional<std::uint32_t>
Gateway::groupOf(const std::string &Organisation,
                 const std::string &Program) const {
  if (m_HistoryGroups == 0)
    return std::nullopt;
  return fleet::groupOfProgram(Organisation, Program, m_HistoryGroups);
}

std::string Gateway::pickNode(NodeKind Kind, const LeaderSearch &Search) {
  for (const std::string &Believed : {Search.leader(), Search.hinted()})
    if (!Believed.empty() && m_Node.links().isConnected(Believed))
      return Believed;
  std::vector<std::string> Names;
  for (const NodeState &Each : m_Node.nodes().ofKind(Kind))
    if (m_Node.links().isConnected(Each.name()) && !Each.stopping())
      Names.push_back(Each.name());
  return Names.empty() ? std::string() : Names[m_NextNode++ % Names.size()];
}

asio::awaitable<std::optional<Reply>>
Gateway::askLeader(NodeKind Kind, messages::fleet::Request Asked,
                   base::Duration Limit) {
  const base::TimePoint Until = base::readMonotonic() + Limit;
  LeaderSearch &Search = searchFor(Kind, Asked.group());
  while (base::readMonotonic() < Until) {
    const auto Entry = co_await Search.enter(Until - base::readMonotonic());
    if (Entry == LeaderSearch::Entry::TimedOut)
      break;
    const std::string Node = pickNode(Kind, Search);
    auto Answer = co_await askNode(Node, Asked, Until - base::readMonotonic());
    const bool Led =
        Answer && Answer->kind() != messages::fleet::REPLY_NOT_LEADER;
    if (Led) {
      Search.found(Node, base::readMonotonic());
      if (Kind == NODE_HISTORY)
        m_LeaderAnsweredAt = base::readMonotonic();
    } else {
      Search.lost(Node);
      const bool Hinted = Answer && Answer->leader() != Node;
      if (Hinted)
        Search.hint(Answer->leader());
      const bool Pause =
          Node.empty() || (Answer && (!Hinted || Answer->leader().empty()));
      if (Pause)
        co_await pause(m_Options.m_LeaderRetry);
    }
    if (Entry == LeaderSearch::Entry::Seek)
      Search.leave();
    if (Led)
      co_return Answer;
  }
  co_return std::nullopt;
}

/// Nothing if there is no such node, or it didn't answer.
asio::awaitable<std::optional<Reply>>
Gateway::askNode(const std::string &Node, messages::fleet::Request &Asked,
                 base::Duration Limit) {
  if (Node.empty())
    co_return std::nullopt;
  Asked.set_id(m_Requests.nextId());
  LinkMessage Message;
  *Message.mutable_request() = Asked;
  m_Node.links().send(Node, Message);
  co_return co_await m_Requests.wait(
      Asked.id(), std::min<base::Duration>(m_Options.m_LeaderPatience, Limit));
}

asio::awaitable<void> Gateway::pause(base::Duration Length) {
  asio::steady_timer Timer(io(), Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::shared_ptr<const fleet::RouteTable>>
Gateway::firstTable(base::Duration Limit) {
  const base::Duration Left =
      std::min(Limit, wholeStartLeft(base::readMonotonic() - m_StartedAt));
  if (!m_Table && Left > base::Duration(0)) {
    link::Waiter Waiting(io());
    m_TableWaiters.insert(&Waiting);
    co_await Waiting.wait(Left);
    m_TableWaiters.erase(&Waiting);
  }
  co_return m_Table;
}

base::Duration Gateway::leaderWait(std::uint32_t Group) {
  const LeaderSearch &Search = searchFor(NODE_HISTORY, Group);
  const base::TimePoint Since = std::max(Search.answeredAt(), m_StartedAt);
  const bool Missing = Search.leader().empty() &&
                       base::readMonotonic() - Since > m_Options.m_LeaderWait;
  return Missing ? m_Options.m_MissingLeaderWait : m_Options.m_LeaderWait;
}

base::Duration Gateway::retryWithoutLeader() {
  return gateway::retryWithoutLeader(
      {.m_Uptime = base::readMonotonic() - m_StartedAt,
       .m_HistoryNodes = m_Node.nodes().ofKind(NODE_HISTORY).size(),
       .m_Reached = m_Node.connectedNodeCount(NODE_HISTORY)});
}

void Gateway::recordLater(EndTurn End) {
  asio::co_spawn(io(), record(std::move(End)), asio::detached);
}

asio::awaitable<void> Gateway::record(EndTurn End) {
  messages::fleet::Request Asked;
  Asked.set_group(groupOf(End.organisation(), End.program()).value_or(0));
  *Asked.mutable_end() = std::move(End);
  const auto Answer =
      co_await askLeader(NODE_HISTORY, Asked, m_Options.m_RecordLimit);
  if (!Answer)
    m_Node.log().write("turn_not_recorded",
                       {{"turn", Asked.end().turn()},
                        {"reason", "no leader of history answered"}});
}

double Gateway::draw() {
  return std::uniform_real_distribution<double>(0, 1)(m_Random);
}

bool Gateway::isReady() const {
  return !m_StoppingSince && m_Table &&
         base::readMonotonic() - m_LeaderAnsweredAt <
             m_Options.m_ReadyProbes * probeInterval();
}

base::Duration Gateway::probeInterval() const {
  return m_Options.m_ProbeAfter + m_EntryInstances * m_Options.m_ProbeSpread;
}

/// Asks a leader of history for a sign of life when no call did.
void Gateway::probeLeader() {
  if (m_Probing || m_HistoryGroups == 0 ||
      base::readMonotonic() - m_LeaderAnsweredAt < probeInterval())
    return;
  m_Probing = true;
  messages::fleet::Request Asked;
  Asked.mutable_retire(); // Names no node, so it changes nothing.
  Asked.set_group(m_ProbedGroup++ % m_HistoryGroups);
  asio::co_spawn(
      io(),
      [this, Asked]() -> asio::awaitable<void> {
        co_await askLeader(NODE_HISTORY, Asked, probeInterval());
        m_Probing = false;
      },
      asio::detached);
}

void Gateway::housekeeping() {
  m_Pool.expire();
  m_Programs.forget(ProgramMemory, base::readMonotonic());
  probeLeader();
  const bool Ready = isReady();
  if (std::exchange(m_ReportedReady, Ready) != Ready)
    m_Node.log().write(
        "readiness_changed",
        {{"ready", Ready ? "yes" : "no"},
         {"history_groups", m_HistoryGroups},
         {"configuration", m_Table ? m_Table->configuration().m_Version : 0}});
  m_HouseTimer.expires_after(HouseInterval);
  m_HouseTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      housekeeping();
  });
}

void Gateway::stop() {
  if (m_StoppingSince)
    return;
  m_StoppingSince = base::readMonotonic();
  finishWhenIdle();
}

std::uint64_t Gateway::addIdle(std::function<void()> End) {
  m_Idle[++m_LastIdle] = std::move(End);
  return m_LastIdle;
}

/// Ends connections that wait for a request: callers that still use them would
/// otherwise have one taken that can't be finished.
void Gateway::closeIdle() {
  m_Closing = true;
  boost::system::error_code Ignored; // Nothing listens after it either way.
  m_Acceptor.close(Ignored);
  m_Node.log().write("idle_connections_closed", {{"count", m_Idle.size()}});
  for (const auto &[Id, End] : std::exchange(m_Idle, {}))
    End();
}

void Gateway::finishWhenIdle() {
  const base::Duration Since = base::readMonotonic() - *m_StoppingSince;
  if (!m_Closing && Since >= m_Options.m_StopLinger)
    closeIdle();
  const bool Idle = m_Calls == 0 && Since >= m_Options.m_StopLinger;
  if (Idle || Since >= m_Node.settings().m_StopGrace - m_Options.m_StopMargin) {
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
