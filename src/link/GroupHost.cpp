#include "link/GroupHost.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "messages/Parse.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace psp::link {

using consensus::Group;

namespace {

/// Entries applied at once that are worth a line in the log: a member that has
/// restarted, during which it answers nobody.
constexpr std::uint64_t LongReplay = 500;
/// Timers that are due this soon run with the one that is due now.
constexpr base::Duration TimerSlack = base::milliseconds(3);

/// Entries aren't added to more unsent bytes for one node than this.
constexpr std::size_t MostBacklogBytes = 1U << 20U;

std::string_view groupName(messages::fleet::GroupKind Kind) {
  return Kind == messages::fleet::GROUP_CONTROL ? "control" : "history";
}

} // namespace

GroupHost::GroupHost(boost::asio::io_context &Io, GroupHostOptions Options,
                     Hub &Links, fleet::NodeDirectory &Nodes,
                     logging::EventLog &Log, Handlers Handle)
    : m_Io(Io), m_Timer(Io), m_Options(std::move(Options)), m_Links(Links),
      m_Nodes(Nodes), m_Log(Log), m_Handle(std::move(Handle)),
      m_Journal({.m_Folder = m_Options.m_Folder,
                 .m_SegmentBytes = m_Options.m_SegmentBytes,
                 .m_ReadsBack = true},
                [this](std::uint64_t Sequence, std::string_view Record) {
                  restore(Sequence, Record);
                }) {
  m_Store.m_Target = &m_Journal;
}

void GroupHost::restore(std::uint64_t Sequence, std::string_view Record) {
  auto Read = messages::parseMessage<consensus::GroupLog::Record>(
      Record, "group journal");
  if (!Read.identity().empty()) {
    m_Identity = Read.identity();
    m_IdentitySequence = Sequence;
    return;
  }
  const std::uint32_t Number = Read.number();
  open(Number).m_Group->restore(Sequence, std::move(Read));
}

GroupHost::Hosted &GroupHost::open(std::uint32_t Number) {
  const auto [Found, IsNew] = m_Hosted.try_emplace(Number);
  if (IsNew) {
    consensus::GroupOptions Options = m_Options.m_Group;
    Options.m_Number = Number;
    Options.m_Seed += Number;
    Found->second.m_Group =
        std::make_unique<Group>(Options, m_Store, m_Handle.m_MakeState(Number));
  }
  return Found->second;
}

void GroupHost::start() {
  const base::Now Start = base::readClocks();
  if (m_Identity.empty()) {
    m_Identity = m_Options.m_FreshIdentity;
    writeIdentity();
  }
  if (m_Options.m_Always)
    open(*m_Options.m_Always);
  std::uint64_t Entries = 0;
  for (auto &[Number, Known] : m_Hosted) {
    Known.m_Group->start(m_Identity, base::readClocks());
    Entries += Known.m_Group->lastIndex();
    m_Changed.insert(Number);
  }
  m_Log.write("groups_started",
              {{"group", groupName(m_Options.m_Kind)},
               {"identity", m_Identity},
               {"hosted", m_Hosted.size()},
               {"entries", Entries},
               {"disk_bytes", m_Journal.diskBytes()},
               {"applied_us",
                static_cast<std::uint64_t>(
                    (base::readMonotonic() - Start.m_Monotonic).count())}});
  settle();
}

void GroupHost::writeIdentity() {
  consensus::GroupLog::Record Content;
  Content.set_identity(m_Identity);
  m_IdentitySequence = m_Journal.append(Content.SerializeAsString());
  m_Journal.sync();
}

Group &GroupHost::groupOf(std::uint32_t Number) {
  const bool IsNew = !m_Hosted.contains(Number);
  Hosted &Known = open(Number);
  if (IsNew)
    Known.m_Group->start(m_Identity, base::readClocks());
  return *Known.m_Group;
}

void GroupHost::found(std::uint32_t Number,
                      const messages::fleet::GroupMembership &Founders) {
  groupOf(Number).found(Founders, base::readClocks());
  changed(Number);
}

void GroupHost::onMessage(const Group::Message &Received) {
  if (Received.to() != m_Identity)
    return;
  Group &Target = groupOf(Received.number());
  const std::uint64_t Before = Target.commitIndex();
  const base::Now Start = base::readClocks();
  Target.onMessage(Received, Start);
  const std::uint64_t Applied = Target.commitIndex() - Before;
  if (Applied >= LongReplay)
    m_Log.write("group_replayed",
                {{"group", groupName(m_Options.m_Kind)},
                 {"number", Received.number()},
                 {"entries", Applied},
                 {"took_us",
                  static_cast<std::uint64_t>(
                      (base::readMonotonic() - Start.m_Monotonic).count())}});
  changed(Received.number());
}

std::optional<std::uint64_t> GroupHost::propose(std::uint32_t Number,
                                                const std::string &Command) {
  const auto Found = m_Hosted.find(Number);
  if (Found == m_Hosted.end())
    return std::nullopt;
  const auto Index =
      Found->second.m_Group->propose(Command, base::readClocks());
  changed(Number);
  return Index;
}

std::optional<std::uint64_t> GroupHost::beginRead(std::uint32_t Number) {
  const auto Found = m_Hosted.find(Number);
  if (Found == m_Hosted.end())
    return std::nullopt;
  const auto Ticket = Found->second.m_Group->beginRead(base::readClocks());
  changed(Number);
  return Ticket;
}

std::vector<std::uint64_t> GroupHost::takeReads(std::uint32_t Number) {
  return groupOf(Number).takeReads();
}

void GroupHost::handOver() {
  for (const std::uint32_t Number : hosted())
    handOver(Number);
  settle();
}

void GroupHost::handOver(std::uint32_t Number) {
  groupOf(Number).handOver(base::readClocks());
  changed(Number);
}

void GroupHost::leave(std::uint32_t Number) {
  groupOf(Number).leave(base::readMonotonic());
  changed(Number);
}

void GroupHost::setRetiring(std::set<std::string> Members) {
  m_Retiring = std::move(Members);
}

const Group *GroupHost::find(std::uint32_t Number) const {
  const auto Found = m_Hosted.find(Number);
  return Found == m_Hosted.end() ? nullptr : Found->second.m_Group.get();
}

std::vector<std::uint32_t> GroupHost::hosted() const {
  std::vector<std::uint32_t> Numbers;
  for (const auto &[Number, Known] : m_Hosted)
    Numbers.push_back(Number);
  return Numbers;
}

std::string GroupHost::leaderNode(std::uint32_t Number) const {
  const Group *Known = find(Number);
  if (!Known || Known->leader().empty())
    return {};
  const fleet::NodeState *Node = m_Nodes.findMember(Known->leader());
  return Node ? Node->name() : std::string();
}

/// The group is settled after whatever else is ready to be handled, so that one
/// sync and one write to each link serve all of it. Load pattern: a burst, in
/// which a sync for each command would take longer than the commands come.
void GroupHost::changed(std::uint32_t Number) {
  m_Changed.insert(Number);
  if (std::exchange(m_SettleQueued, true))
    return;
  boost::asio::post(m_Io, [this] {
    m_SettleQueued = false;
    settle();
  });
}

/// Sends what needs no sync, syncs once for everything that was appended, and
/// sends the rest. Handlers may propose again, so it repeats until quiet.
void GroupHost::settle() {
  if (std::exchange(m_Settling, true))
    return;
  while (!m_Changed.empty()) {
    const std::set<std::uint32_t> Round = std::exchange(m_Changed, {});
    for (const std::uint32_t Number : Round)
      sendAll(groupOf(Number).takeEarly(base::readClocks()));
    m_Journal.sync();
    for (const std::uint32_t Number : Round) {
      Group &Settled = groupOf(Number);
      Settled.onSynced(base::readClocks());
      sendAll(Settled.takeMessages());
      const std::uint64_t Before = Settled.lastIndex();
      m_Handle.m_OnProgress(Number);
      auto Early = Settled.takeEarly(base::readClocks());
      if (!Early.empty() || Settled.lastIndex() != Before)
        m_Changed.insert(Number);
      sendAll(std::move(Early));
      reportRole(Number);
    }
  }
  m_Settling = false;
  armTimer();
}

void GroupHost::sendAll(std::vector<Group::Message> Messages) {
  for (Group::Message &Each : Messages) {
    const fleet::NodeState *Node = m_Nodes.findMember(Each.to());
    if (!Node)
      continue;
    // A node that can't keep up refuses a later message and is sent the rest
    // again: memory here is worth more.
    if (Each.append().entries_size() > 0 &&
        m_Links.unsentBytes(Node->name()) > MostBacklogBytes)
      continue;
    LinkMessage Wrapped;
    Each.set_group(m_Options.m_Kind);
    *Wrapped.mutable_group() = std::move(Each);
    m_Links.send(Node->name(), Wrapped);
  }
}

/// Drops segments that no group needs. A group without traffic writes a
/// snapshot when its old records are all that keeps a segment.
void GroupHost::releaseJournal() {
  const auto Second = m_Journal.secondSegment();
  if (!Second)
    return;
  if (m_IdentitySequence < *Second)
    writeIdentity();
  std::uint64_t Needed = m_IdentitySequence;
  for (auto &[Number, Known] : m_Hosted) {
    const std::uint64_t Oldest = Known.m_Group->oldestNeeded();
    if (Oldest > 0)
      Needed = std::min(Needed, Oldest);
    if (Oldest < *Second &&
        Known.m_Group->oldestNeededAfterSnapshot() >= *Second) {
      Known.m_Group->writeSnapshot();
      m_Changed.insert(Number);
    }
  }
  m_Journal.release(Needed);
}

void GroupHost::armTimer() {
  base::TimePoint Next = m_PlanAt;
  for (const auto &[Number, Known] : m_Hosted)
    Next = std::min(Next, Known.m_Group->nextTimer());
  m_Timer.expires_at(Next);
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      onTimer();
  });
}

void GroupHost::onTimer() {
  const base::TimePoint Now = base::readMonotonic();
  for (auto &[Number, Known] : m_Hosted)
    if (Known.m_Group->nextTimer() <= Now + TimerSlack) {
      Known.m_Group->onTimer(base::readClocks());
      m_Changed.insert(Number);
    }
  if (Now >= m_PlanAt) {
    // Also after a hand-over that failed: the leader takes commands in between.
    m_PlanAt = Now + m_Options.m_PlanInterval;
    std::size_t Led = 0;
    for (auto &[Number, Known] : m_Hosted)
      Led += Known.m_Group->isLeader() ? 1 : 0;
    for (auto &[Number, Known] : m_Hosted)
      if (Known.m_Group->isSettledLeader())
        plan(Number);
    shedLeadership(Led);
    releaseJournal();
  }
  settle();
}

/// Load pattern: machines that restarted first lead most groups. One that leads
/// more than its share hands them over, one at a time.
void GroupHost::shedLeadership(std::size_t Led) {
  std::size_t Nodes = 0;
  for (const fleet::NodeState &Node : m_Nodes.ofKind(m_Options.m_Nodes))
    Nodes += Node.member() == m_Identity || m_Links.isUp(Node.name()) ? 1 : 0;
  const std::size_t Fair =
      (m_GroupCount + Nodes - 1) / std::max<std::size_t>(Nodes, 1);
  if (Led <= Fair + 1)
    return;
  std::vector<std::uint32_t> Own;
  for (const auto &[Number, Known] : m_Hosted)
    if (Known.m_Group->isSettledLeader())
      Own.push_back(Number);
  if (!Own.empty())
    handOver(Own[m_Shed++ % Own.size()]);
}

void GroupHost::plan(std::uint32_t Number) {
  const base::Now Now = base::readClocks();
  Group &Led = groupOf(Number);
  if (m_Retiring.contains(m_Identity)) {
    handOver(Number);
    return;
  }
  const consensus::MembershipPlanInput Input =
      planInput(Number, Now.m_Monotonic);
  Led.setLearners(
      m_Options.m_StandingLearners > 0
          ? consensus::planLearners(Input, m_Options.m_StandingLearners)
          : consensus::planSubstitute(Input));
  const auto Next = consensus::planMembership(Input);
  if (!Next || !Led.changeMembership(*Next, Now))
    return;
  m_Changed.insert(Number);
  std::string Names;
  for (const auto &Each : Next->members())
    Names += (Names.empty() ? "" : ",") + Each.host();
  m_Log.write("membership_proposed", {{"group", groupName(m_Options.m_Kind)},
                                      {"number", Number},
                                      {"members", Names},
                                      {"index", Led.lastIndex()}});
}

consensus::MembershipPlanInput GroupHost::planInput(std::uint32_t Number,
                                                    base::TimePoint Now) const {
  const Group &Led = *find(Number);
  consensus::MembershipPlanInput Input;
  Input.m_Current = Led.membership();
  Input.m_Leader = m_Identity;
  Input.m_TargetMembers = m_Options.m_TargetMembers;
  std::map<std::uint64_t, consensus::MemberCandidate> Ranked;
  for (const fleet::NodeState &Node : m_Nodes.ofKind(m_Options.m_Nodes)) {
    const auto Heard = Led.lastHeard(Node.member());
    const bool Answers = Heard && Now - *Heard < m_Options.m_SilenceLimit;
    const bool Self = Node.member() == m_Identity;
    // Each group prefers other nodes, so that substitutes share the load.
    Ranked[base::stableHash(std::to_string(Number) + '/' + Node.member())] = {
        .m_Identity = Node.member(),
        .m_Host = Node.host(),
        .m_DataCentre = Node.data_centre(),
        .m_Reachable = Self || (Heard ? Answers : m_Links.isUp(Node.name())),
        .m_CaughtUp = Self || Led.isCaughtUp(Node.member()),
        .m_Retiring = m_Retiring.contains(Node.member()) || Node.stopping()};
  }
  for (auto &[Rank, Each] : Ranked)
    Input.m_Candidates.push_back(std::move(Each));
  return Input;
}

void GroupHost::reportRole(std::uint32_t Number) {
  Hosted &Known = m_Hosted.at(Number);
  const std::string Leader = leaderNode(Number);
  if (Known.m_Group->role() == Known.m_ReportedRole &&
      Leader == Known.m_ReportedLeader)
    return;
  Known.m_ReportedRole = Known.m_Group->role();
  Known.m_ReportedLeader = Leader;
  m_Log.write("group_role",
              {{"group", groupName(m_Options.m_Kind)},
               {"number", Number},
               {"role", consensus::roleName(Known.m_ReportedRole)},
               {"leader", Leader},
               {"term", Known.m_Group->term()},
               {"committed", Known.m_Group->commitIndex()}});
}

} // namespace psp::link
