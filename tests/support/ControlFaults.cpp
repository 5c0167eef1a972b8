// Fault injection, operator requests and the final check of a
// ControlSimulation.

#include "support/ControlSimulation.h"

#include <algorithm>
#include <stdexcept>

namespace psp::tests {

using base::Duration;
using base::milliseconds;
using messages::Outbox;

namespace {

constexpr Duration FaultInterval = milliseconds(400);
constexpr Duration SubmitInterval = milliseconds(30);

void require(bool Holds, const std::string &Message) {
  if (!Holds)
    throw std::runtime_error(Message);
}

} // namespace

void ControlSimulation::run(Duration Length) {
  Duration End = m_Time + Length;
  for (Duration At{}; At < Length; At += SubmitInterval)
    at(At, [this] { submitRandomRequest(); });
  if (m_Options.m_Faults)
    for (Duration At{}; At < Length; At += FaultInterval)
      at(At, [this] { injectFault(); });
  runUntil(End);
}

void ControlSimulation::runUntil(Duration End) {
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Time = Next.m_At;
    Next.m_Action();
  }
  m_Time = End;
}

/// Once it is bootstrapped, the group tolerates the loss of fewer than half of
/// its disks at a time. A disk counts as lost until it is durably admitted
/// again.
bool ControlSimulation::mayWipe() {
  std::size_t Without = 0;
  for (std::size_t I = 0; I < m_VoterIds.size(); ++I) {
    const Node &Replica = *m_Nodes[I];
    bool IsSynced = Replica.m_Journal.syncedSequence() ==
                    Replica.m_Journal.appendedSequence();
    if (!Replica.m_Voter || !Replica.m_Voter->admitted() || !IsSynced)
      ++Without;
  }
  m_IsBootstrapped = m_IsBootstrapped || Without == 0;
  return m_IsBootstrapped && Without + 1 <= (m_VoterIds.size() - 1) / 2;
}

void ControlSimulation::restartLater(Node &Replica) {
  at(between(1000, 1500000), [this, &Replica] { startNode(Replica); });
}

/// Crashes several nodes in the middle of a sync.
void ControlSimulation::simulatePowerLoss() {
  if (m_IsHealed)
    return;
  ++m_Counts.m_PowerLosses;
  for (auto &Replica : m_Nodes) {
    if ((!Replica->m_Voter && !Replica->m_Learner) || chance(0.4))
      continue;
    crash(*Replica);
    ++m_Counts.m_Crashes;
    restartLater(*Replica);
  }
}

void ControlSimulation::injectFault() {
  if (m_IsHealed)
    return;
  Node &Replica = *m_Nodes[below(m_Nodes.size())];
  bool IsVoter = Replica.m_Voter != nullptr;
  switch (below(8)) {
  case 0:
  case 1: {
    bool Wipe = IsVoter && mayWipe() && chance(0.5);
    if (!Replica.m_Voter && !Replica.m_Learner)
      return;
    crash(Replica);
    ++m_Counts.m_Crashes;
    if (Wipe) {
      Replica.m_Journal.wipe();
      ++m_Counts.m_Wipes;
    }
    restartLater(Replica);
    return;
  }
  case 2:
  case 3:
    ++m_Counts.m_Partitions;
    for (auto &Member : m_Nodes)
      Member->m_PartitionSide = static_cast<int>(below(2));
    return;
  case 4: {
    // A node that is down can't be frozen.
    if (Replica.m_Frozen || (!Replica.m_Voter && !Replica.m_Learner))
      return;
    ++m_Counts.m_Freezes;
    Replica.m_Frozen = true;
    std::uint64_t Incarnation = Replica.m_Incarnation;
    at(between(100000, 2500000), [this, &Replica, Incarnation] {
      if (Replica.m_Incarnation != Incarnation)
        return;
      Replica.m_Frozen = false;
      std::vector<messages::Envelope> Backlog;
      Backlog.swap(Replica.m_Backlog);
      for (const messages::Envelope &Message : Backlog)
        deliver(Replica, Message);
    });
    return;
  }
  default:
    for (auto &Member : m_Nodes)
      Member->m_PartitionSide = 0;
  }
}

messages::ControlCommand ControlSimulation::newCommand() {
  messages::ControlCommand Command;
  Command.set_request_id("request-" + std::to_string(m_Requests.size()));
  switch (below(3)) {
  case 0: {
    // Operators submit concurrently under equal and under old numbers.
    std::uint64_t Highest = 0;
    for (const auto &Replica : m_Nodes)
      Highest = std::max(Highest, Replica->m_LastNumber);
    messages::Configuration &Next = *Command.mutable_put_configuration();
    Next.set_number(Highest + below(3));
    messages::Organisation &Owner = *Next.add_organisations();
    Owner.set_name("guild");
    Owner.set_rate_per_second(1 + static_cast<double>(below(2)));
    Owner.set_burst(5);
    break;
  }
  case 1:
    Command.mutable_withdraw_key()->set_key_id(std::to_string(below(1000)));
    break;
  default:
    Command.mutable_next_fencing_number()->set_endpoint("endpoint");
  }
  return Command;
}

void ControlSimulation::submitRandomRequest() {
  bool Resend = !m_Requests.empty() && chance(0.5);
  if (!Resend)
    m_Requests.push_back({.m_Command = newCommand(), .m_Answer = {}});
  std::size_t Ticket =
      Resend ? below(m_Requests.size()) : m_Requests.size() - 1;
  m_Counts.m_Resends += Resend ? 1 : 0;
  for (std::size_t I = 0; I < m_VoterIds.size(); ++I) {
    Node &Replica = *m_Nodes[I];
    // Every voter in the leader role receives the request, other voters only
    // sometimes.
    bool IsTarget = Replica.m_Voter && !Replica.m_Frozen &&
                    (Replica.m_Voter->isLeader() || chance(0.1));
    if (IsTarget)
      handle(Replica, [&](Node &Self, Outbox &Out) {
        Self.m_Voter->submit(Ticket, m_Requests[Ticket].m_Command,
                             localTime(Self), Out);
      });
  }
}

std::size_t ControlSimulation::leader() const {
  std::size_t Leader = m_VoterIds.size();
  for (std::size_t I = 0; I < m_VoterIds.size(); ++I)
    if (voter(I).isLeader() &&
        (Leader == m_VoterIds.size() || voter(I).term() > voter(Leader).term()))
      Leader = I;
  require(Leader < m_VoterIds.size(), "expected a leader, found none");
  return Leader;
}

void ControlSimulation::healAndCheck(Duration Length) {
  m_IsHealed = true;
  for (auto &Replica : m_Nodes)
    Replica->m_PartitionSide = 0;
  runUntil(m_Time + Length);
  std::size_t Leaders = 0;
  const control::ControlState &First = m_Nodes[0]->m_Voter->state();
  require(First.appliedIndex() >= m_Counts.m_Committed,
          "a committed entry was lost");
  for (auto &Replica : m_Nodes) {
    const control::ControlState &State = Replica->m_Voter
                                             ? Replica->m_Voter->state()
                                             : Replica->m_Learner->state();
    require(State.appliedIndex() == First.appliedIndex() &&
                State.digest() == First.digest(),
            Replica->m_Id.str() + " is at index " +
                std::to_string(State.appliedIndex()) + ", expected index " +
                std::to_string(First.appliedIndex()));
    require(!Replica->m_Voter || Replica->m_Voter->admitted(),
            Replica->m_Id.str() + " was not admitted");
    Leaders += Replica->m_Voter && Replica->m_Voter->isLeader() ? 1 : 0;
  }
  require(Leaders == 1,
          "expected one leader, found " + std::to_string(Leaders));
}

} // namespace psp::tests
