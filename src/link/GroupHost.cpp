#include "link/GroupHost.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace psp::link {

using consensus::Group;

namespace {

/// Nodes beyond the members that receive the log, so that one can take a
/// lost member's place at once.
constexpr std::size_t LearnersKept = 2;
/// Entries applied at once that are worth a line in the log: a member that has
/// restarted, during which it answers nobody.
constexpr std::uint64_t LongReplay = 500;

std::string_view groupName(messages::fleet::GroupKind Kind) {
  return Kind == messages::fleet::GROUP_CONTROL ? "control" : "history";
}

} // namespace

GroupHost::GroupHost(boost::asio::io_context &Io, GroupHostOptions Options,
                     consensus::StateMachine &Machine, Hub &Links,
                     fleet::NodeDirectory &Nodes, logging::EventLog &Log,
                     Handlers Handle)
    : m_Io(Io), m_Timer(Io), m_Options(std::move(Options)), m_Links(Links),
      m_Nodes(Nodes), m_Log(Log), m_Handle(std::move(Handle)),
      m_Group(m_Options.m_Group, m_Sink, Machine),
      m_Journal({.m_Folder = m_Options.m_Folder},
                [this](std::string_view Record) { m_Group.restore(Record); }) {
  m_Sink.m_Target = &m_Journal;
}

void GroupHost::start() {
  m_Group.start(m_Options.m_FreshIdentity, base::readClocks());
  m_Log.write("group_started", {{"group", groupName(m_Options.m_Kind)},
                                {"identity", m_Group.identity()},
                                {"term", m_Group.term()},
                                {"last_index", m_Group.lastIndex()}});
  settle();
}

void GroupHost::found(const messages::fleet::GroupMembership &Founders) {
  m_Group.found(Founders, base::readClocks());
  settle();
}

void GroupHost::onMessage(const Group::Message &Received) {
  const std::uint64_t Before = m_Group.commitIndex();
  const base::Now Start = base::readClocks();
  m_Group.onMessage(Received, Start);
  const std::uint64_t Applied = m_Group.commitIndex() - Before;
  if (Applied >= LongReplay)
    m_Log.write("group_replayed",
                {{"group", groupName(m_Options.m_Kind)},
                 {"entries", Applied},
                 {"took_us",
                  static_cast<std::uint64_t>(
                      (base::readMonotonic() - Start.m_Monotonic).count())}});
  settleSoon();
}

std::optional<std::uint64_t> GroupHost::propose(const std::string &Command) {
  const auto Index = m_Group.propose(Command, base::readClocks());
  settleSoon();
  return Index;
}

std::optional<std::uint64_t> GroupHost::beginRead() {
  const auto Ticket = m_Group.beginRead(base::readClocks());
  settleSoon();
  return Ticket;
}

void GroupHost::handOver() {
  m_Group.handOver(base::readClocks());
  settle();
}

void GroupHost::setRetiring(std::set<std::string> NodeNames) {
  m_Retiring = std::move(NodeNames);
}

std::string GroupHost::leaderNode() const {
  const fleet::NodeState *Node = m_Nodes.findMember(m_Group.leader());
  return Node && !m_Group.leader().empty() ? Node->name() : std::string();
}

bool GroupHost::isMemberNode(const std::string &Node) const {
  const fleet::NodeState *Known = m_Nodes.find(Node);
  return Known && std::ranges::any_of(m_Group.membership().members(),
                                      [&](const auto &Each) {
                                        return Each.id() == Known->member();
                                      });
}

/// Settles after whatever else is ready to be handled, so that one sync and one
/// message serve all of it. Load pattern: a burst, in which a sync for each
/// command would take longer than the commands come.
void GroupHost::settleSoon() {
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
  bool Busy = true;
  while (Busy) {
    for (Group::Message &Each : m_Group.takeEarly(base::readClocks()))
      send(std::move(Each));
    if (auto Checkpoint = m_Group.takeCheckpoint()) {
      m_Journal.sync();
      m_Journal.writeSnapshot(Checkpoint->m_Record, Checkpoint->m_Covered);
    }
    m_Journal.sync();
    m_Group.onSynced(base::readClocks());
    auto Messages = m_Group.takeMessages();
    for (Group::Message &Each : Messages)
      send(std::move(Each));
    const std::uint64_t Before = m_Group.lastIndex();
    m_Handle.m_OnProgress();
    auto Early = m_Group.takeEarly(base::readClocks());
    Busy = !Early.empty() || m_Group.lastIndex() != Before;
    for (Group::Message &Each : Early)
      send(std::move(Each));
  }
  m_Settling = false;
  reportRole();
  armTimer();
}

void GroupHost::send(Group::Message Message) {
  const fleet::NodeState *Node = m_Nodes.findMember(Message.to());
  if (!Node)
    return;
  LinkMessage Wrapped;
  Message.set_group(m_Options.m_Kind);
  *Wrapped.mutable_group() = std::move(Message);
  m_Links.send(Node->name(), Wrapped);
}

void GroupHost::armTimer() {
  m_Timer.expires_at(m_Group.nextTimer());
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    m_Group.onTimer(base::readClocks());
    plan();
    settle();
  });
}

void GroupHost::plan() {
  const base::Now Now = base::readClocks();
  if (!m_Group.isSettledLeader() || Now.m_Monotonic < m_PlanAt)
    return;
  // Also after a hand-over that failed: the leader takes commands in between.
  m_PlanAt = Now.m_Monotonic + m_Options.m_PlanInterval;
  if (leaderIsRetiring() || m_Group.wantsHandOver()) {
    m_Group.handOver(Now);
    return;
  }
  const consensus::MembershipPlanInput Input = planInput(Now.m_Monotonic);
  m_Group.setLearners(consensus::planLearners(Input, LearnersKept));
  const auto Next = consensus::planMembership(Input);
  if (!Next || !m_Group.changeMembership(*Next, Now))
    return;
  std::string Names;
  for (const auto &Each : Next->members())
    Names += (Names.empty() ? "" : ",") + Each.host();
  m_Log.write("membership_proposed", {{"group", groupName(m_Options.m_Kind)},
                                      {"members", Names},
                                      {"index", m_Group.lastIndex()}});
}

bool GroupHost::leaderIsRetiring() const {
  const fleet::NodeState *Self = m_Nodes.findMember(m_Group.identity());
  return Self && m_Retiring.contains(Self->name());
}

consensus::MembershipPlanInput GroupHost::planInput(base::TimePoint Now) const {
  consensus::MembershipPlanInput Input;
  Input.m_Current = m_Group.membership();
  Input.m_Leader = m_Group.identity();
  Input.m_TargetMembers = m_Options.m_TargetMembers;
  for (const fleet::NodeState &Node : m_Nodes.ofKind(m_Options.m_Nodes)) {
    const auto Heard = m_Group.lastHeard(Node.member());
    const bool Answers = Heard && Now - *Heard < m_Options.m_SilenceLimit;
    const bool Linked = m_Links.isUp(Node.name());
    const bool Self = Node.member() == m_Group.identity();
    Input.m_Candidates.push_back(
        {.m_Identity = Node.member(),
         .m_Host = Node.host(),
         .m_DataCentre = Node.data_centre(),
         .m_Reachable =
             Self || (m_Group.lastHeard(Node.member()) ? Answers : Linked),
         .m_CaughtUp = Self || m_Group.isCaughtUp(Node.member()),
         .m_Retiring = m_Retiring.contains(Node.name()) || Node.stopping()});
  }
  return Input;
}

void GroupHost::reportRole() {
  const std::string Leader = leaderNode();
  if (m_Group.role() == m_ReportedRole && Leader == m_ReportedLeader)
    return;
  m_ReportedRole = m_Group.role();
  m_ReportedLeader = Leader;
  m_Log.write("group_role", {{"group", groupName(m_Options.m_Kind)},
                             {"role", consensus::roleName(m_ReportedRole)},
                             {"leader", Leader},
                             {"term", m_Group.term()},
                             {"committed", m_Group.commitIndex()}});
}

} // namespace psp::link
