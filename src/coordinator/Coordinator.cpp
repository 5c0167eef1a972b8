#include "coordinator/Coordinator.h"

#include "base/Hash.h"
#include "metrics/Names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace psp::coordinator {

namespace asio = boost::asio;
using base::readClocks;
using messages::fleet::EndpointState;
using messages::fleet::NODE_CONTROL;
using messages::fleet::NODE_ENTRY;
using messages::fleet::NODE_HISTORY;

namespace {

constexpr base::Duration HouseInterval = base::milliseconds(500);
/// Control is one group.
constexpr std::uint32_t ControlGroup = 0;

constexpr std::size_t IdentityBytes = 8;
/// Control nodes beyond the members that follow the control group.
constexpr std::size_t StandingLearners = 2;
/// Groups of history for each node that keeps it at the foundation, and in all:
/// enough to spread over more nodes later, few enough for idle ones to cost
/// little.
constexpr std::size_t GroupsPerNode = 2;
constexpr std::size_t MostGroups = 64;

/// Founders know each other by the addresses that all were told, so the first
/// identity of a founder's disk is made from its address.
std::string founderIdentity(const std::string &Host) {
  return Host + "/founder";
}

std::string freshIdentity(const node::NodeSettings &Settings) {
  const auto &Seeds = Settings.m_SeedHosts;
  const bool Founds = Settings.m_Bootstrap &&
                      std::ranges::find(Seeds, Settings.m_Host) != Seeds.end();
  return Founds ? founderIdentity(Settings.m_Host)
                : Settings.m_Host + "/" +
                      base::toHex(base::randomBytes(IdentityBytes));
}

} // namespace

Coordinator::Coordinator(const CoordinatorOptions &Options,
                         const node::SettingsSource &Source,
                         const ControlProtocol &Protocol,
                         const fleet::ConfigurationCodec &Codec)
    : m_Options(Options), m_Protocol(Protocol), m_Codec(Codec),
      m_Node({.m_Program = "psp-coordinator",
              .m_Kind = NODE_CONTROL,
              .m_MetricsPort = Options.m_MetricsPort,
              .m_PeerBindHost = Options.m_PeerBindHost},
             Source),
      m_Forwarded(m_Node.io()), m_BeatTimer(m_Node.io()),
      m_HouseTimer(m_Node.io()) {
  const node::NodeSettings &Settings = m_Node.settings();
  const std::uint64_t Seed =
      base::stableHash(Settings.m_Name + std::to_string(readClocks().m_Wall));
  m_Group = std::make_unique<link::GroupHost>(
      m_Node.io(),
      link::GroupHostOptions{
          .m_Kind = messages::fleet::GROUP_CONTROL,
          .m_NodeKind = NODE_CONTROL,
          .m_Folder = std::filesystem::path(Settings.m_DataFolder) / "control",
          .m_NewDiskIdentity = freshIdentity(Settings),
          .m_InitialGroup = ControlGroup,
          .m_Group = {.m_Seed = Seed},
          .m_TargetMembers = 2 * Settings.m_ToleratedLosses + 1,
          .m_MaxPermanentLearners = StandingLearners},
      m_Node.links(), m_Node.nodes(), m_Node.log(),
      link::GroupHost::Handlers{
          .m_MakeStateMachine = [this](std::uint32_t)
              -> consensus::StateMachine & { return m_Machine; },
          .m_OnProgress = [this](std::uint32_t) { onProgress(); }});
}

void Coordinator::run() {
  const node::NodeSettings &Settings = m_Node.settings();
  m_Group->start();
  m_Node.start(m_Group->identity(),
               {.m_OnMessage =
                    [this](const NodeState &From, LinkMessage &Message) {
                      onMessage(From, Message);
                    },
                .m_OnConnected = [this](const NodeState &Peer) { onUp(Peer); },
                .m_OnDisconnected = [](const NodeState &) {},
                .m_OnStop = [this] { stop(); }});
  if (m_Group->identity() == founderIdentity(Settings.m_Host)) {
    messages::fleet::GroupMembership Founders;
    for (const std::string &Host : Settings.m_SeedHosts) {
      auto &Member = *Founders.add_members();
      Member.set_id(founderIdentity(Host));
      Member.set_host(Host);
    }
    m_Group->bootstrap(ControlGroup, Founders);
  }
  m_Server = std::make_unique<web::HttpServer>(
      m_Node.io(),
      web::HttpServerOptions{.m_Address = Settings.m_ControlAddress.value()},
      [this](const web::Request &Received) { return onCall(Received); });
  m_Server->start();
  housekeeping();
  m_Node.run();
}

void Coordinator::onMessage(const NodeState &From, LinkMessage &Message) {
  const base::TimePoint Now = base::readMonotonic();
  if (Message.has_group()) {
    m_Group->onMessage(Message.group());
  } else if (Message.has_endpoints()) {
    for (const EndpointState &Each : Message.endpoints().endpoints())
      if (m_Endpoints.merge(Each, false, Now))
        spread(*m_Endpoints.find(Each.id()));
  } else if (Message.has_request()) {
    asio::co_spawn(
        m_Node.io(),
        serveRequest(From.name(), std::move(*Message.mutable_request())),
        asio::detached);
  } else if (Message.has_reply()) {
    m_Forwarded.onReply(Message.reply());
  } else if (Message.has_leaders()) {
    for (const auto &Each : Message.leaders().leaders())
      m_HistoryLeaders.merge(Each);
  }
}

void Coordinator::onUp(const NodeState &Peer) {
  LinkMessage Endpoints;
  for (const EndpointState &Each : m_Endpoints.all())
    *Endpoints.mutable_endpoints()->add_endpoints() = Each;
  if (Endpoints.has_endpoints())
    m_Node.links().send(Peer.name(), Endpoints);
  if (group().isCurrent())
    m_Node.links().send(Peer.name(), configurationMessage(Peer.kind()));
}

asio::awaitable<void> Coordinator::serveRequest(std::string From,
                                                Request Asked) {
  const std::uint64_t Id = Asked.id();
  LinkMessage Message;
  *Message.mutable_reply() = co_await execute(std::move(Asked), false);
  Message.mutable_reply()->set_id(Id);
  m_Node.links().send(From, Message);
}

asio::awaitable<Coordinator::Reply> Coordinator::execute(Request Asked,
                                                         bool MayForward) {
  if (group().isEstablishedLeader())
    co_return co_await executeAsLeader(std::move(Asked));
  const std::string Leader = m_Group->leaderNode(ControlGroup);
  if (MayForward && !Leader.empty() && Leader != m_Node.settings().m_Name)
    co_return co_await forward(Leader, std::move(Asked));
  Reply Answer;
  Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  Answer.set_leader(Leader);
  co_return Answer;
}

asio::awaitable<Coordinator::Reply>
Coordinator::executeAsLeader(Request Asked) {
  Reply Answer;
  Answer.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  if (Asked.has_tokens()) {
    Answer.set_kind(messages::fleet::REPLY_REFUSED);
    for (const auto &Each : m_Current.m_Organisations)
      if (Each.m_Name == Asked.tokens().organisation())
        Answer.set_count(m_Tokens.take(Each, Asked.tokens().count(),
                                       Asked.tokens().new_program(),
                                       base::readMonotonic()));
    if (Answer.count() > 0)
      Answer.set_kind(messages::fleet::REPLY_OK);
    co_return Answer;
  }
  link::Waiter Waiting(m_Node.io());
  if (Asked.has_submit() || Asked.has_retire()) {
    messages::fleet::ControlGroupCommand Command;
    if (Asked.has_submit())
      *Command.mutable_configuration() = Asked.submit();
    else
      Command.mutable_retire()->set_member(Asked.retire().node());
    const auto Index =
        m_Group->propose(ControlGroup, Command.SerializeAsString());
    if (!Index)
      co_return Answer;
    if (group().commitIndex() < *Index) {
      m_CommitWaiters[*Index] = &Waiting;
      const bool Committed = co_await Waiting.wait(m_Options.m_ForwardTimeout);
      m_CommitWaiters.erase(*Index);
      if (!Committed)
        co_return Answer;
    }
    Answer.set_kind(messages::fleet::REPLY_OK);
  } else if (Asked.has_read()) {
    const auto Ticket = m_Group->beginRead(ControlGroup);
    if (!Ticket)
      co_return Answer;
    m_ReadWaiters[*Ticket] = &Waiting;
    onProgress();
    const bool Confirmed = co_await Waiting.wait(m_Options.m_ForwardTimeout);
    m_ReadWaiters.erase(*Ticket);
    if (!Confirmed)
      co_return Answer;
    Answer.set_kind(messages::fleet::REPLY_OK);
    Answer.set_version(m_Machine.version());
    Answer.set_text(m_Machine.document());
  }
  co_return Answer;
}

asio::awaitable<Coordinator::Reply>
Coordinator::forward(const std::string &Node, Request Asked) {
  Asked.set_id(m_Forwarded.nextId());
  const std::uint64_t Id = Asked.id();
  LinkMessage Message;
  *Message.mutable_request() = std::move(Asked);
  Reply Failed;
  Failed.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  if (!m_Node.links().send(Node, Message))
    co_return Failed;
  const auto Answer = co_await m_Forwarded.wait(Id, m_Options.m_ForwardTimeout);
  co_return Answer.value_or(Failed);
}

const consensus::Group &Coordinator::group() const {
  return *m_Group->find(ControlGroup);
}

/// Wakes whoever waits for the group, and tells others of a new state.
void Coordinator::onProgress() {
  const consensus::Group &Members = group();
  if (m_WaitTerm != Members.term()) {
    m_WaitTerm = Members.term();
    m_Tokens.reset(base::readMonotonic());
    for (const auto &[Index, Waiting] : m_CommitWaiters)
      Waiting->fire(false);
    for (const auto &[Ticket, Waiting] : m_ReadWaiters)
      Waiting->fire(false);
  }
  for (const auto &[Index, Waiting] : m_CommitWaiters)
    if (Index <= Members.commitIndex())
      Waiting->fire();
  for (const std::uint64_t Ticket : m_Group->takeReadyReads(ControlGroup))
    if (const auto Found = m_ReadWaiters.find(Ticket);
        Found != m_ReadWaiters.end())
      Found->second->fire();
  // What a restarted member finds in its journal may be overtaken.
  if (m_PublishedRevision != m_Machine.revision() && Members.isCurrent())
    publishConfiguration();
}

void Coordinator::publishConfiguration() {
  m_PublishedRevision = m_Machine.revision();
  if (m_Machine.version() > 0)
    m_Current = m_Codec.decode(m_Machine.document());
  m_Node.metrics()
      .gauge(metrics::names::ConfigurationVersion)
      .set(static_cast<std::int64_t>(m_Machine.version()));
  m_Node.log().write("configuration_in_force",
                     {{"version", m_Machine.version()}});
  m_Node.broadcast(configurationMessage(NODE_ENTRY), NODE_ENTRY);
  m_Node.broadcast(configurationMessage(NODE_HISTORY), NODE_HISTORY);
}

Coordinator::LinkMessage
Coordinator::configurationMessage(messages::fleet::NodeKind For) const {
  LinkMessage Message;
  auto &Update = *Message.mutable_configuration();
  Update.set_version(m_Machine.version());
  Update.set_history_groups(
      static_cast<std::uint32_t>(m_Machine.historyGroups().size()));
  if (For == NODE_HISTORY) {
    *Update.mutable_founders() = m_Machine.historyGroups();
    *Update.mutable_retiring() = m_Machine.retiring();
  } else {
    Update.set_document(m_Machine.document());
  }
  Update.set_entry_instances(static_cast<std::uint32_t>(m_MostEntries));
  return Message;
}

/// Chooses the founders of the history groups, at the leader, once.
void Coordinator::foundHistory() {
  if (!group().isEstablishedLeader() || !m_Machine.historyGroups().empty())
    return;
  std::vector<consensus::MemberCandidate> Candidates;
  for (const NodeState &Each : m_Node.nodes().ofKind(NODE_HISTORY))
    if (m_Node.links().isConnected(Each.name()))
      Candidates.push_back({.m_Identity = Each.member(),
                            .m_Host = Each.host(),
                            .m_DataCentre = Each.data_centre(),
                            .m_Reachable = true});
  const std::size_t Target = 2 * m_Node.settings().m_ToleratedLosses + 1;
  const base::TimePoint Now = base::readMonotonic();
  if (Candidates.size() < Target) {
    m_EnoughHistoryAt.reset();
    return;
  }
  if (!m_EnoughHistoryAt)
    m_EnoughHistoryAt = Now;
  if (Now - *m_EnoughHistoryAt < m_Options.m_FoundDelay)
    return;
  messages::fleet::ControlGroupCommand Command;
  const std::size_t Groups =
      std::min(GroupsPerNode * Candidates.size(), MostGroups);
  for (const auto &Founders :
       consensus::planInitialMemberships(std::move(Candidates), Target, Groups))
    *Command.mutable_found()->add_groups() = Founders;
  m_Node.log().write(
      "history_founding",
      {{"groups", Groups}, {"members", static_cast<std::uint64_t>(Target)}});
  m_Group->propose(ControlGroup, Command.SerializeAsString());
}

/// Whether what this node is told reaches the entry instances.
bool Coordinator::isInContact() {
  const std::size_t Entries = m_Node.connectedNodeCount(NODE_ENTRY);
  return !m_Group->leaderNode(ControlGroup).empty() ||
         (Entries > 0 && Entries * 2 >= m_MostEntries);
}

void Coordinator::spread(const EndpointState &News) {
  m_Node.log().write(
      "endpoint_changed",
      {{"endpoint", News.id()},
       {"service", News.service()},
       {"phase", messages::fleet::EndpointPhase_Name(News.phase())},
       {"silent", News.silent() ? "yes" : "no"},
       {"sequence", News.sequence()}});
  LinkMessage Message;
  *Message.mutable_endpoints()->add_endpoints() = News;
  m_Node.broadcast(Message);
}

void Coordinator::flushBeats() {
  if (m_BeatsForPeers.endpoints_size() == 0)
    return;
  LinkMessage Message;
  *Message.mutable_endpoints() = std::exchange(m_BeatsForPeers, {});
  m_Node.broadcast(Message, NODE_CONTROL);
}

void Coordinator::housekeeping() {
  const base::TimePoint Now = base::readMonotonic();
  const std::vector<EndpointState> Silent = m_Endpoints.expire(Now);
  // A node that is cut off itself can't tell who is silent.
  if (!m_Group->leaderNode(ControlGroup).empty())
    for (const EndpointState &Each : Silent)
      spread(Each);
  const std::size_t Entries = m_Node.connectedNodeCount(NODE_ENTRY);
  if (Entries > m_MostEntries) {
    m_MostEntries = Entries;
    if (group().isCurrent())
      m_Node.broadcast(configurationMessage(NODE_ENTRY), NODE_ENTRY);
  }
  foundHistory();
  m_HouseTimer.expires_after(HouseInterval);
  m_HouseTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      housekeeping();
  });
}

void Coordinator::stop() {
  if (m_Node.isStopping())
    return;
  m_Node.finishGracefully();
  m_Group->transferLeadership();
}

} // namespace psp::coordinator
