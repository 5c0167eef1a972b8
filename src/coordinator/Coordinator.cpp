#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

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

constexpr base::Duration MaintenanceInterval = base::milliseconds(500);

constexpr std::size_t IdentityBytes = 8;
/// Maximum number of control nodes besides the members that receive the control
/// group's log all the time.
constexpr std::size_t MaxPermanentLearners = 2;
/// Number of history groups for each history node at the first start, and the
/// maximum in all: enough to be spread over more nodes later, and few enough
/// for idle groups to cost little.
constexpr std::size_t HistoryGroupsPerNode = 2;
constexpr std::size_t MaxHistoryGroups = 64;

/// The initial members identify each other by the addresses in their settings,
/// so the first identity of an initial member's disk is derived from its
/// address.
std::string initialMemberIdentity(const std::string &Host) {
  return Host + "/founder";
}

std::string freshIdentity(const node::NodeSettings &Settings) {
  const auto &Seeds = Settings.m_SeedHosts;
  const bool IsInitialMember =
      Settings.m_Bootstrap &&
      std::ranges::find(Seeds, Settings.m_Host) != Seeds.end();
  return IsInitialMember ? initialMemberIdentity(Settings.m_Host)
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
      m_Decoder(Codec.makeDecoder()),
      m_EndpointPublisher({.m_DataCentre = m_Node.settings().m_DataCentre}),
      m_ForwardedRequests(m_Node.io()), m_HeartbeatTimer(m_Node.io()),
      m_MaintenanceTimer(m_Node.io()) {
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
          .m_MaxPermanentLearners = MaxPermanentLearners},
      m_Node.links(), m_Node.nodes(), m_Node.log(),
      link::GroupHost::Handlers{
          .m_MakeStateMachine = [this](std::uint32_t)
              -> consensus::StateMachine & { return m_StateMachine; },
          .m_OnProgress = [this](std::uint32_t) { onProgress(); }});
}

void Coordinator::run() {
  const node::NodeSettings &Settings = m_Node.settings();
  m_Group->start();
  m_Node.start(
      m_Group->identity(),
      {.m_OnMessage =
           [this](const link::MessageSource &From, LinkMessage &Message) {
             onMessage(From, Message);
           },
       .m_OnConnected = [this](const NodeState &Peer) { onPeerUp(Peer); },
       .m_OnDisconnected =
           [this](const NodeState &Peer) {
             m_Publisher.onDisconnected(Peer.name());
             checkControlDataCentres();
           },
       .m_OnStop = [this] { stop(); }});
  if (m_Group->identity() == initialMemberIdentity(Settings.m_Host)) {
    messages::fleet::GroupMembership InitialMembers;
    for (const std::string &Host : Settings.m_SeedHosts) {
      auto &Member = *InitialMembers.add_members();
      Member.set_id(initialMemberIdentity(Host));
      Member.set_host(Host);
    }
    m_Group->bootstrap(ControlGroup, InitialMembers);
  }
  m_Server = std::make_unique<web::HttpServer>(
      m_Node.io(),
      web::HttpServerOptions{.m_Address = Settings.m_ControlAddress.value()},
      [this](const web::Request &Received) { return onCall(Received); });
  m_Server->start();
  runMaintenance();
  m_Node.run();
}

void Coordinator::onMessage(const link::MessageSource &From,
                            LinkMessage &Message) {
  const base::TimePoint Now = base::readMonotonic();
  if (Message.has_group()) {
    m_Group->onMessage(Message.group());
  } else if (Message.has_endpoints()) {
    for (const EndpointState &Endpoint : Message.endpoints().endpoints())
      if (m_Endpoints.merge(Endpoint, false, Now))
        passOnEndpoint(*m_Endpoints.find(Endpoint.id()));
  } else if (Message.has_request() &&
             Message.request().has_fetch_configuration()) {
    replyWithDocument(From.replyAddress(), Message.request());
  } else if (Message.has_configuration()) {
    m_Publisher.onFetches(From.m_Node.name());
  } else if (Message.has_request()) {
    web::spawn(m_Node.io().get_executor(), "serve_request", web::Lasting(*this),
               [Address = From.replyAddress(),
                Received = std::move(*Message.mutable_request())](
                   Coordinator &Self) mutable {
                 return Self.serveRequest(Address, std::move(Received));
               });
  } else if (Message.has_reply()) {
    m_Node.onReply(m_ForwardedRequests, Message.reply());
  } else if (Message.has_crashes()) {
    onCrashReports(Message.crashes());
  } else if (Message.has_leaders()) {
    for (const auto &Leadership : Message.leaders().leaders())
      m_HistoryLeaders.merge(Leadership);
  }
}

void Coordinator::onPeerUp(const NodeState &Peer) {
  checkControlDataCentres();
  LinkMessage Endpoints;
  for (const EndpointState &Endpoint : m_Endpoints.all(base::readMonotonic()))
    *Endpoints.mutable_endpoints()->add_endpoints() = Endpoint;
  if (Endpoints.has_endpoints() && m_EndpointPublisher.passesOnTo(Peer))
    m_Node.links().send(Peer.name(), Endpoints);
  // Before the configuration, without which an instance serves nothing.
  if (Peer.kind() == NODE_ENTRY && m_PublishedHolds > 0)
    m_Node.links().send(Peer.name(), heldRequestsMessage());
  if (Peer.kind() == NODE_ENTRY) {
    countEntryInstances();
    m_Publisher.onConnected(Peer.name(), Peer.incarnation(),
                            base::readMonotonic());
  }
  if (!group().isCurrent())
    return;
  if (Peer.kind() == NODE_ENTRY)
    announceConfiguration(Peer.name());
  else
    m_Node.links().send(Peer.name(), configurationMessage(Peer.kind()));
}

asio::awaitable<void> Coordinator::serveRequest(fleet::ReplyAddress From,
                                                Request Received) {
  const std::uint64_t Id = Received.id();
  LinkMessage Message;
  *Message.mutable_reply() = co_await execute(std::move(Received), false);
  Message.mutable_reply()->set_id(Id);
  m_Node.reply(From, Message);
}

asio::awaitable<Coordinator::Reply> Coordinator::execute(Request Received,
                                                         bool MayForward) {
  if (group().isEstablishedLeader())
    co_return co_await executeAsLeader(std::move(Received));
  const std::string Leader = m_Group->leaderNode(ControlGroup);
  if (MayForward && !Leader.empty() && Leader != m_Node.settings().m_Name)
    co_return co_await forward(Leader, std::move(Received));
  Reply Rejection;
  Rejection.set_kind(messages::fleet::REPLY_NOT_LEADER);
  Rejection.set_leader(Leader);
  co_return Rejection;
}

asio::awaitable<Coordinator::Reply>
Coordinator::executeAsLeader(Request Received) {
  Reply Result;
  Result.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  if (Received.has_tokens())
    co_return allocateTokens(Received);
  if (Received.try_held().continues_turn())
    co_return tryTurnOnHeldPath(Received.try_held().fingerprint());
  if (Received.has_try_held())
    co_return co_await tryHeldRequest(Received.try_held().fingerprint());
  if (Received.has_submit() || Received.has_retire() ||
      Received.has_release() || Received.has_evacuate()) {
    messages::fleet::ControlGroupCommand Command;
    if (Received.has_submit())
      *Command.mutable_configuration() = Received.submit();
    else if (Received.has_retire())
      Command.mutable_retire()->set_member(Received.retire().node());
    else if (Received.has_evacuate())
      *Command.mutable_evacuate() = Received.evacuate();
    else
      *Command.mutable_release() = Received.release();
    if (co_await commit(std::move(Command)))
      Result.set_kind(messages::fleet::REPLY_OK);
  } else if (Received.has_read()) {
    const bool Confirmed = co_await confirmRead();
    if (!Confirmed)
      co_return Result;
    Result.set_kind(messages::fleet::REPLY_OK);
    Result.set_version(m_StateMachine.version());
    Result.set_text(m_StateMachine.document());
  } else if (Received.has_find_endpoints()) {
    const bool Confirmed = co_await confirmRead();
    if (!Confirmed)
      co_return Result;
    Result.set_kind(messages::fleet::REPLY_OK);
    fleet::listEndpoints(Received.find_endpoints(), m_Endpoints,
                         base::readMonotonic(), Result);
    Result.set_endpoints_complete(
        m_EndpointCoverage.isComplete(base::readMonotonic()));
  }
  co_return Result;
}

/// Whether this node still leads the control group, and all earlier commands of
/// the group are applied here.
asio::awaitable<bool> Coordinator::confirmRead() {
  link::Waiter Waiting(m_Node.io());
  const auto Ticket = m_Group->beginRead(ControlGroup);
  if (!Ticket)
    co_return false;
  m_ReadWaiters[*Ticket] = &Waiting;
  onProgress();
  const bool Confirmed = co_await Waiting.wait(m_Options.m_ForwardTimeout);
  m_ReadWaiters.erase(*Ticket);
  co_return Confirmed;
}

asio::awaitable<bool>
Coordinator::commit(messages::fleet::ControlGroupCommand Command) {
  const auto Index =
      m_Group->propose(ControlGroup, Command.SerializeAsString());
  if (!Index)
    co_return false;
  if (group().commitIndex() >= *Index)
    co_return true;
  link::Waiter Waiting(m_Node.io());
  m_CommitWaiters[*Index] = &Waiting;
  const bool Committed = co_await Waiting.wait(m_Options.m_ForwardTimeout);
  m_CommitWaiters.erase(*Index);
  co_return Committed;
}

asio::awaitable<Coordinator::Reply>
Coordinator::forward(const std::string &Node, Request Forwarded) {
  Forwarded.set_id(m_ForwardedRequests.nextId());
  const std::uint64_t Id = Forwarded.id();
  LinkMessage Message;
  *Message.mutable_request() = std::move(Forwarded);
  Reply Failure;
  Failure.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  if (!m_Node.links().send(Node, Message))
    co_return Failure;
  const auto Received =
      co_await m_ForwardedRequests.wait(Id, m_Options.m_ForwardTimeout);
  co_return Received.value_or(Failure);
}

const consensus::Group &Coordinator::group() const {
  return *m_Group->find(ControlGroup);
}

/// Resumes the coroutines that wait for the group, and publishes a new
/// configuration.
void Coordinator::onProgress() {
  const consensus::Group &Group = group();
  if (m_WaitersTerm != Group.term()) {
    m_WaitersTerm = Group.term();
    m_TokenAllocator.reset(base::readMonotonic());
    m_CountedPrograms.clear();
    m_ProposedEntryInstances.reset();
    m_PendingHolds.clear();
    for (const auto &[Index, Waiting] : m_CommitWaiters)
      Waiting->fire(false);
    for (const auto &[Ticket, Waiting] : m_ReadWaiters)
      Waiting->fire(false);
  }
  for (const auto &[Index, Waiting] : m_CommitWaiters)
    if (Index <= Group.commitIndex())
      Waiting->fire();
  for (const std::uint64_t Ticket : m_Group->takeReadyReads(ControlGroup))
    if (const auto Waiting = m_ReadWaiters.find(Ticket);
        Waiting != m_ReadWaiters.end())
      Waiting->second->fire();
  // The configuration in the journal of a restarted member may be outdated.
  if (m_PublishedRevision != m_StateMachine.revision() && Group.isCurrent())
    publishConfiguration();
  if (m_PublishedEvacuations != m_StateMachine.evacuationRevision() &&
      Group.isCurrent())
    publishEvacuations();
  if (m_PublishedHolds != m_StateMachine.heldRequests().state().revision() &&
      Group.isCurrent())
    publishHeldRequests();
}

void Coordinator::publishConfiguration() {
  m_PublishedRevision = m_StateMachine.revision();
  countEntryInstances();
  decodeDocument();
  m_Publisher.publish(m_StateMachine.version(), m_StateMachine.document());
  announceConfiguration();
  m_Node.broadcast(configurationMessage(NODE_HISTORY), NODE_HISTORY);
}

Coordinator::LinkMessage
Coordinator::configurationMessage(messages::fleet::NodeKind For) const {
  LinkMessage Message;
  auto &Update = *Message.mutable_configuration();
  Update.set_version(m_StateMachine.version());
  Update.set_history_groups(
      static_cast<std::uint32_t>(m_StateMachine.historyGroups().size()));
  if (For == NODE_HISTORY) {
    *Update.mutable_founders() = m_StateMachine.historyGroups();
    *Update.mutable_retiring() = m_StateMachine.retiring();
  } else {
    Update.set_version(m_Publisher.version());
    Update.set_digest(m_Publisher.digest());
  }
  Update.set_entry_instances(m_EntryInstances.divisor(base::readMonotonic()));
  addEvacuations(Update);
  return Message;
}

void Coordinator::countEntryInstances() {
  const base::TimePoint Now = base::readMonotonic();
  const auto Connected =
      static_cast<std::uint32_t>(m_Node.connectedNodeCount(NODE_ENTRY));
  m_EntryInstances.update(Connected, m_StateMachine.entryInstances(), Now);
  const auto Changed = m_EntryInstances.toRecord(Now);
  if (!Changed || !group().isEstablishedLeader() ||
      m_ProposedEntryInstances == Changed)
    return;
  messages::fleet::ControlGroupCommand Command;
  Command.set_entry_instances(*Changed);
  m_Node.log().write("entry_instances_recorded",
                     {{"connected", Connected},
                      {"before", m_StateMachine.entryInstances()},
                      {"recorded", *Changed}});
  // Set first, since a group of one member commits before propose() returns.
  m_ProposedEntryInstances = Changed;
  if (!m_Group->propose(ControlGroup, Command.SerializeAsString()))
    m_ProposedEntryInstances.reset();
}

/// Creates the history groups, once: the leader chooses their initial members.
void Coordinator::bootstrapHistory() {
  if (!group().isEstablishedLeader() || !m_StateMachine.historyGroups().empty())
    return;
  std::vector<consensus::MemberCandidate> Candidates;
  for (const NodeState &Node : m_Node.nodes().ofKind(NODE_HISTORY))
    if (m_Node.links().isConnected(Node.name()))
      Candidates.push_back({.m_Identity = Node.member(),
                            .m_Host = Node.host(),
                            .m_DataCentre = Node.data_centre(),
                            .m_Reachable = true});
  const std::size_t Target = 2 * m_Node.settings().m_ToleratedLosses + 1;
  const base::TimePoint Now = base::readMonotonic();
  if (Candidates.size() < Target) {
    m_EnoughHistoryNodesAt.reset();
    return;
  }
  if (!m_EnoughHistoryNodesAt)
    m_EnoughHistoryNodesAt = Now;
  if (Now - *m_EnoughHistoryNodesAt < m_Options.m_BootstrapDelay)
    return;
  messages::fleet::ControlGroupCommand Command;
  const std::size_t Groups =
      std::min(HistoryGroupsPerNode * Candidates.size(), MaxHistoryGroups);
  for (const auto &InitialMembers :
       consensus::planInitialMemberships(std::move(Candidates), Target, Groups))
    *Command.mutable_found()->add_groups() = InitialMembers;
  m_Node.log().write(
      "history_founding",
      {{"groups", Groups}, {"members", static_cast<std::uint64_t>(Target)}});
  m_Group->propose(ControlGroup, Command.SerializeAsString());
}

/// Whether endpoint updates that this node receives can be expected to reach
/// the entry instances: the leader of the control group is known, or at least
/// half as many entry instances are connected as ever were at once.
bool Coordinator::canReachEntryInstances() {
  const std::size_t EntryInstances = m_Node.connectedNodeCount(NODE_ENTRY);
  return !m_Group->leaderNode(ControlGroup).empty() ||
         (EntryInstances > 0 && EntryInstances * 2 >= m_EntryInstances.peak());
}

void Coordinator::flushHeartbeats() {
  if (m_PendingHeartbeats.endpoints_size() == 0)
    return;
  LinkMessage Message;
  *Message.mutable_endpoints() = std::exchange(m_PendingHeartbeats, {});
  m_Node.broadcast(Message, NODE_CONTROL);
}

void Coordinator::runMaintenance() {
  const base::TimePoint Now = base::readMonotonic();
  const std::vector<EndpointState> Inactive = m_Endpoints.expire(Now);
  if (!m_Node.isStopping() && !m_Group->leaderNode(ControlGroup).empty())
    m_EndpointCoverage.onListening(Now);
  // A node without contact to a leader may be cut off itself, and then can't
  // decide which endpoints are inactive.
  if (!m_Group->leaderNode(ControlGroup).empty())
    for (const EndpointState &Endpoint : Inactive)
      passOnEndpoint(Endpoint);
  checkControlDataCentres();
  countEntryInstances();
  const std::uint32_t Divisor = m_EntryInstances.divisor(Now);
  if (Divisor != m_PublishedDivisor && group().isCurrent()) {
    m_PublishedDivisor = Divisor;
    announceConfiguration();
  }
  serveInstancesThatDontFetch();
  bootstrapHistory();
  holdSuspects();
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

void Coordinator::stop() {
  if (m_Node.isStopping())
    return;
  m_Node.finishGracefully();
  m_Group->transferLeadership();
}

} // namespace psp::coordinator
