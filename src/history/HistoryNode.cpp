#include "history/HistoryNode.h"

#include "base/Hash.h"
#include "fleet/ProgramGroups.h"
#include "metrics/Names.h"
#include "node/MemoryUse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

constexpr base::Duration HouseInterval = base::milliseconds(500);
constexpr std::size_t IdentityBytes = 8;
/// Begins of a group are refused while this many of its commands wait for their
/// commit: more than a leader commits in the time that an entry instance waits.
constexpr std::size_t MostWaiting = 200;
/// A machine that isn't among a group's members and hasn't heard its leader for
/// this long forgets the group; one that is to become a member hears from it
/// several times a second.
constexpr base::Duration LeaveAfter = base::seconds(5);

} // namespace

HistoryNode::HistoryNode(const HistoryNodeOptions &Options,
                         const node::SettingsSource &Source)
    : m_Node({.m_Program = "psp-history",
              .m_Kind = NODE_HISTORY,
              .m_MetricsPort = Options.m_MetricsPort,
              .m_PeerBindHost = Options.m_PeerBindHost},
             Source),
      m_Room({.m_MemoryBytes = m_Node.settings().m_MemoryBytes,
              .m_DiskBytes = m_Node.settings().m_DiskBytes}),
      m_Asked(m_Node.io()), m_HouseTimer(m_Node.io()),
      m_TickTimer(m_Node.io()) {
  const node::NodeSettings &Settings = m_Node.settings();
  const std::uint64_t Seed =
      base::stableHash(Settings.m_Name + std::to_string(readClocks().m_Wall));
  m_Groups = std::make_unique<link::GroupHost>(
      m_Node.io(),
      link::GroupHostOptions{
          .m_Kind = messages::fleet::GROUP_HISTORY,
          .m_Nodes = NODE_HISTORY,
          .m_Folder = std::filesystem::path(Settings.m_DataFolder) / "history",
          .m_FreshIdentity = Settings.m_Host + "/" +
                             base::toHex(base::randomBytes(IdentityBytes)),
          .m_Group = {.m_AnnounceCommits = false, .m_Seed = Seed},
          .m_TargetMembers = 2 * Settings.m_ToleratedLosses + 1},
      m_Node.hub(), m_Node.nodes(), m_Node.log(),
      link::GroupHost::Handlers{
          .m_MakeState = [this](std::uint32_t Number)
              -> consensus::StateMachine & { return makeState(Number); },
          .m_OnProgress =
              [this](std::uint32_t Number) { onProgress(Number); }});
}

void HistoryNode::run() {
  m_Groups->start();
  m_Node.start(m_Groups->identity(),
               {.m_OnMessage =
                    [this](const NodeState &From, LinkMessage &Message) {
                      onMessage(From, Message);
                    },
                .m_OnUp = [this](const NodeState &Peer) { onUp(Peer); },
                .m_OnDown = [](const NodeState &) {},
                .m_OnStop = [this] { stop(); }});
  housekeeping();
  m_Node.run();
}

consensus::StateMachine &HistoryNode::makeState(std::uint32_t Number) {
  auto &Known = m_Hosted[Number];
  Known = std::make_unique<HostedGroup>(m_Groups, Number);
  return Known->m_Desk;
}

bool HistoryNode::leads(std::uint32_t Number) const {
  const consensus::Group *Known = m_Groups->find(Number);
  return Known && Known->isSettledLeader();
}

std::string HistoryNode::leaderOf(std::uint32_t Number) const {
  const std::string Heard = m_Groups->leaderNode(Number);
  return Heard.empty() ? m_Leaders.leaderOf(Number) : Heard;
}

void HistoryNode::onMessage(const NodeState &From, LinkMessage &Message) {
  if (Message.has_group())
    m_Groups->onMessage(Message.group());
  else if (Message.has_request())
    onRequest(From.name(), Message.request());
  else if (Message.has_reply())
    onPlaceReply(Message.reply());
  else if (Message.has_reports())
    for (const TurnReport &Each : Message.reports().reports())
      onReport(Each);
  else if (Message.has_leaders())
    onLeaders(Message.leaders());
  else if (Message.has_configuration())
    onConfiguration(Message.configuration());
  else if (Message.has_endpoints())
    for (const auto &Each : Message.endpoints().endpoints())
      m_Endpoints.merge(Each, false, base::readMonotonic());
}

void HistoryNode::onConfiguration(
    const messages::fleet::ConfigurationUpdate &Update) {
  m_Retiring = {Update.retiring().begin(), Update.retiring().end()};
  m_Groups->setRetiring(m_Retiring);
  if (Update.history_groups() == 0)
    return;
  m_GroupCount = Update.history_groups();
  m_Groups->setGroupCount(m_GroupCount);
  for (int Number = 0; Number < Update.founders_size(); ++Number) {
    const auto &Founders = Update.founders(Number);
    const bool Founds =
        std::ranges::any_of(Founders.members(), [this](const auto &Each) {
          return Each.id() == m_Groups->identity();
        });
    if (Founds && !m_Groups->find(static_cast<std::uint32_t>(Number)))
      m_Groups->found(static_cast<std::uint32_t>(Number), Founders);
  }
}

void HistoryNode::onRequest(const std::string &From, const Request &Asked) {
  if (Asked.has_place()) {
    onPlaceRequest(From, Asked);
    return;
  }
  const std::uint32_t Number = Asked.group();
  if (!leads(Number)) {
    Reply Answer;
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(leaderOf(Number));
    reply(From, Asked.id(), std::move(Answer));
    return;
  }
  if (Asked.has_retire())
    reply(From, Asked.id(), retirement(Number, Asked.retire()));
  else if (Asked.has_find())
    asio::co_spawn(m_Node.io(), answerFind(From, Asked), asio::detached);
  else if (Asked.has_begin())
    onBegin(From, Asked);
  else if (Asked.has_end())
    onEnd(From, Asked);
}

void HistoryNode::onBegin(const std::string &From, const Request &Asked) {
  const auto &Begin = Asked.begin();
  HostedGroup &Group = *m_Hosted.at(Asked.group());
  const bool Owned =
      m_GroupCount > 0 && groupOfProgram(Begin.organisation(), Begin.program(),
                                         m_GroupCount) == Asked.group();
  if (!Owned || Group.m_Desk.waiting() >= MostWaiting) {
    replyKind(From, Asked.id(), messages::fleet::REPLY_UNAVAILABLE);
    return;
  }
  if (Group.m_Desk.joins(From, Asked) || m_Places.join(From, Asked))
    return;
  if (!Begin.previous().empty() &&
      !Group.m_Desk.ledger().hasTurn(Begin.organisation(), Begin.previous()))
    asio::co_spawn(m_Node.io(), beginFromElsewhere(From, Asked),
                   asio::detached);
  else
    askForPlace(From, Asked);
}

void HistoryNode::onEnd(const std::string &From, const Request &Asked) {
  const auto &End = Asked.end();
  if (m_Hosted.at(Asked.group())->m_Desk.joins(From, Asked))
    return;
  if (End.keep() && End.endpoint().empty())
    m_Node.log().write("turn_names_no_endpoint",
                       {{"request", End.turn()},
                        {"reason", "its pace is held against no engine"}});
  TurnReport News;
  News.set_turn(End.turn());
  News.set_service(End.service());
  News.set_endpoint(End.endpoint());
  News.set_event_gap_us(End.event_gap_us());
  News.set_failed(End.failed());
  *News.mutable_silent() = End.silent();
  report(News);
  propose(From, Asked, {});
}

void HistoryNode::propose(const std::string &From, const Request &Asked,
                          const std::string &Endpoint) {
  const std::uint32_t Number = Asked.group();
  messages::fleet::HistoryCommand Command;
  if (Asked.has_begin()) {
    m_Node.metrics().counter(metrics::names::TurnsBegun).add();
    *Command.mutable_begin() = Asked.begin();
  } else {
    *Command.mutable_end() = Asked.end();
  }
  // Registered first: with one member the commit comes before propose returns.
  m_Hosted.at(Number)->m_Desk.expect(m_Groups->find(Number)->lastIndex() + 1,
                                     From, Asked, Endpoint);
  m_Groups->propose(Number, Command.SerializeAsString());
}

HistoryNode::Reply
HistoryNode::retirement(std::uint32_t Number,
                        const messages::fleet::RetireNode &Asked) const {
  Reply Answer;
  const NodeState *Target = m_Node.nodes().find(Asked.node());
  if (!Target || Target->kind() != NODE_HISTORY) {
    Answer.set_kind(messages::fleet::REPLY_UNKNOWN_NODE);
    return Answer;
  }
  const consensus::Group &Led = *m_Groups->find(Number);
  const auto &Members = Led.committedMembership().members();
  const std::size_t Needed = 2 * m_Node.settings().m_ToleratedLosses + 1;
  const bool IsMember = std::ranges::any_of(
      Members, [&](const auto &Each) { return Each.id() == Target->member(); });
  const bool CaughtUp = std::ranges::all_of(Members, [&](const auto &Each) {
    return Each.id() == Led.identity() || Led.isCaughtUp(Each.id());
  });
  Answer.set_done(m_Retiring.contains(Target->member()) && !IsMember &&
                  CaughtUp &&
                  static_cast<std::size_t>(Members.size()) >= Needed);
  return Answer;
}

void HistoryNode::reply(const std::string &To, std::uint64_t Id, Reply Answer) {
  LinkMessage Message;
  Answer.set_id(Id);
  *Message.mutable_reply() = std::move(Answer);
  m_Node.hub().send(To, Message);
}

void HistoryNode::replyKind(const std::string &To, std::uint64_t Id,
                            messages::fleet::ReplyKind Kind) {
  Reply Answer;
  Answer.set_kind(Kind);
  reply(To, Id, std::move(Answer));
}

void HistoryNode::onProgress(std::uint32_t Number) {
  HostedGroup &Group = *m_Hosted.at(Number);
  const bool Leads = m_Groups->find(Number)->isLeader();
  if (std::exchange(Group.m_Led, Leads) && !Leads)
    onLeadershipLost(Group);
  if (Leads)
    announceLeadership(Group);
  for (AddressedReply &Each : Group.m_Desk.takeReplies()) {
    const std::uint64_t Id = Each.m_Reply.id();
    reply(Each.m_Node, Id, std::move(Each.m_Reply));
  }
  for (const TurnReport &Each : Group.m_Desk.takeUnused())
    report(Each);
  for (const std::string &Each : Group.m_Desk.takeFaults()) {
    m_Node.log().write("entry_damaged", {{"number", Number}, {"reason", Each}});
    m_Groups->handOver(Number);
  }
  for (const std::uint64_t Ticket : m_Groups->takeReads(Number))
    if (const auto Found = Group.m_ReadWaiters.find(Ticket);
        Found != Group.m_ReadWaiters.end())
      Found->second->fire();
}

void HistoryNode::onLeadershipLost(HostedGroup &Lost) {
  Lost.m_Announced = {0, 0};
  Lost.m_Desk.failAll(m_Groups->leaderNode(Lost.m_Number));
  for (const auto &[Ticket, Each] : Lost.m_ReadWaiters)
    Each->fire(false);
  for (const auto &Each : m_Places.takeGroup(Lost.m_Number))
    replyKind(Each.m_Node, Each.m_Request.id(),
              messages::fleet::REPLY_NOT_LEADER);
  for (auto Entry = m_Engines.begin(); Entry != m_Engines.end();) {
    if (dispatchingGroup(Entry->first, m_GroupCount) != Lost.m_Number) {
      ++Entry;
      continue;
    }
    for (const auto &Each : Entry->second.takeAll())
      replyKind(Each.m_Node, Each.m_Request.id(),
                messages::fleet::REPLY_NOT_LEADER);
    Entry = m_Engines.erase(Entry);
  }
}

messages::fleet::GroupLeader
HistoryNode::describeLeadership(std::uint32_t Number) const {
  const consensus::Group &Led = *m_Groups->find(Number);
  messages::fleet::GroupLeader News;
  News.set_group(Number);
  News.set_term(Led.term());
  News.set_node(m_Node.settings().m_Name);
  News.set_membership_index(std::min(Led.membershipIndex(), Led.commitIndex()));
  for (const auto &Each : Led.committedMembership().members())
    News.add_members(Each.id());
  return News;
}

/// Tells everybody once this node can answer as the leader, and each time the
/// members have changed.
void HistoryNode::announceLeadership(HostedGroup &Led) {
  const consensus::Group &Group = *m_Groups->find(Led.m_Number);
  if (!Group.isSettledLeader() || Group.membershipIndex() > Group.commitIndex())
    return;
  const std::pair Now(Group.term(), Group.membershipIndex());
  if (std::exchange(Led.m_Announced, Now) == Now)
    return;
  LinkMessage Message;
  *Message.mutable_leaders()->add_leaders() = describeLeadership(Led.m_Number);
  m_Leaders.merge(Message.leaders().leaders(0));
  m_Node.broadcast(Message);
}

void HistoryNode::onUp(const NodeState &Peer) {
  LinkMessage Message;
  for (const std::uint32_t Number : m_Groups->hosted())
    if (leads(Number))
      *Message.mutable_leaders()->add_leaders() = describeLeadership(Number);
  if (Message.has_leaders())
    m_Node.hub().send(Peer.name(), Message);
}

void HistoryNode::onLeaders(const messages::fleet::LeaderUpdate &News) {
  for (const auto &Each : News.leaders())
    m_Leaders.merge(Each);
}

/// Forgets groups whose leader lists other members. Their logs would otherwise
/// stay on this disk for good.
void HistoryNode::leaveForeignGroups() {
  const base::TimePoint Now = base::readMonotonic();
  for (const std::uint32_t Number : m_Groups->hosted()) {
    const consensus::Group &Known = *m_Groups->find(Number);
    const fleet::GroupLeader *Told = m_Leaders.find(Number);
    if (!Told || !Known.hasHistory() || Known.isLeader() ||
        Told->membership_index() < Known.membershipIndex() ||
        Told->term() < Known.term())
      continue;
    const bool IsMember =
        std::ranges::find(Told->members(), m_Groups->identity()) !=
        Told->members().end();
    const auto Heard = Known.heardLeaderAt();
    if (IsMember || (Heard && Now - *Heard < LeaveAfter))
      continue;
    m_Node.log().write(
        "group_left",
        {{"number", Number}, {"term", Known.term()}, {"leader", Told->node()}});
    m_Groups->leave(Number);
  }
}

void HistoryNode::housekeeping() {
  const base::TimePoint Now = base::readMonotonic();
  std::size_t Kept = 0;
  for (const auto &[Number, Group] : m_Hosted)
    Kept += Group->m_Desk.ledger().turnCount();
  m_Node.metrics()
      .gauge(metrics::names::TurnsKept)
      .set(static_cast<std::int64_t>(Kept));
  for (auto &[Service, Desk] : m_Engines)
    Desk.expire(Now);
  ResourceUsage Used{.m_MemoryBytes = node::residentBytes(),
                     .m_DiskBytes = m_Groups->diskBytes()};
  // After a peak most of it is free, and the machine would stay full.
  if (m_Room.isFullWith(Used)) {
    node::releaseFreeMemory();
    Used.m_MemoryBytes = node::residentBytes();
  }
  if (m_Room.update(Used))
    m_Node.log().write("room_changed",
                       {{"full", m_Room.isFull() ? "yes" : "no"},
                        {"memory_bytes", Used.m_MemoryBytes},
                        {"disk_bytes", Used.m_DiskBytes}});
  leaveForeignGroups();
  m_HouseTimer.expires_after(HouseInterval);
  m_HouseTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      housekeeping();
  });
}

void HistoryNode::stop() {
  if (m_Node.isStopping())
    return;
  m_Node.finishSoon();
  m_Groups->handOver();
}

} // namespace psp::history
