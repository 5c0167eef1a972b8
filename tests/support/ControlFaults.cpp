// The faults and the operators of a ControlSimulation, and how it ends.

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
    at(At, [this] { submitSomething(); });
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

/// The group bears the loss of fewer than half of its disks at a time, once it
/// was founded; a disk counts as lost until it is durably admitted again.
bool ControlSimulation::mayWipe() {
  std::size_t Without = 0;
  for (std::size_t I = 0; I < m_VoterIds.size(); ++I) {
    const Node &Each = *m_Nodes[I];
    bool IsSynced =
        Each.m_Journal.syncedSequence() == Each.m_Journal.appendedSequence();
    if (!Each.m_Voter || !Each.m_Voter->admitted() || !IsSynced)
      ++Without;
  }
  m_IsFounded = m_IsFounded || Without == 0;
  return m_IsFounded && Without + 1 <= (m_VoterIds.size() - 1) / 2;
}

void ControlSimulation::restartLater(Node &Each) {
  at(between(1000, 1500000), [this, &Each] { boot(Each); });
}

/// Crashes several nodes in the middle of a sync.
void ControlSimulation::losePower() {
  if (m_IsHealed)
    return;
  ++m_Counts.m_PowerLosses;
  for (auto &Each : m_Nodes) {
    if ((!Each->m_Voter && !Each->m_Learner) || chance(0.4))
      continue;
    crash(*Each);
    ++m_Counts.m_Crashes;
    restartLater(*Each);
  }
}

void ControlSimulation::injectFault() {
  if (m_IsHealed)
    return;
  Node &Each = *m_Nodes[below(m_Nodes.size())];
  bool IsVoter = Each.m_Voter != nullptr;
  switch (below(8)) {
  case 0:
  case 1: {
    bool Wipe = IsVoter && mayWipe() && chance(0.5);
    if (!Each.m_Voter && !Each.m_Learner)
      return;
    crash(Each);
    ++m_Counts.m_Crashes;
    if (Wipe) {
      Each.m_Journal.wipe();
      ++m_Counts.m_Wipes;
    }
    restartLater(Each);
    return;
  }
  case 2:
  case 3:
    ++m_Counts.m_Cuts;
    for (auto &Any : m_Nodes)
      Any->m_Side = static_cast<int>(below(2));
    return;
  case 4: {
    // A node that is down has nothing to freeze.
    if (Each.m_Frozen || (!Each.m_Voter && !Each.m_Learner))
      return;
    ++m_Counts.m_Freezes;
    Each.m_Frozen = true;
    std::uint64_t Incarnation = Each.m_Incarnation;
    at(between(100000, 2500000), [this, &Each, Incarnation] {
      if (Each.m_Incarnation != Incarnation)
        return;
      Each.m_Frozen = false;
      std::vector<messages::Envelope> Backlog;
      Backlog.swap(Each.m_Backlog);
      for (const messages::Envelope &Message : Backlog)
        deliver(Each, Message);
    });
    return;
  }
  default:
    for (auto &Any : m_Nodes)
      Any->m_Side = 0;
  }
}

messages::ControlCommand ControlSimulation::newCommand() {
  messages::ControlCommand Command;
  Command.set_request_id("request-" + std::to_string(m_Requests.size()));
  switch (below(3)) {
  case 0: {
    // Operators race under equal and under old numbers.
    std::uint64_t Highest = 0;
    for (const auto &Each : m_Nodes)
      Highest = std::max(Highest, Each->m_SeenNumber);
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

void ControlSimulation::submitSomething() {
  bool Resend = !m_Requests.empty() && chance(0.5);
  if (!Resend)
    m_Requests.push_back({.m_Command = newCommand(), .m_Answer = {}});
  std::size_t Ticket =
      Resend ? below(m_Requests.size()) : m_Requests.size() - 1;
  m_Counts.m_Resends += Resend ? 1 : 0;
  for (std::size_t I = 0; I < m_VoterIds.size(); ++I) {
    Node &Each = *m_Nodes[I];
    // Mostly the leader is asked; each voter that thinks it leads takes part.
    bool IsAsked = Each.m_Voter && !Each.m_Frozen &&
                   (Each.m_Voter->isLeader() || chance(0.1));
    if (IsAsked)
      handle(Each, [&](Node &Self, Outbox &Out) {
        Self.m_Voter->submit(Ticket, m_Requests[Ticket].m_Command,
                             clockOf(Self), Out);
      });
  }
}

void ControlSimulation::healAndCheck(Duration Length) {
  m_IsHealed = true;
  for (auto &Each : m_Nodes)
    Each->m_Side = 0;
  runUntil(m_Time + Length);
  std::size_t Leaders = 0;
  const control::ControlState &First = m_Nodes[0]->m_Voter->state();
  require(First.appliedIndex() >= m_Counts.m_Committed,
          "a committed entry was lost");
  for (auto &Each : m_Nodes) {
    const control::ControlState &State =
        Each->m_Voter ? Each->m_Voter->state() : Each->m_Learner->state();
    require(State.appliedIndex() == First.appliedIndex() &&
                State.digest() == First.digest(),
            Each->m_Id.str() + " stands at " +
                std::to_string(State.appliedIndex()) + " in place of " +
                std::to_string(First.appliedIndex()));
    require(!Each->m_Voter || Each->m_Voter->admitted(),
            Each->m_Id.str() + " was not admitted");
    Leaders += Each->m_Voter && Each->m_Voter->isLeader() ? 1 : 0;
  }
  require(Leaders == 1,
          "expected one leader, found " + std::to_string(Leaders));
}

} // namespace psp::tests
