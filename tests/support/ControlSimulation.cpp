#include "support/ControlSimulation.h"

#include <algorithm>
#include <stdexcept>

namespace psp::tests {

using base::Duration;
using base::InstanceId;
using base::milliseconds;
using messages::Outbox;

namespace {

constexpr Duration TickInterval = milliseconds(20);

void require(bool Holds, const std::string &Message) {
  if (!Holds)
    throw std::runtime_error(Message);
}

} // namespace

ControlSimulation::ControlSimulation(SimulationOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed) {
  for (std::size_t I = 0; I < m_Options.m_Voters; ++I)
    m_VoterIds.emplace_back("ledger-" + std::to_string(I));
  for (std::size_t I = 0; I < m_Options.m_Voters + m_Options.m_Learners; ++I) {
    auto Replica = std::make_unique<Node>();
    Replica->m_Id = I < m_VoterIds.size()
                        ? m_VoterIds[I]
                        : InstanceId("entry-" + std::to_string(I));
    Replica->m_ClockRate = 0.95 + 0.0001 * static_cast<double>(below(1000));
    m_Nodes.push_back(std::move(Replica));
  }
  for (auto &Replica : m_Nodes)
    startNode(*Replica);
}

void ControlSimulation::at(Duration Delay, std::function<void()> Action) {
  m_Events.push({m_Time + Delay, ++m_Order, std::move(Action)});
}

bool ControlSimulation::chance(double Probability) {
  return static_cast<double>(below(1000000)) < Probability * 1000000;
}

Duration ControlSimulation::between(std::int64_t LowUs, std::int64_t HighUs) {
  auto Width = static_cast<std::uint64_t>(HighUs - LowUs);
  return Duration(LowUs + static_cast<std::int64_t>(below(Width)));
}

base::Now ControlSimulation::localTime(const Node &Replica) const {
  auto Local = static_cast<double>(m_Time.count()) * Replica.m_ClockRate;
  constexpr std::int64_t StartUs = 1000000000;
  return {.m_Monotonic = base::TimePoint(
              Duration(StartUs + static_cast<std::int64_t>(Local)))};
}

void ControlSimulation::startNode(Node &Replica) {
  ++Replica.m_Incarnation;
  Replica.m_LastIndex = 0;
  Replica.m_LastNumber = 0;
  std::size_t Index = 0;
  while (m_Nodes[Index].get() != &Replica)
    ++Index;
  if (Index < m_VoterIds.size()) {
    Replica.m_Voter = std::make_unique<control::LogVoter>(
        control::VoterOptions{.m_Self = Replica.m_Id,
                              .m_Voters = m_VoterIds,
                              .m_ElectionTimeout = milliseconds(400),
                              .m_HeartbeatInterval = milliseconds(60),
                              .m_Seed = m_Random(),
                              .m_FreshIdentity = std::to_string(m_Random()),
                              .m_CheckpointEntries =
                                  m_Options.m_CheckpointEntries},
        Replica.m_Journal);
    Replica.m_Journal.replay([&](std::uint64_t, std::string_view Record) {
      Replica.m_Voter->restoreRecord(Record);
    });
    handle(Replica,
           [&](Node &Self, Outbox &) { Self.m_Voter->start(localTime(Self)); });
  } else {
    // The last learner may also use the first learner as a source.
    std::vector<InstanceId> Sources = m_VoterIds;
    if (Index > m_VoterIds.size() && Index + 1 == m_Nodes.size())
      Sources.push_back(m_Nodes[m_VoterIds.size()]->m_Id);
    Replica.m_Learner = std::make_unique<control::Learner>(
        control::LearnerOptions{.m_Self = Replica.m_Id, .m_Ledgers = Sources});
  }
  std::uint64_t Incarnation = Replica.m_Incarnation;
  at(between(0, TickInterval.count()),
     [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void ControlSimulation::crash(Node &Replica) {
  ++Replica.m_Incarnation;
  Replica.m_Voter.reset();
  Replica.m_Learner.reset();
  Replica.m_AwaitingSync.clear();
  Replica.m_Backlog.clear();
  Replica.m_Syncing = false;
  Replica.m_Frozen = false;
  Replica.m_Journal.crash();
}

void ControlSimulation::tick(std::size_t Index, std::uint64_t Incarnation) {
  Node &Replica = *m_Nodes[Index];
  if (Replica.m_Incarnation != Incarnation)
    return;
  if (!Replica.m_Frozen)
    handle(Replica, [&](Node &Self, Outbox &Out) {
      if (Self.m_Voter)
        Self.m_Voter->onTick(localTime(Self), Out);
      else
        Self.m_Learner->onTick(localTime(Self), Out);
    });
  at(TickInterval, [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void ControlSimulation::handle(Node &Replica, const NodeAction &Action) {
  Outbox Out;
  Action(Replica, Out);
  for (messages::Outgoing &Message : Out.take()) {
    if (Message.m_AfterRecord > Replica.m_Journal.syncedSequence())
      Replica.m_AwaitingSync.push_back(std::move(Message));
    else
      send(Replica, std::move(Message));
  }
  checkNode(Replica);
  collectResults(Replica);
  takeCheckpoint(Replica);
  startSync(Replica);
}

void ControlSimulation::send(Node &From, messages::Outgoing Message) {
  auto To =
      std::find_if(m_Nodes.begin(), m_Nodes.end(), [&](const auto &Replica) {
        return Replica->m_Id == Message.m_To;
      });
  require(To != m_Nodes.end(), "a message to an unknown recipient");
  Node *Receiver = To->get();
  if (Receiver->m_PartitionSide != From.m_PartitionSide)
    return;
  int Copies = chance(m_Options.m_Duplication) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (!m_IsHealed && chance(m_Options.m_Loss))
      continue;
    // A few messages are delayed and arrive after many later ones.
    Duration Delay = chance(0.03) ? between(5000, 900000) : between(500, 5000);
    at(Delay, [this, Receiver, Envelope = Message.m_Message] {
      deliver(*Receiver, Envelope);
    });
  }
}

void ControlSimulation::deliver(Node &To, const messages::Envelope &Message) {
  if (!To.m_Voter && !To.m_Learner)
    return;
  if (To.m_Frozen) {
    To.m_Backlog.push_back(Message);
    return;
  }
  handle(To, [&](Node &Self, Outbox &Out) {
    InstanceId From(Message.sender());
    if (Self.m_Voter)
      Self.m_Voter->onMessage(From, Message.log(), localTime(Self), Out);
    else
      Self.m_Learner->onMessage(From, Message.log(), localTime(Self), Out);
  });
}

void ControlSimulation::startSync(Node &Replica) {
  std::uint64_t Target = Replica.m_Journal.appendedSequence();
  if (Replica.m_Syncing || Target == Replica.m_Journal.syncedSequence())
    return;
  Replica.m_Syncing = true;
  std::uint64_t Incarnation = Replica.m_Incarnation;
  Duration Delay = chance(0.1) ? between(1000, 100000) : between(100, 3000);
  if (m_Options.m_Faults && !m_IsHealed && chance(0.004))
    at(Delay / 2, [this] { simulatePowerLoss(); });
  at(Delay, [this, &Replica, Target, Incarnation] {
    if (Replica.m_Incarnation == Incarnation)
      finishSync(Replica, Target);
  });
}

void ControlSimulation::finishSync(Node &Replica, std::uint64_t Sequence) {
  Replica.m_Syncing = false;
  // A checkpoint may have synced later records in the meantime.
  Sequence = std::max(Sequence, Replica.m_Journal.syncedSequence());
  Replica.m_Journal.syncTo(Sequence);
  std::vector<messages::Outgoing> Waiting;
  Waiting.swap(Replica.m_AwaitingSync);
  for (messages::Outgoing &Message : Waiting) {
    if (Message.m_AfterRecord > Sequence)
      Replica.m_AwaitingSync.push_back(std::move(Message));
    else
      send(Replica, std::move(Message));
  }
  handle(Replica, [&](Node &Self, Outbox &Out) {
    Self.m_Voter->onSynced(Sequence, localTime(Self), Out);
  });
}

void ControlSimulation::takeCheckpoint(Node &Replica) {
  if (!Replica.m_Voter)
    return;
  std::optional<control::Checkpoint> Taken = Replica.m_Voter->takeCheckpoint();
  if (!Taken)
    return;
  Replica.m_Journal.writeSnapshot(Taken->m_Data, Taken->m_Covered);
  ++m_Counts.m_Checkpoints;
  finishSync(Replica, Replica.m_Journal.syncedSequence());
}

void ControlSimulation::collectResults(Node &Replica) {
  if (!Replica.m_Voter)
    return;
  for (control::SubmitOutcome &Outcome : Replica.m_Voter->takeResults()) {
    const std::string &Kind = Outcome.m_Result.error_kind();
    if (Kind == "quorum-unavailable" || Kind == "outcome-unknown")
      continue;
    Request &Submitted = m_Requests.at(Outcome.m_Ticket);
    std::string Answer = Outcome.m_Result.SerializeAsString();
    require(!Submitted.m_IsAnswered ||
                Answer == Submitted.m_Answer.SerializeAsString(),
            "a resent request was answered differently");
    Submitted.m_IsAnswered = true;
    Submitted.m_Answer = Outcome.m_Result;
    ++m_Counts.m_Answers;
  }
}

void ControlSimulation::checkNode(Node &Replica) {
  if (Replica.m_Voter) {
    m_Counts.m_Terms = std::max(m_Counts.m_Terms, Replica.m_Voter->term());
    if (Replica.m_Voter->isLeader()) {
      InstanceId &Leader = m_LeaderOfTerm[Replica.m_Voter->term()];
      require(Leader.empty() || Leader == Replica.m_Id,
              "two leaders in one term");
      Leader = Replica.m_Id;
    }
    checkState(Replica, Replica.m_Voter->state());
  } else if (Replica.m_Learner) {
    checkState(Replica, Replica.m_Learner->state());
  }
}

void ControlSimulation::checkState(Node &Replica,
                                   const control::ControlState &State) {
  std::uint64_t Index = State.appliedIndex();
  auto Recorded = m_DigestAt.emplace(Index, State.digest()).first;
  require(Recorded->second == State.digest(),
          "states differ at index " + std::to_string(Index));
  require(Index >= Replica.m_LastIndex, "the applied index decreased");
  require(State.configuration().number() >= Replica.m_LastNumber,
          "the configuration number decreased");
  Replica.m_LastIndex = Index;
  Replica.m_LastNumber = State.configuration().number();
  m_Counts.m_Committed = std::max(m_Counts.m_Committed, Index);
}

} // namespace psp::tests
