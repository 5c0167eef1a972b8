#include "support/GroupSimulation.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
#include <sstream>

namespace psp::testsupport {

namespace {

constexpr base::Duration TimeStep = base::milliseconds(5);
constexpr base::Duration MaxDelay = base::milliseconds(12);
constexpr base::Duration InactivityTimeout = base::milliseconds(1800);

std::string hostOf(std::size_t Node) { return "host" + std::to_string(Node); }

} // namespace

std::string SimulatedDisk::read(std::uint64_t Sequence) const {
  if (Sequence >= m_Next)
    return m_Pending.at(Sequence - m_Next);
  const auto It = std::ranges::lower_bound(
      m_Synced, Sequence, {}, [](const auto &Record) { return Record.first; });
  base::checkInvariant(It != m_Synced.end() && It->first == Sequence,
                       "simulated disk: read of a released record");
  return It->second;
}

void SimulatedDisk::release(std::uint64_t Sequence) {
  constexpr std::uint64_t SegmentRecords = 200;
  const std::uint64_t From = Sequence / SegmentRecords * SegmentRecords;
  std::erase_if(m_Synced,
                [&](const auto &Record) { return Record.first < From; });
}

void CommandList::apply(std::uint64_t Index, std::string_view Command,
                        std::uint64_t) {
  m_Commands.emplace_back(Command);
  m_Entries.push_back(Index);
  if (m_Entries.size() > ReferredEntries)
    m_Entries.pop_front();
}

std::string CommandList::snapshot() const {
  std::string Text;
  for (const std::uint64_t Index : m_Entries)
    Text += std::to_string(Index) + ' ';
  Text += '\n';
  for (const std::string &Command : m_Commands)
    Text += Command + '\n';
  return Text;
}

void CommandList::restore(std::string_view Snapshot) {
  m_Commands.clear();
  m_Entries.clear();
  std::istringstream In{std::string(Snapshot)};
  std::string Line;
  std::getline(In, Line);
  std::istringstream Numbers{Line};
  for (std::uint64_t Index = 0; Numbers >> Index;)
    m_Entries.push_back(Index);
  while (std::getline(In, Line))
    m_Commands.push_back(Line);
}

std::optional<std::uint64_t> CommandList::oldestEntry() const {
  return m_Entries.empty() ? std::nullopt : std::optional(m_Entries.front());
}

GroupSimulation::GroupSimulation(GroupSimulationOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed), m_Nodes(Options.m_Nodes) {
  messages::fleet::GroupMembership InitialMembers;
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    m_Nodes[Index].m_Disk = makeDisk();
    startNode(Index);
    if (Index < Options.m_InitialMembers) {
      auto &Member = *InitialMembers.add_members();
      Member.set_id(m_Nodes[Index].m_Identity);
      Member.set_host(hostOf(Index));
    }
  }
  for (std::size_t Index = 0; Index < Options.m_InitialMembers; ++Index) {
    m_Nodes[Index].m_Group->bootstrap(InitialMembers, now());
    syncAndSend(Index);
  }
}

base::Now GroupSimulation::now() const {
  return {.m_Monotonic = m_Time,
          .m_Wall =
              static_cast<base::WallTime>(m_Time.time_since_epoch().count())};
}

std::unique_ptr<SimulatedDisk> GroupSimulation::makeDisk() {
  return std::make_unique<SimulatedDisk>("disk" + std::to_string(++m_Disks));
}

void GroupSimulation::startNode(std::size_t Index) {
  Node &Started = m_Nodes[Index];
  Started.m_Machine = std::make_unique<CommandList>();
  Started.m_Group = std::make_unique<consensus::Group>(
      consensus::GroupOptions{
          .m_MaxCachedBytes = m_Options.m_SnapshotThresholdBytes / 2,
          .m_SnapshotThresholdBytes = m_Options.m_SnapshotThresholdBytes,
          .m_Seed = m_Random()},
      *Started.m_Disk, *Started.m_Machine);
  for (const auto &[Sequence, Record] : Started.m_Disk->records())
    Started.m_Group->restore(
        Sequence, messages::parseMessage<consensus::GroupLog::Record>(
                      Record, "simulated disk"));
  Started.m_Identity = Started.m_Disk->identity();
  Started.m_Group->start(Started.m_Identity, now());
  Started.m_Frozen = false;
  Started.m_Proposed.clear();
  syncAndSend(Index);
}

void GroupSimulation::pass(base::Duration Length) {
  const base::TimePoint Until = m_Time + Length;
  while (m_Time < Until) {
    m_Time += TimeStep;
    deliver();
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      Node &Current = m_Nodes[Index];
      if (!Current.m_Group || Current.m_Frozen ||
          Current.m_Group->nextTimer() > m_Time)
        continue;
      Current.m_Group->onTimer(now());
      updateMembership(Index);
      syncAndSend(Index);
    }
  }
}

void GroupSimulation::crash(std::size_t Index) {
  m_Nodes[Index].m_Group.reset();
  m_Nodes[Index].m_Disk->losePower();
}

void GroupSimulation::wipe(std::size_t Index) {
  crash(Index);
  m_Nodes[Index].m_Disk = makeDisk();
}

void GroupSimulation::restart(std::size_t Index) { startNode(Index); }

void GroupSimulation::freeze(std::size_t Index, bool Frozen) {
  m_Nodes[Index].m_Frozen = Frozen;
}

void GroupSimulation::partition(std::size_t Left, std::size_t Right,
                                bool IsPartitioned) {
  for (const auto &Pair : {std::pair(Left, Right), std::pair(Right, Left)}) {
    if (IsPartitioned)
      m_Partitions.insert(Pair);
    else
      m_Partitions.erase(Pair);
  }
}

void GroupSimulation::healAll() {
  m_Partitions.clear();
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    m_Nodes[Index].m_Frozen = false;
    if (!m_Nodes[Index].m_Group)
      restart(Index);
  }
}

std::optional<std::size_t> GroupSimulation::leader() const {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const auto &Group = m_Nodes[Index].m_Group;
    if (Group && !m_Nodes[Index].m_Frozen && Group->isEstablishedLeader() &&
        (!Best || Group->term() > m_Nodes[*Best].m_Group->term()))
      Best = Index;
  }
  return Best;
}

bool GroupSimulation::submit(const std::string &Command) {
  const auto LeaderIndex = leader();
  if (!LeaderIndex)
    return false;
  Node &Leader = m_Nodes[*LeaderIndex];
  if (Leader.m_ProposedTerm != Leader.m_Group->term())
    Leader.m_Proposed.clear();
  Leader.m_ProposedTerm = Leader.m_Group->term();
  const auto Index = Leader.m_Group->propose(Command, now());
  if (!Index)
    return false;
  Leader.m_Proposed[*Index] = Command;
  syncAndSend(*LeaderIndex);
  return true;
}

void GroupSimulation::transferLeadership() {
  const std::size_t LeaderIndex = leader().value();
  m_Nodes[LeaderIndex].m_Group->transferLeadership(now());
  syncAndSend(LeaderIndex);
}

std::size_t GroupSimulation::memberCount() const {
  const auto LeaderIndex = leader();
  return LeaderIndex
             ? static_cast<std::size_t>(
                   m_Nodes[*LeaderIndex].m_Group->membership().members_size())
             : 0;
}

void GroupSimulation::syncAndSend(std::size_t Index) {
  Node &Sender = m_Nodes[Index];
  consensus::Group &Group = *Sender.m_Group;
  send(Index, Group.takeImmediateMessages(now()));
  Sender.m_Disk->sync();
  Group.onSynced(now());
  send(Index, Group.takeMessages());
  send(Index, Group.takeImmediateMessages(now()));
  if (Group.oldestNeededRecord() > 0)
    Sender.m_Disk->release(Group.oldestNeededRecord());
  if (!Group.isLeader() || Group.term() != Sender.m_ProposedTerm)
    return;
  std::erase_if(Sender.m_Proposed, [&](const auto &Proposal) {
    if (Proposal.first > Group.commitIndex())
      return false;
    m_Acknowledged.insert(Proposal.second);
    return true;
  });
}

void GroupSimulation::send(
    std::size_t From, const std::vector<consensus::Group::Message> &Messages) {
  std::uniform_real_distribution<double> Draw(0, 1);
  for (const consensus::Group::Message &Message : Messages) {
    m_EntriesSent +=
        static_cast<std::uint64_t>(Message.append().entries_size());
    for (std::size_t To = 0; To < m_Nodes.size(); ++To) {
      if (m_Nodes[To].m_Identity != Message.to() ||
          Draw(m_Random) < m_Options.m_LossProbability)
        continue;
      const auto Delay =
          m_Options.m_KeepsMessageOrder
              ? MaxDelay
              : base::Duration(static_cast<std::int64_t>(
                    Draw(m_Random) * static_cast<double>(MaxDelay.count())));
      m_InFlight.push_back({.m_At = m_Time + Delay,
                            .m_From = From,
                            .m_To = To,
                            .m_Message = Message});
    }
  }
}

void GroupSimulation::deliver() {
  std::vector<InFlightMessage> Due;
  std::erase_if(m_InFlight, [&](InFlightMessage &Message) {
    if (Message.m_At > m_Time || m_Nodes[Message.m_To].m_Frozen)
      return false;
    Due.push_back(std::move(Message));
    return true;
  });
  if (!m_Options.m_KeepsMessageOrder)
    std::ranges::shuffle(Due, m_Random);
  for (const InFlightMessage &Message : Due) {
    if (!isRunning(Message.m_To) ||
        m_Partitions.contains({Message.m_From, Message.m_To}))
      continue;
    m_Nodes[Message.m_To].m_Group->onMessage(Message.m_Message, now());
    syncAndSend(Message.m_To);
  }
}

/// Changes the membership and the learners as the leader's process does.
void GroupSimulation::updateMembership(std::size_t Index) {
  consensus::Group &Group = *m_Nodes[Index].m_Group;
  if (!Group.isEstablishedLeader())
    return;
  consensus::MembershipPlanInput Input;
  Input.m_Current = Group.membership();
  Input.m_Leader = Group.identity();
  Input.m_TargetMembers = m_Options.m_TargetMembers;
  for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other) {
    const Node &OtherNode = m_Nodes[Other];
    const auto LastReceived = Group.lastReceivedAt(OtherNode.m_Identity);
    const bool Connected = OtherNode.m_Group && !OtherNode.m_Frozen &&
                           !m_Partitions.contains({Index, Other});
    const bool RepliesInTime =
        LastReceived ? m_Time - *LastReceived < InactivityTimeout : Connected;
    Input.m_Candidates.push_back(
        {.m_Identity = OtherNode.m_Identity,
         .m_Host = hostOf(Other),
         .m_DataCentre = "dc" + std::to_string(Other % 3),
         .m_Reachable = Other == Index || RepliesInTime,
         .m_CaughtUp =
             Other == Index || Group.isCaughtUp(OtherNode.m_Identity)});
  }
  Group.setLearners(m_Options.m_PermanentLearners
                        ? consensus::planLearners(Input, 2)
                        : consensus::planReplacementLearner(Input));
  if (const auto Next = consensus::planMembership(Input))
    Group.changeMembership(*Next, now());
}

std::optional<std::string>
GroupSimulation::findUnreadable(std::size_t Index) const {
  const Node &Checked = m_Nodes[Index];
  const CommandList &State = *Checked.m_Machine;
  for (std::size_t Position = 0; Position < State.m_Entries.size();
       ++Position) {
    const std::string &Applied =
        State.m_Commands[State.m_Commands.size() - State.m_Entries.size() +
                         Position];
    if (Checked.m_Group->commandAt(State.m_Entries[Position]) != Applied)
      return Applied;
  }
  return std::nullopt;
}

void GroupSimulation::leaveIfRemoved(std::size_t Index) {
  const auto LeaderIndex = leader();
  Node &Left = m_Nodes[Index];
  if (!LeaderIndex || !Left.m_Group || *LeaderIndex == Index)
    return;
  for (const auto &Member :
       m_Nodes[*LeaderIndex].m_Group->committedMembership().members())
    if (Member.id() == Left.m_Identity)
      return;
  Left.m_Group->leave(m_Time);
  syncAndSend(Index);
}

std::optional<std::string> GroupSimulation::findDivergence() const {
  for (std::size_t Left = 0; Left < m_Nodes.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < m_Nodes.size(); ++Right) {
      const auto &LeftCommands = applied(Left);
      const auto &RightCommands = applied(Right);
      const std::size_t Common =
          std::min(LeftCommands.size(), RightCommands.size());
      const auto Mismatch = std::ranges::mismatch(
          LeftCommands.begin(),
          LeftCommands.begin() + static_cast<std::ptrdiff_t>(Common),
          RightCommands.begin(),
          RightCommands.begin() + static_cast<std::ptrdiff_t>(Common));
      if (Mismatch.in1 !=
          LeftCommands.begin() + static_cast<std::ptrdiff_t>(Common))
        return "nodes " + std::to_string(Left) + " and " +
               std::to_string(Right) + " differ at " +
               std::to_string(Mismatch.in1 - LeftCommands.begin());
    }
  return std::nullopt;
}

} // namespace psp::testsupport
