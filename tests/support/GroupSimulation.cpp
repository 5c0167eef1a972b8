#include "support/GroupSimulation.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
#include <sstream>

namespace psp::testsupport {

namespace {

constexpr base::Duration Step = base::milliseconds(5);
constexpr base::Duration LongestDelay = base::milliseconds(12);
constexpr base::Duration SilenceLimit = base::milliseconds(1800);

std::string hostOf(std::size_t Node) { return "host" + std::to_string(Node); }

} // namespace

std::string SimulatedDisk::read(std::uint64_t Sequence) const {
  if (Sequence >= m_Next)
    return m_Pending.at(Sequence - m_Next);
  const auto Found = std::ranges::lower_bound(
      m_Synced, Sequence, {}, [](const auto &Each) { return Each.first; });
  base::checkInvariant(Found != m_Synced.end() && Found->first == Sequence,
                       "simulated disk: read of a released record");
  return Found->second;
}

void SimulatedDisk::release(std::uint64_t Sequence) {
  constexpr std::uint64_t SegmentRecords = 200;
  const std::uint64_t From = Sequence / SegmentRecords * SegmentRecords;
  std::erase_if(m_Synced, [&](const auto &Each) { return Each.first < From; });
}

void CommandList::apply(std::uint64_t Index, std::string_view Command,
                        std::uint64_t) {
  m_Commands.emplace_back(Command);
  m_Entries.push_back(Index);
  if (m_Entries.size() > Referred)
    m_Entries.pop_front();
}

std::string CommandList::snapshot() const {
  std::string Text;
  for (const std::uint64_t Each : m_Entries)
    Text += std::to_string(Each) + ' ';
  Text += '\n';
  for (const std::string &Each : m_Commands)
    Text += Each + '\n';
  return Text;
}

void CommandList::restore(std::string_view Snapshot) {
  m_Commands.clear();
  m_Entries.clear();
  std::istringstream In{std::string(Snapshot)};
  std::string Line;
  std::getline(In, Line);
  std::istringstream Numbers{Line};
  for (std::uint64_t Each = 0; Numbers >> Each;)
    m_Entries.push_back(Each);
  while (std::getline(In, Line))
    m_Commands.push_back(Line);
}

std::optional<std::uint64_t> CommandList::oldestEntry() const {
  return m_Entries.empty() ? std::nullopt : std::optional(m_Entries.front());
}

GroupSimulation::GroupSimulation(GroupSimulationOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed), m_Nodes(Options.m_Nodes) {
  messages::fleet::GroupMembership Founders;
  for (std::size_t Each = 0; Each < m_Nodes.size(); ++Each) {
    m_Nodes[Each].m_Disk = makeDisk();
    boot(Each);
    if (Each < Options.m_Founders) {
      auto &Member = *Founders.add_members();
      Member.set_id(m_Nodes[Each].m_Identity);
      Member.set_host(hostOf(Each));
    }
  }
  for (std::size_t Each = 0; Each < Options.m_Founders; ++Each) {
    m_Nodes[Each].m_Group->found(Founders, now());
    settle(Each);
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

void GroupSimulation::boot(std::size_t Index) {
  Node &Booted = m_Nodes[Index];
  Booted.m_Machine = std::make_unique<CommandList>();
  Booted.m_Group = std::make_unique<consensus::Group>(
      consensus::GroupOptions{.m_MemoryBytes = m_Options.m_CompactBytes / 2,
                              .m_CompactBytes = m_Options.m_CompactBytes,
                              .m_Seed = m_Random()},
      *Booted.m_Disk, *Booted.m_Machine);
  for (const auto &[Sequence, Record] : Booted.m_Disk->records())
    Booted.m_Group->restore(Sequence,
                            messages::parseMessage<consensus::GroupLog::Record>(
                                Record, "simulated disk"));
  Booted.m_Identity = Booted.m_Disk->identity();
  Booted.m_Group->start(Booted.m_Identity, now());
  Booted.m_Frozen = false;
  Booted.m_Proposed.clear();
  settle(Index);
}

void GroupSimulation::pass(base::Duration Length) {
  const base::TimePoint Until = m_Time + Length;
  while (m_Time < Until) {
    m_Time += Step;
    deliver();
    for (std::size_t Each = 0; Each < m_Nodes.size(); ++Each) {
      Node &Ticked = m_Nodes[Each];
      if (!Ticked.m_Group || Ticked.m_Frozen ||
          Ticked.m_Group->nextTimer() > m_Time)
        continue;
      Ticked.m_Group->onTimer(now());
      plan(Each);
      settle(Each);
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

void GroupSimulation::restart(std::size_t Index) { boot(Index); }

void GroupSimulation::freeze(std::size_t Index, bool Frozen) {
  m_Nodes[Index].m_Frozen = Frozen;
}

void GroupSimulation::cut(std::size_t Left, std::size_t Right, bool IsCut) {
  for (const auto &Pair : {std::pair(Left, Right), std::pair(Right, Left)}) {
    if (IsCut)
      m_Cuts.insert(Pair);
    else
      m_Cuts.erase(Pair);
  }
}

void GroupSimulation::healAll() {
  m_Cuts.clear();
  for (std::size_t Each = 0; Each < m_Nodes.size(); ++Each) {
    m_Nodes[Each].m_Frozen = false;
    if (!m_Nodes[Each].m_Group)
      restart(Each);
  }
}

std::optional<std::size_t> GroupSimulation::leader() const {
  std::optional<std::size_t> Best;
  for (std::size_t Each = 0; Each < m_Nodes.size(); ++Each) {
    const auto &Group = m_Nodes[Each].m_Group;
    if (Group && !m_Nodes[Each].m_Frozen && Group->isSettledLeader() &&
        (!Best || Group->term() > m_Nodes[*Best].m_Group->term()))
      Best = Each;
  }
  return Best;
}

bool GroupSimulation::submit(const std::string &Command) {
  const auto Leads = leader();
  if (!Leads)
    return false;
  Node &Leader = m_Nodes[*Leads];
  if (Leader.m_ProposedTerm != Leader.m_Group->term())
    Leader.m_Proposed.clear();
  Leader.m_ProposedTerm = Leader.m_Group->term();
  const auto Index = Leader.m_Group->propose(Command, now());
  if (!Index)
    return false;
  Leader.m_Proposed[*Index] = Command;
  settle(*Leads);
  return true;
}

void GroupSimulation::handOver() {
  const std::size_t Leads = leader().value();
  m_Nodes[Leads].m_Group->handOver(now());
  settle(Leads);
}

std::size_t GroupSimulation::memberCount() const {
  const auto Leads = leader();
  return Leads ? static_cast<std::size_t>(
                     m_Nodes[*Leads].m_Group->membership().members_size())
               : 0;
}

void GroupSimulation::settle(std::size_t Index) {
  Node &Settled = m_Nodes[Index];
  consensus::Group &Group = *Settled.m_Group;
  post(Index, Group.takeEarly(now()));
  Settled.m_Disk->sync();
  Group.onSynced(now());
  post(Index, Group.takeMessages());
  post(Index, Group.takeEarly(now()));
  if (Group.oldestNeeded() > 0)
    Settled.m_Disk->release(Group.oldestNeeded());
  if (!Group.isLeader() || Group.term() != Settled.m_ProposedTerm)
    return;
  std::erase_if(Settled.m_Proposed, [&](const auto &Each) {
    if (Each.first > Group.commitIndex())
      return false;
    m_Acknowledged.insert(Each.second);
    return true;
  });
}

void GroupSimulation::post(
    std::size_t From, const std::vector<consensus::Group::Message> &Messages) {
  std::uniform_real_distribution<double> Draw(0, 1);
  for (const consensus::Group::Message &Each : Messages) {
    m_EntriesSent += static_cast<std::uint64_t>(Each.append().entries_size());
    for (std::size_t To = 0; To < m_Nodes.size(); ++To) {
      if (m_Nodes[To].m_Identity != Each.to() ||
          Draw(m_Random) < m_Options.m_LossShare)
        continue;
      const auto Delay = m_Options.m_KeepsOrder
                             ? LongestDelay
                             : base::Duration(static_cast<std::int64_t>(
                                   Draw(m_Random) *
                                   static_cast<double>(LongestDelay.count())));
      m_Flights.push_back({.m_At = m_Time + Delay,
                           .m_From = From,
                           .m_To = To,
                           .m_Message = Each});
    }
  }
}

void GroupSimulation::deliver() {
  std::vector<Flight> Due;
  std::erase_if(m_Flights, [&](Flight &Each) {
    if (Each.m_At > m_Time || m_Nodes[Each.m_To].m_Frozen)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  if (!m_Options.m_KeepsOrder)
    std::ranges::shuffle(Due, m_Random);
  for (const Flight &Each : Due) {
    if (!isUp(Each.m_To) || m_Cuts.contains({Each.m_From, Each.m_To}))
      continue;
    m_Nodes[Each.m_To].m_Group->onMessage(Each.m_Message, now());
    settle(Each.m_To);
  }
}

/// What the leader's process does about the membership.
void GroupSimulation::plan(std::size_t Index) {
  consensus::Group &Group = *m_Nodes[Index].m_Group;
  if (!Group.isSettledLeader())
    return;
  consensus::MembershipPlanInput Input;
  Input.m_Current = Group.membership();
  Input.m_Leader = Group.identity();
  Input.m_TargetMembers = m_Options.m_TargetMembers;
  for (std::size_t Each = 0; Each < m_Nodes.size(); ++Each) {
    const Node &Known = m_Nodes[Each];
    const auto Heard = Group.lastHeard(Known.m_Identity);
    const bool Linked =
        Known.m_Group && !Known.m_Frozen && !m_Cuts.contains({Index, Each});
    const bool Answers = Heard ? m_Time - *Heard < SilenceLimit : Linked;
    Input.m_Candidates.push_back(
        {.m_Identity = Known.m_Identity,
         .m_Host = hostOf(Each),
         .m_DataCentre = "dc" + std::to_string(Each % 3),
         .m_Reachable = Each == Index || Answers,
         .m_CaughtUp = Each == Index || Group.isCaughtUp(Known.m_Identity)});
  }
  Group.setLearners(m_Options.m_StandingLearners
                        ? consensus::planLearners(Input, 2)
                        : consensus::planSubstitute(Input));
  if (const auto Next = consensus::planMembership(Input))
    Group.changeMembership(*Next, now());
}

std::optional<std::string>
GroupSimulation::findUnreadable(std::size_t Index) const {
  const Node &Known = m_Nodes[Index];
  const CommandList &State = *Known.m_Machine;
  for (std::size_t Each = 0; Each < State.m_Entries.size(); ++Each) {
    const std::string &Applied =
        State.m_Commands[State.m_Commands.size() - State.m_Entries.size() +
                         Each];
    if (Known.m_Group->commandAt(State.m_Entries[Each]) != Applied)
      return Applied;
  }
  return std::nullopt;
}

void GroupSimulation::leaveIfRemoved(std::size_t Index) {
  const auto Leads = leader();
  Node &Left = m_Nodes[Index];
  if (!Leads || !Left.m_Group || *Leads == Index)
    return;
  for (const auto &Each :
       m_Nodes[*Leads].m_Group->committedMembership().members())
    if (Each.id() == Left.m_Identity)
      return;
  Left.m_Group->leave(m_Time);
  settle(Index);
}

std::optional<std::string> GroupSimulation::findDivergence() const {
  for (std::size_t Left = 0; Left < m_Nodes.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < m_Nodes.size(); ++Right) {
      const auto &First = applied(Left);
      const auto &Second = applied(Right);
      const std::size_t Common = std::min(First.size(), Second.size());
      const auto Differs = std::ranges::mismatch(
          First.begin(), First.begin() + static_cast<std::ptrdiff_t>(Common),
          Second.begin(), Second.begin() + static_cast<std::ptrdiff_t>(Common));
      if (Differs.in1 != First.begin() + static_cast<std::ptrdiff_t>(Common))
        return "nodes " + std::to_string(Left) + " and " +
               std::to_string(Right) + " differ at " +
               std::to_string(Differs.in1 - First.begin());
    }
  return std::nullopt;
}

} // namespace psp::testsupport
