#include "history/HistoryNode.h"

#include "base/Hash.h"
#include "fleet/ProgramGroups.h"
#include "metrics/Names.h"
#include "node/EvacuationUpdate.h"
#include "node/MemoryUse.h"
#include "web/Spawn.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace psp::history {

namespace asio = boost::asio;
using base::readClocks;
using fleet::dispatchingGroup;
using fleet::groupOfProgram;
using messages::fleet::NODE_HISTORY;

namespace {

constexpr base::Duration MaintenanceInterval = base::milliseconds(500);
constexpr std::size_t IdentityBytes = 8;
/// An instance that isn't a member of a group and hasn't received a message
/// from its leader for this long deletes the group's data. An instance that is
/// to become a member receives messages several times a second.
constexpr base::Duration LeaveDelay = base::seconds(5);
/// Timeout for the leader's reply to a relayed request. Shorter than the time
/// that an entry instance waits for a reply.
constexpr base::Duration RelayTimeout = base::milliseconds(240);

/// The turn, stream or service that \p Received names.
std::string subjectOf(const messages::fleet::Request &Received) {
  if (Received.has_begin())
    return Received.begin().turn();
  if (Received.has_stream())
    return Received.stream().stream();
  if (Received.has_service_version())
    return Received.service_version().service();
  if (Received.has_find_service_version())
    return Received.find_service_version().service();
  if (Received.has_find_endpoints())
    return Received.find_endpoints().service();
  if (Received.has_read_chain())
    return Received.read_chain().reader();
  return Received.has_find_stream() ? Received.find_stream().stream()
                                    : Received.end().turn();
}

} // namespace

HistoryNode::HistoryNode(const HistoryNodeOptions &Options,
                         const node::SettingsSource &Source)
    : m_Node({.m_Program = "psp-history",
              .m_Kind = NODE_HISTORY,
              .m_MetricsPort = Options.m_MetricsPort,
              .m_PeerBindHost = Options.m_PeerBindHost},
             Source),
      m_Capacity({.m_MemoryBytes = m_Node.settings().m_MemoryBytes,
                  .m_DiskBytes = m_Node.settings().m_DiskBytes}),
      m_OutgoingRequests(m_Node.io()), m_ChainTimer(m_Node.io()),
      m_MaintenanceTimer(m_Node.io()), m_TickTimer(m_Node.io()),
      m_RemoteTurnCostMs(Options.m_RemoteTurnCostMs),
      m_UsesRanks(Options.m_UsesRanks), m_LearnsSpeeds(Options.m_LearnsSpeeds) {
  const node::NodeSettings &Settings = m_Node.settings();
  const std::uint64_t Seed =
      base::stableHash(Settings.m_Name + std::to_string(readClocks().m_Wall));
  m_Groups = std::make_unique<link::GroupHost>(
      m_Node.io(),
      link::GroupHostOptions{
          .m_Kind = messages::fleet::GROUP_HISTORY,
          .m_NodeKind = NODE_HISTORY,
          .m_Folder = std::filesystem::path(Settings.m_DataFolder) / "history",
          .m_NewDiskIdentity = Settings.m_Host + "/" +
                               base::toHex(base::randomBytes(IdentityBytes)),
          .m_Group = {.m_AnnounceCommits = false, .m_Seed = Seed},
          .m_TargetMembers = 2 * Settings.m_ToleratedLosses + 1},
      m_Node.links(), m_Node.nodes(), m_Node.log(),
      link::GroupHost::Handlers{
          .m_MakeStateMachine = [this](std::uint32_t Number)
              -> consensus::StateMachine & { return makeState(Number); },
          .m_OnProgress =
              [this](std::uint32_t Number) { onProgress(Number); }});
}

void HistoryNode::run() {
  m_Groups->start();
  m_Node.start(
      m_Groups->identity(),
      {.m_OnMessage =
           [this](const link::MessageSource &From, LinkMessage &Message) {
             onMessage(From, Message);
           },
       .m_OnConnected = [this](const NodeState &Peer) { onPeerUp(Peer); },
       .m_OnDisconnected = [](const NodeState &) {},
       .m_OnStop = [this] { stop(); }});
  runMaintenance();
  m_Node.run();
}

std::uint64_t HistoryNode::wallMs() {
  constexpr std::uint64_t MicrosecondsPerMs = 1000;
  return readClocks().m_Wall / MicrosecondsPerMs;
}

consensus::StateMachine &HistoryNode::makeState(std::uint32_t Number) {
  auto &Group = m_Hosted[Number];
  Group = std::make_unique<HostedGroup>(m_Groups, Number);
  return Group->m_State;
}

bool HistoryNode::isLeaderOf(std::uint32_t Number) const {
  const consensus::Group *Group = m_Groups->find(Number);
  return Group && Group->isEstablishedLeader();
}

std::string HistoryNode::leaderOf(std::uint32_t Number) const {
  const std::string Leader = m_Groups->leaderNode(Number);
  return Leader.empty() ? m_Leaders.leaderOf(Number) : Leader;
}

void HistoryNode::onMessage(const link::MessageSource &From,
                            LinkMessage &Message) {
  if (Message.has_group())
    m_Groups->onMessage(Message.group());
  else if (Message.has_request())
    onRequest(From, Message.request());
  else if (Message.has_reply())
    onReply(Message.reply());
  else if (Message.has_reports())
    for (const TurnReport &Report : Message.reports().reports())
      onTurnReport(Report);
  else if (Message.has_leaders())
    onLeaderUpdate(Message.leaders());
  else if (Message.has_configuration())
    onConfiguration(Message.configuration());
  else if (Message.has_endpoints())
    for (const auto &Endpoint : Message.endpoints().endpoints())
      m_Endpoints.merge(Endpoint, false, base::readMonotonic());
}

void HistoryNode::onConfiguration(
    const messages::fleet::ConfigurationUpdate &Update) {
  m_Retiring = {Update.retiring().begin(), Update.retiring().end()};
  m_Groups->setRetiringMembers(m_Retiring);
  node::takeEvacuations(m_Node, m_Endpoints, Update);
  if (Update.history_groups() == 0)
    return;
  m_GroupCount = Update.history_groups();
  m_Groups->setGroupCount(m_GroupCount);
  for (int Number = 0; Number < Update.founders_size(); ++Number) {
    const auto &InitialMembers = Update.founders(Number);
    const bool IsInitialMember = std::ranges::any_of(
        InitialMembers.members(), [this](const auto &Member) {
          return Member.id() == m_Groups->identity();
        });
    if (IsInitialMember && !m_Groups->find(static_cast<std::uint32_t>(Number)))
      m_Groups->bootstrap(static_cast<std::uint32_t>(Number), InitialMembers);
  }
}

void HistoryNode::onRequest(const link::MessageSource &Sender,
                            const Request &Received) {
  const ReplyAddress From = Sender.replyAddress();
  if (Received.has_place()) {
    onSlotRequest(From, Received);
    return;
  }
  const std::uint32_t Number = Received.group();
  if (!isLeaderOf(Number)) {
    const std::string Leader = leaderOf(Number);
    // Entry instances only, so that no request is relayed twice.
    const bool Relays =
        Sender.m_Node.kind() == messages::fleet::NODE_ENTRY &&
        (Received.has_begin() || Received.has_end() || Received.has_stream() ||
         Received.has_find_stream() || Received.has_service_version() ||
         Received.has_find_service_version() || Received.has_find_endpoints() ||
         Received.has_read_chain()) &&
        m_Node.links().isConnected(Leader);
    if (Relays) {
      web::spawn(m_Node.io().get_executor(), "relay_to_leader",
                 web::Lasting(*this),
                 [From, Received, Leader](HistoryNode &Self) {
                   return Self.relayToLeader(From, Received, Leader);
                 });
      return;
    }
    Reply Rejection;
    Rejection.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Rejection.set_leader(Leader);
    reply(From, Received.id(), std::move(Rejection));
    return;
  }
  if (Received.has_retire())
    reply(From, Received.id(), retirementReply(Number, Received.retire()));
  else if (Received.has_find())
    web::spawn(m_Node.io().get_executor(), "reply_to_find", web::Lasting(*this),
               [From, Received](HistoryNode &Self) {
                 return Self.replyToFind(From, Received);
               });
  else if (Received.has_begin())
    onBegin(From, Received);
  else if (Received.has_end())
    onEnd(From, Received);
  else if (Received.has_stream())
    onRecordStream(From, Received);
  else if (Received.has_find_stream())
    web::spawn(m_Node.io().get_executor(), "reply_to_find_stream",
               web::Lasting(*this), [From, Received](HistoryNode &Self) {
                 return Self.replyToFindStream(From, Received);
               });
  else if (Received.has_service_version())
    onRecordServiceVersion(From, Received);
  else if (Received.has_find_service_version())
    web::spawn(m_Node.io().get_executor(), "reply_to_find_service_version",
               web::Lasting(*this), [From, Received](HistoryNode &Self) {
                 return Self.replyToFindServiceVersion(From, Received);
               });
  else if (Received.has_find_endpoints())
    replyToFindEndpoints(From, Received);
  else if (Received.has_read_chain())
    onReadChain(From, Received);
}

/// Sends a request of the entry instance \p From on to \p Leader, which that
/// instance may not reach.
asio::awaitable<void> HistoryNode::relayToLeader(ReplyAddress From,
                                                 Request Received,
                                                 std::string Leader) {
  const std::uint64_t Id = Received.id();
  m_Node.log().write("request_relayed", {{"request", subjectOf(Received)},
                                         {"from", From.m_Node},
                                         {"number", Received.group()},
                                         {"leader", Leader}});
  Received.set_id(OtherGroupIdBase + m_OutgoingRequests.nextId());
  LinkMessage Message;
  *Message.mutable_request() = Received;
  m_Node.links().send(Leader, Message);
  auto Outgoing = co_await m_OutgoingRequests.wait(Received.id(), RelayTimeout);
  if (!Outgoing) {
    Outgoing.emplace();
    Outgoing->set_kind(messages::fleet::REPLY_NOT_LEADER);
  } else if (Outgoing->kind() != messages::fleet::REPLY_NOT_LEADER) {
    Outgoing->set_leader(Leader);
  }
  reply(From, Id, std::move(*Outgoing));
}

void HistoryNode::onBegin(const ReplyAddress &From, const Request &Received) {
  const auto &Begin = Received.begin();
  HostedGroup &Group = *m_Hosted.at(Received.group());
  const bool Owned =
      m_GroupCount > 0 && groupOfProgram(Begin.organisation(), Begin.program(),
                                         m_GroupCount) == Received.group();
  if (!Owned || Group.m_State.pendingCommands() >= MaxPendingCommands) {
    replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
    return;
  }
  if (Group.m_State.coalesce(From, Received) ||
      m_SlotRequests.coalesce(From, Received))
    return;
  if (!Begin.resumes().empty()) {
    web::spawn(m_Node.io().get_executor(), "begin_take_up", web::Lasting(*this),
               [From, Received](HistoryNode &Self) {
                 return Self.beginTakeUp(From, Received);
               });
    return;
  }
  findChainAndSlot(From, Received);
}

/// Finds the earlier turns of a turn that begins, and a slot for it.
void HistoryNode::findChainAndSlot(const ReplyAddress &From,
                                   const Request &Received) {
  const auto &Begin = Received.begin();
  const HostedGroup &Group = *m_Hosted.at(Received.group());
  if (!Begin.previous().empty() &&
      !Group.m_State.ledger().hasChain(Begin.organisation(), Begin.previous(),
                                       wallMs()))
    web::spawn(m_Node.io().get_executor(), "begin_from_other_group",
               web::Lasting(*this), [From, Received](HistoryNode &Self) {
                 return Self.beginFromOtherGroup(From, Received);
               });
  else
    requestSlot(From, Received);
}

void HistoryNode::onEnd(const ReplyAddress &From, const Request &Received) {
  const auto &End = Received.end();
  if (m_Hosted.at(Received.group())->m_State.coalesce(From, Received))
    return;
  if (End.keep() && End.endpoint().empty())
    m_Node.log().write(
        "turn_names_no_endpoint",
        {{"request", End.turn()},
         {"reason", "its event rate can't be attributed to an engine"}});
  TurnReport Report;
  Report.set_turn(End.turn());
  Report.set_service(End.service());
  Report.set_endpoint(End.endpoint());
  Report.set_event_gap_us(End.event_gap_us());
  Report.set_first_event_us(End.first_event_us());
  Report.set_prompt_tokens(End.prompt_tokens());
  Report.set_failed(End.failed());
  *Report.mutable_silent() = End.silent();
  reportTurn(Report);
  propose(From, Received, {});
}

void HistoryNode::propose(const ReplyAddress &From, const Request &Received,
                          const GrantedSlot &Granted, bool ChainSearched) {
  const std::uint32_t Number = Received.group();
  messages::fleet::HistoryCommand Command;
  if (Received.has_begin()) {
    m_Node.metrics().counter(metrics::names::TurnsBegun).add();
    *Command.mutable_begin() = Received.begin();
  } else if (Received.has_stream()) {
    *Command.mutable_stream() = Received.stream();
    Command.mutable_stream()->clear_endpoint();
    Command.mutable_stream()->clear_born();
  } else if (Received.has_service_version()) {
    *Command.mutable_service_version() = Received.service_version();
  } else {
    *Command.mutable_end() = Received.end();
  }
  const std::string Bytes = Command.SerializeAsString();
  if (Bytes.size() > link::MaxCommandBytes) {
    replyKind(From, Received.id(), messages::fleet::REPLY_REFUSED);
    return;
  }
  // The request is registered before the proposal, since a group of one member
  // commits before propose() returns.
  m_Hosted.at(Number)->m_State.awaitCommit(
      m_Groups->find(Number)->lastIndex() + 1, From, Received, Granted,
      ChainSearched);
  m_Groups->propose(Number, Bytes);
}

HistoryNode::Reply HistoryNode::retirementReply(
    std::uint32_t Number, const messages::fleet::RetireNode &Received) const {
  Reply Answer;
  const NodeState *Target = m_Node.nodes().find(Received.node());
  if (!Target || Target->kind() != NODE_HISTORY) {
    Answer.set_kind(messages::fleet::REPLY_UNKNOWN_NODE);
    return Answer;
  }
  const consensus::Group &Group = *m_Groups->find(Number);
  const auto &Members = Group.committedMembership().members();
  const std::size_t Needed = 2 * m_Node.settings().m_ToleratedLosses + 1;
  const bool IsMember = std::ranges::any_of(Members, [&](const auto &Member) {
    return Member.id() == Target->member();
  });
  const bool CaughtUp = std::ranges::all_of(Members, [&](const auto &Member) {
    return Member.id() == Group.identity() || Group.isCaughtUp(Member.id());
  });
  Answer.set_done(m_Retiring.contains(Target->member()) && !IsMember &&
                  CaughtUp &&
                  static_cast<std::size_t>(Members.size()) >= Needed);
  return Answer;
}

void HistoryNode::reply(const ReplyAddress &To, std::uint64_t Id,
                        Reply Outgoing) {
  LinkMessage Message;
  Outgoing.set_id(Id);
  *Message.mutable_reply() = std::move(Outgoing);
  m_Node.reply(To, Message);
}

void HistoryNode::replyKind(const ReplyAddress &To, std::uint64_t Id,
                            messages::fleet::ReplyKind Kind) {
  Reply Outgoing;
  Outgoing.set_kind(Kind);
  reply(To, Id, std::move(Outgoing));
}

void HistoryNode::onProgress(std::uint32_t Number) {
  HostedGroup &Group = *m_Hosted.at(Number);
  const bool IsLeader = m_Groups->find(Number)->isLeader();
  if (std::exchange(Group.m_WasLeader, IsLeader) && !IsLeader)
    onLeadershipLost(Group);
  if (IsLeader)
    announceLeadership(Group);
  for (AddressedReply &Ready : Group.m_State.takeReplies()) {
    const std::uint64_t Id = Ready.m_Reply.id();
    reply(Ready.m_To, Id, std::move(Ready.m_Reply));
  }
  for (const TurnReport &Report : Group.m_State.takeUnusedSlots())
    reportTurn(Report);
  for (AddressedRequest &Missing : Group.m_State.takeMissingChains())
    web::spawn(m_Node.io().get_executor(), "begin_from_other_group",
               web::Lasting(*this),
               [Begin = std::move(Missing)](HistoryNode &Self) {
                 return Self.beginFromOtherGroup(Begin.m_From, Begin.m_Request);
               });
  for (const std::string &Reason : Group.m_State.takeReadErrors()) {
    m_Node.log().write("entry_damaged",
                       {{"number", Number}, {"reason", Reason}});
    m_Groups->transferLeadership(Number);
  }
  for (const std::uint64_t Ticket : m_Groups->takeReadyReads(Number))
    if (const auto Waiting = Group.m_ReadWaiters.find(Ticket);
        Waiting != Group.m_ReadWaiters.end())
      Waiting->second->fire();
}

void HistoryNode::onLeadershipLost(HostedGroup &Group) {
  Group.m_Announced = {0, 0};
  Group.m_State.failAll(m_Groups->leaderNode(Group.m_Number));
  for (const auto &[Ticket, Waiting] : Group.m_ReadWaiters)
    Waiting->fire(false);
  for (const auto &Pending : m_SlotRequests.takeGroup(Group.m_Number))
    replyKind(Pending.m_From, Pending.m_Request.id(),
              messages::fleet::REPLY_NOT_LEADER);
  for (auto Entry = m_SlotAllocators.begin();
       Entry != m_SlotAllocators.end();) {
    if (dispatchingGroup(Entry->first, m_GroupCount) != Group.m_Number) {
      ++Entry;
      continue;
    }
    for (const auto &Turn : Entry->second.takeAll())
      replyKind(Turn.m_From, Turn.m_Request.id(),
                messages::fleet::REPLY_NOT_LEADER);
    Entry = m_SlotAllocators.erase(Entry);
  }
}

messages::fleet::GroupLeader
HistoryNode::describeLeadership(std::uint32_t Number) const {
  const consensus::Group &Group = *m_Groups->find(Number);
  messages::fleet::GroupLeader Leadership;
  Leadership.set_group(Number);
  Leadership.set_term(Group.term());
  Leadership.set_node(m_Node.settings().m_Name);
  Leadership.set_membership_index(
      std::min(Group.membershipIndex(), Group.commitIndex()));
  for (const auto &Member : Group.committedMembership().members())
    Leadership.add_members(Member.id());
  return Leadership;
}

/// Announces to all nodes that this node is the leader of \p Hosted, once it
/// can serve requests and each time the members have changed.
void HistoryNode::announceLeadership(HostedGroup &Hosted) {
  const consensus::Group &Group = *m_Groups->find(Hosted.m_Number);
  if (!Group.isEstablishedLeader() ||
      Group.membershipIndex() > Group.commitIndex())
    return;
  const std::pair Current(Group.term(), Group.membershipIndex());
  if (std::exchange(Hosted.m_Announced, Current) == Current)
    return;
  LinkMessage Message;
  *Message.mutable_leaders()->add_leaders() =
      describeLeadership(Hosted.m_Number);
  m_Leaders.merge(Message.leaders().leaders(0));
  m_Node.broadcast(Message);
}

void HistoryNode::onPeerUp(const NodeState &Peer) {
  LinkMessage Message;
  for (const std::uint32_t Number : m_Groups->hostedGroups())
    if (isLeaderOf(Number))
      *Message.mutable_leaders()->add_leaders() = describeLeadership(Number);
  if (Message.has_leaders())
    m_Node.links().send(Peer.name(), Message);
}

void HistoryNode::onLeaderUpdate(const messages::fleet::LeaderUpdate &Update) {
  for (const auto &Leadership : Update.leaders())
    m_Leaders.merge(Leadership);
}

/// Deletes groups whose leader does not list this node as a member. Their logs
/// would otherwise stay on this disk forever.
void HistoryNode::leaveRemovedGroups() {
  const base::TimePoint Now = base::readMonotonic();
  for (const std::uint32_t Number : m_Groups->hostedGroups()) {
    const consensus::Group &Group = *m_Groups->find(Number);
    const fleet::GroupLeader *Announced = m_Leaders.find(Number);
    if (!Announced || !Group.hasState() || Group.isLeader() ||
        Announced->membership_index() < Group.membershipIndex() ||
        Announced->term() < Group.term())
      continue;
    const bool IsMember =
        std::ranges::find(Announced->members(), m_Groups->identity()) !=
        Announced->members().end();
    const auto LastReceivedAt = Group.lastReceivedFromLeaderAt();
    if (IsMember || (LastReceivedAt && Now - *LastReceivedAt < LeaveDelay))
      continue;
    m_Node.log().write("group_left", {{"number", Number},
                                      {"term", Group.term()},
                                      {"leader", Announced->node()}});
    m_Groups->leave(Number);
  }
}

void HistoryNode::runMaintenance() {
  const base::TimePoint Now = base::readMonotonic();
  std::size_t RetainedTurns = 0;
  for (const auto &[Number, Group] : m_Hosted)
    RetainedTurns += Group->m_State.ledger().turnCount();
  m_Node.metrics()
      .gauge(metrics::names::TurnsKept)
      .set(static_cast<std::int64_t>(RetainedTurns));
  for (auto &[Service, Allocator] : m_SlotAllocators)
    Allocator.expire(Now);
  logEngineSpeeds(Now);
  ResourceUsage Usage{.m_MemoryBytes = node::residentBytes(),
                      .m_DiskBytes = m_Groups->diskBytes()};
  // After a peak most of the heap is free but still resident. Without its
  // release the instance would stay full.
  if (m_Capacity.isFullAt(Usage)) {
    node::releaseFreeMemory();
    Usage.m_MemoryBytes = node::residentBytes();
  }
  if (m_Capacity.update(Usage))
    m_Node.log().write("room_changed",
                       {{"full", m_Capacity.isFull() ? "yes" : "no"},
                        {"memory_bytes", Usage.m_MemoryBytes},
                        {"disk_bytes", Usage.m_DiskBytes}});
  leaveRemovedGroups();
  m_ChainTexts.dropUnused();
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

void HistoryNode::stop() {
  if (m_Node.isStopping())
    return;
  m_Node.finishGracefully();
  m_Groups->transferLeadership();
}

} // namespace psp::history
