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

/// Applying this many entries at once is logged. It occurs after a restart, and
/// the member answers no requests meanwhile.
constexpr std::uint64_t LongReplayEntries = 500;
/// Timers that expire this soon are handled together with an expired one.
constexpr base::Duration TimerSlack = base::milliseconds(3);

/// Messages with entries are dropped while more than this many bytes for their
/// node are unsent.
constexpr std::size_t MaxBacklogBytes = 1U << 20U;

std::string_view groupName(messages::fleet::GroupKind Kind) {
  return Kind == messages::fleet::GROUP_CONTROL ? "control" : "history";
}

} // namespace

GroupHost::GroupHost(boost::asio::io_context &Io, GroupHostOptions Options,
                     LinkManager &Links, fleet::NodeDirectory &Nodes,
                     logging::EventLog &Log, Handlers Handle)
    : m_Io(Io), m_Timer(Io), m_Options(std::move(Options)), m_Links(Links),
      m_Nodes(Nodes), m_Log(Log), m_Handle(std::move(Handle)),
      m_Journal({.m_Folder = m_Options.m_Folder,
                 .m_SegmentBytes = m_Options.m_SegmentBytes,
                 .m_IndexesRecords = true},
                [this](std::uint64_t Sequence, std::string_view Record) {
                  restore(Sequence, Record);
                }) {
  m_Store.m_Target = &m_Journal;
}

void GroupHost::restore(std::uint64_t Sequence, std::string_view Record) {
  auto Content = messages::parseMessage<consensus::GroupLog::Record>(
      Record, "group journal");
  if (!Content.identity().empty()) {
    m_Identity = Content.identity();
    m_IdentitySequence = Sequence;
    return;
  }
  const std::uint32_t Number = Content.number();
  openGroup(Number).m_Group->restore(Sequence, std::move(Content));
}

GroupHost::HostedGroup &GroupHost::openGroup(std::uint32_t Number) {
  const auto [It, IsNew] = m_Groups.try_emplace(Number);
  if (IsNew) {
    consensus::GroupOptions Options = m_Options.m_Group;
    Options.m_Number = Number;
    Options.m_Seed += Number;
    It->second.m_Group = std::make_unique<Group>(
        Options, m_Store, m_Handle.m_MakeStateMachine(Number));
  }
  return It->second;
}

void GroupHost::start() {
  const base::Now Start = base::readClocks();
  if (m_Identity.empty()) {
    m_Identity = m_Options.m_NewDiskIdentity;
    writeIdentity();
  }
  if (m_Options.m_InitialGroup)
    openGroup(*m_Options.m_InitialGroup);
  std::uint64_t Entries = 0;
  for (auto &[Number, Hosted] : m_Groups) {
    Hosted.m_Group->start(m_Identity, base::readClocks());
    Entries += Hosted.m_Group->lastIndex();
    m_ChangedGroups.insert(Number);
  }
  m_Log.write("groups_started",
              {{"group", groupName(m_Options.m_Kind)},
               {"identity", m_Identity},
               {"hosted", m_Groups.size()},
               {"entries", Entries},
               {"disk_bytes", m_Journal.diskBytes()},
               {"applied_us",
                static_cast<std::uint64_t>(
                    (base::readMonotonic() - Start.m_Monotonic).count())}});
  flushChanges();
}

void GroupHost::writeIdentity() {
  consensus::GroupLog::Record Content;
  Content.set_identity(m_Identity);
  m_IdentitySequence = m_Journal.append(Content.SerializeAsString());
  m_Journal.sync();
}

Group &GroupHost::groupOf(std::uint32_t Number) {
  const bool IsNew = !m_Groups.contains(Number);
  HostedGroup &Hosted = openGroup(Number);
  if (IsNew)
    Hosted.m_Group->start(m_Identity, base::readClocks());
  return *Hosted.m_Group;
}

void GroupHost::bootstrap(
    std::uint32_t Number,
    const messages::fleet::GroupMembership &InitialMembers) {
  groupOf(Number).bootstrap(InitialMembers, base::readClocks());
  markChanged(Number);
}

void GroupHost::onMessage(const Group::Message &Received) {
  if (Received.to() != m_Identity)
    return;
  Group &Target = groupOf(Received.number());
  const std::uint64_t Before = Target.commitIndex();
  const base::Now Start = base::readClocks();
  Target.onMessage(Received, Start);
  const std::uint64_t Applied = Target.commitIndex() - Before;
  if (Applied >= LongReplayEntries)
    m_Log.write("group_replayed",
                {{"group", groupName(m_Options.m_Kind)},
                 {"number", Received.number()},
                 {"entries", Applied},
                 {"took_us",
                  static_cast<std::uint64_t>(
                      (base::readMonotonic() - Start.m_Monotonic).count())}});
  markChanged(Received.number());
}

std::optional<std::uint64_t> GroupHost::propose(std::uint32_t Number,
                                                const std::string &Command) {
  const auto It = m_Groups.find(Number);
  if (It == m_Groups.end())
    return std::nullopt;
  // No other member would take the entry, nor any that follows it.
  if (Command.size() > MaxCommandBytes) {
    m_Log.write("command_too_long",
                {{"group", groupName(m_Options.m_Kind)},
                 {"number", Number},
                 {"bytes", static_cast<std::uint64_t>(Command.size())}});
    return std::nullopt;
  }
  const auto Index = It->second.m_Group->propose(Command, base::readClocks());
  markChanged(Number);
  return Index;
}

std::optional<std::uint64_t> GroupHost::beginRead(std::uint32_t Number) {
  const auto It = m_Groups.find(Number);
  if (It == m_Groups.end())
    return std::nullopt;
  const auto Ticket = It->second.m_Group->beginRead(base::readClocks());
  markChanged(Number);
  return Ticket;
}

std::vector<std::uint64_t> GroupHost::takeReadyReads(std::uint32_t Number) {
  return groupOf(Number).takeReadyReads();
}

void GroupHost::transferLeadership() {
  for (const std::uint32_t Number : hostedGroups())
    transferLeadership(Number);
  flushChanges();
}

void GroupHost::transferLeadership(std::uint32_t Number) {
  groupOf(Number).transferLeadership(base::readClocks());
  markChanged(Number);
}

void GroupHost::leave(std::uint32_t Number) {
  groupOf(Number).leave(base::readMonotonic());
  markChanged(Number);
}

void GroupHost::setRetiringMembers(std::set<std::string> Members) {
  m_Retiring = std::move(Members);
}

const Group *GroupHost::find(std::uint32_t Number) const {
  const auto It = m_Groups.find(Number);
  return It == m_Groups.end() ? nullptr : It->second.m_Group.get();
}

std::vector<std::uint32_t> GroupHost::hostedGroups() const {
  std::vector<std::uint32_t> Numbers;
  for (const auto &[Number, Hosted] : m_Groups)
    Numbers.push_back(Number);
  return Numbers;
}

std::string GroupHost::leaderNode(std::uint32_t Number) const {
  const Group *Replica = find(Number);
  if (!Replica || Replica->leader().empty())
    return {};
  const fleet::NodeState *Node = m_Nodes.findMember(Replica->leader());
  return Node ? Node->name() : std::string();
}

/// The flush is posted after the handlers that are already queued, so that one
/// sync and one write per link cover all of their changes. In a burst, a sync
/// per command would take longer than the interval between the commands.
void GroupHost::markChanged(std::uint32_t Number) {
  m_ChangedGroups.insert(Number);
  if (std::exchange(m_FlushQueued, true))
    return;
  boost::asio::post(m_Io, [this] {
    m_FlushQueued = false;
    flushChanges();
  });
}

/// Sends the messages that need no sync, syncs all appended records at once and
/// sends the other messages. Handlers may propose more commands, so this
/// repeats until no group has changes.
void GroupHost::flushChanges() {
  if (std::exchange(m_Flushing, true))
    return;
  while (!m_ChangedGroups.empty()) {
    const std::set<std::uint32_t> Flushed = std::exchange(m_ChangedGroups, {});
    const base::Now Start = base::readClocks();
    for (const std::uint32_t Number : Flushed)
      sendAll(groupOf(Number).takeImmediateMessages(Start));
    m_Journal.sync();
    const base::Now Synced = base::readClocks();
    for (const std::uint32_t Number : Flushed) {
      Group &Replica = groupOf(Number);
      Replica.onSynced(Synced);
      sendAll(Replica.takeMessages());
      const std::uint64_t Before = Replica.lastIndex();
      m_Handle.m_OnProgress(Number);
      auto Immediate = Replica.takeImmediateMessages(Synced);
      if (!Immediate.empty() || Replica.lastIndex() != Before)
        m_ChangedGroups.insert(Number);
      sendAll(std::move(Immediate));
      reportRole(Number);
    }
  }
  m_Flushing = false;
  armTimer();
}

void GroupHost::sendAll(std::vector<Group::Message> Messages) {
  for (Group::Message &Message : Messages) {
    const fleet::NodeState *Node = m_Nodes.findMember(Message.to());
    if (!Node)
      continue;
    // Drops entries for a node that can't keep up, to bound the memory used
    // here. The node rejects a later message, after which the entries are sent
    // again.
    if (Message.append().entries_size() > 0 &&
        m_Links.unsentBytes(Node->name()) > MaxBacklogBytes)
      continue;
    LinkMessage Envelope;
    Message.set_group(m_Options.m_Kind);
    *Envelope.mutable_group() = std::move(Message);
    m_Links.send(Node->name(), Envelope);
  }
}

/// Drops segments that no group needs. A group that still needs a record of the
/// oldest segment writes a snapshot if it won't need that segment afterwards;
/// otherwise a group without traffic would retain it.
void GroupHost::releaseJournal() {
  const auto Second = m_Journal.secondSegmentStart();
  if (!Second)
    return;
  if (m_IdentitySequence < *Second)
    writeIdentity();
  std::uint64_t Needed = m_IdentitySequence;
  for (auto &[Number, Hosted] : m_Groups) {
    const std::uint64_t Oldest = Hosted.m_Group->oldestNeededRecord();
    if (Oldest > 0)
      Needed = std::min(Needed, Oldest);
    if (Oldest < *Second &&
        Hosted.m_Group->oldestNeededRecordAfterSnapshot() >= *Second) {
      Hosted.m_Group->writeSnapshot();
      m_ChangedGroups.insert(Number);
    }
  }
  m_Journal.release(Needed);
}

void GroupHost::armTimer() {
  base::TimePoint Next = m_MembershipCheckAt;
  for (const auto &[Number, Hosted] : m_Groups)
    Next = std::min(Next, Hosted.m_Group->nextTimer());
  // Each heartbeat moves an election to later. A timer that expires too early
  // costs less than one that is set anew with each message.
  if (m_ArmedFor && *m_ArmedFor <= Next)
    return;
  m_ArmedFor = Next;
  m_Timer.expires_at(Next);
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    m_ArmedFor.reset();
    onTimer();
  });
}

void GroupHost::onTimer() {
  const base::TimePoint Now = base::readMonotonic();
  for (auto &[Number, Hosted] : m_Groups)
    if (Hosted.m_Group->nextTimer() <= Now + TimerSlack) {
      Hosted.m_Group->onTimer(base::readClocks());
      m_ChangedGroups.insert(Number);
    }
  if (Now >= m_MembershipCheckAt) {
    // A leadership transfer that failed is repeated at the next check; until
    // then the leader accepts commands.
    m_MembershipCheckAt = Now + m_Options.m_MembershipCheckInterval;
    std::size_t LedCount = 0;
    for (auto &[Number, Hosted] : m_Groups)
      LedCount += Hosted.m_Group->isLeader() ? 1 : 0;
    for (auto &[Number, Hosted] : m_Groups)
      if (Hosted.m_Group->isEstablishedLeader())
        updateMembership(Number);
    balanceLeadership(LedCount);
    releaseJournal();
  }
  flushChanges();
}

/// After a restart of the deployment, the nodes that started first lead most
/// groups. A node that leads more than its share transfers the leadership of
/// one group at a time.
void GroupHost::balanceLeadership(std::size_t LedCount) {
  std::size_t ReachableNodes = 0;
  for (const fleet::NodeState &Node : m_Nodes.ofKind(m_Options.m_NodeKind))
    ReachableNodes +=
        Node.member() == m_Identity || m_Links.isConnected(Node.name()) ? 1 : 0;
  const std::size_t FairShare = (m_GroupCount + ReachableNodes - 1) /
                                std::max<std::size_t>(ReachableNodes, 1);
  if (LedCount <= FairShare + 1)
    return;
  std::vector<std::uint32_t> LedGroups;
  for (const auto &[Number, Hosted] : m_Groups)
    if (Hosted.m_Group->isEstablishedLeader())
      LedGroups.push_back(Number);
  if (!LedGroups.empty())
    transferLeadership(LedGroups[m_TransferCount++ % LedGroups.size()]);
}

void GroupHost::updateMembership(std::uint32_t Number) {
  const base::Now Now = base::readClocks();
  Group &Replica = groupOf(Number);
  if (m_Retiring.contains(m_Identity)) {
    transferLeadership(Number);
    return;
  }
  const consensus::MembershipPlanInput Input =
      makePlanInput(Number, Now.m_Monotonic);
  Replica.setLearners(
      m_Options.m_MaxPermanentLearners > 0
          ? consensus::planLearners(Input, m_Options.m_MaxPermanentLearners)
          : consensus::planReplacementLearner(Input));
  const auto Next = consensus::planMembership(Input);
  if (!Next || !Replica.changeMembership(*Next, Now))
    return;
  m_ChangedGroups.insert(Number);
  std::string Hosts;
  for (const auto &Member : Next->members())
    Hosts += (Hosts.empty() ? "" : ",") + Member.host();
  m_Log.write("membership_proposed", {{"group", groupName(m_Options.m_Kind)},
                                      {"number", Number},
                                      {"members", Hosts},
                                      {"index", Replica.lastIndex()}});
}

consensus::MembershipPlanInput
GroupHost::makePlanInput(std::uint32_t Number, base::TimePoint Now) const {
  const Group &Replica = *find(Number);
  consensus::MembershipPlanInput Input;
  Input.m_Current = Replica.membership();
  Input.m_Leader = m_Identity;
  Input.m_TargetMembers = m_Options.m_TargetMembers;
  std::map<std::uint64_t, consensus::MemberCandidate> Ranked;
  for (const fleet::NodeState &Node : m_Nodes.ofKind(m_Options.m_NodeKind)) {
    const auto LastReceived = Replica.lastReceivedAt(Node.member());
    const bool RepliesInTime =
        LastReceived && Now - *LastReceived < m_Options.m_InactivityTimeout;
    const bool IsSelf = Node.member() == m_Identity;
    // The order of the candidates differs between groups, so that replacements
    // are spread over the nodes.
    Ranked[base::stableHash(std::to_string(Number) + '/' + Node.member())] = {
        .m_Identity = Node.member(),
        .m_Host = Node.host(),
        .m_DataCentre = Node.data_centre(),
        .m_Reachable =
            IsSelf ||
            (LastReceived ? RepliesInTime : m_Links.isConnected(Node.name())),
        .m_CaughtUp = IsSelf || Replica.isCaughtUp(Node.member()),
        .m_Retiring = m_Retiring.contains(Node.member()) || Node.stopping()};
  }
  for (auto &[Rank, Candidate] : Ranked)
    Input.m_Candidates.push_back(std::move(Candidate));
  return Input;
}

void GroupHost::reportRole(std::uint32_t Number) {
  HostedGroup &Hosted = m_Groups.at(Number);
  const std::string Leader = leaderNode(Number);
  if (Hosted.m_Group->role() == Hosted.m_ReportedRole &&
      Leader == Hosted.m_ReportedLeader)
    return;
  Hosted.m_ReportedRole = Hosted.m_Group->role();
  Hosted.m_ReportedLeader = Leader;
  m_Log.write("group_role",
              {{"group", groupName(m_Options.m_Kind)},
               {"number", Number},
               {"role", consensus::roleName(Hosted.m_ReportedRole)},
               {"leader", Leader},
               {"term", Hosted.m_Group->term()},
               {"committed", Hosted.m_Group->commitIndex()}});
}

} // namespace psp::link
