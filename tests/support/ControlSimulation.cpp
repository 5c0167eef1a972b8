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
    auto Each = std::make_unique<Node>();
    Each->m_Id = I < m_VoterIds.size()
                     ? m_VoterIds[I]
                     : InstanceId("entry-" + std::to_string(I));
    Each->m_ClockRate = 0.95 + 0.0001 * static_cast<double>(below(1000));
    m_Nodes.push_back(std::move(Each));
  }
  for (auto &Each : m_Nodes)
    boot(*Each);
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

base::Now ControlSimulation::clockOf(const Node &Each) const {
  auto Local = static_cast<double>(m_Time.count()) * Each.m_ClockRate;
  constexpr std::int64_t StartUs = 1000000000;
  return {.m_Monotonic = base::TimePoint(
              Duration(StartUs + static_cast<std::int64_t>(Local)))};
}

void ControlSimulation::boot(Node &Each) {
  ++Each.m_Incarnation;
  Each.m_SeenIndex = 0;
  Each.m_SeenNumber = 0;
  std::size_t Index = 0;
  while (m_Nodes[Index].get() != &Each)
    ++Index;
  if (Index < m_VoterIds.size()) {
    Each.m_Voter = std::make_unique<control::LogVoter>(
        control::VoterOptions{.m_Self = Each.m_Id,
                              .m_Voters = m_VoterIds,
                              .m_ElectionTimeout = milliseconds(400),
                              .m_HeartbeatInterval = milliseconds(60),
                              .m_Seed = m_Random(),
                              .m_FreshIdentity = std::to_string(m_Random()),
                              .m_CheckpointEntries =
                                  m_Options.m_CheckpointEntries},
        Each.m_Journal);
    Each.m_Journal.replay([&](std::uint64_t, std::string_view Record) {
      Each.m_Voter->restoreRecord(Record);
    });
    handle(Each,
           [&](Node &Self, Outbox &) { Self.m_Voter->start(clockOf(Self)); });
  } else {
    // The last learner may also be fed by the first one.
    std::vector<InstanceId> Sources = m_VoterIds;
    if (Index > m_VoterIds.size() && Index + 1 == m_Nodes.size())
      Sources.push_back(m_Nodes[m_VoterIds.size()]->m_Id);
    Each.m_Learner = std::make_unique<control::Learner>(
        control::LearnerOptions{.m_Self = Each.m_Id, .m_Ledgers = Sources});
  }
  std::uint64_t Incarnation = Each.m_Incarnation;
  at(between(0, TickInterval.count()),
     [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void ControlSimulation::crash(Node &Each) {
  ++Each.m_Incarnation;
  Each.m_Voter.reset();
  Each.m_Learner.reset();
  Each.m_Waiting.clear();
  Each.m_Backlog.clear();
  Each.m_Syncing = false;
  Each.m_Frozen = false;
  Each.m_Journal.crash();
}

void ControlSimulation::tick(std::size_t Index, std::uint64_t Incarnation) {
  Node &Each = *m_Nodes[Index];
  if (Each.m_Incarnation != Incarnation)
    return;
  if (!Each.m_Frozen)
    handle(Each, [&](Node &Self, Outbox &Out) {
      if (Self.m_Voter)
        Self.m_Voter->onTick(clockOf(Self), Out);
      else
        Self.m_Learner->onTick(clockOf(Self), Out);
    });
  at(TickInterval, [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void ControlSimulation::handle(Node &Each, const Step &Do) {
  Outbox Out;
  Do(Each, Out);
  for (messages::Outgoing &Message : Out.take()) {
    if (Message.m_AfterRecord > Each.m_Journal.syncedSequence())
      Each.m_Waiting.push_back(std::move(Message));
    else
      send(Each, std::move(Message));
  }
  checkNode(Each);
  takeAnswers(Each);
  takeCheckpoint(Each);
  startSync(Each);
}

void ControlSimulation::send(Node &From, messages::Outgoing Message) {
  auto To = std::find_if(m_Nodes.begin(), m_Nodes.end(), [&](const auto &Each) {
    return Each->m_Id == Message.m_To;
  });
  require(To != m_Nodes.end(), "a message to nobody");
  Node *Receiver = To->get();
  if (Receiver->m_Side != From.m_Side)
    return;
  int Copies = chance(m_Options.m_Doubling) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (!m_IsHealed && chance(m_Options.m_Loss))
      continue;
    // A few messages come late, behind many that were sent after them.
    Duration Delay = chance(0.03) ? between(5000, 900000) : between(500, 5000);
    at(Delay, [this, Receiver, Copy = Message.m_Message] {
      deliver(*Receiver, Copy);
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
      Self.m_Voter->onMessage(From, Message.log(), clockOf(Self), Out);
    else
      Self.m_Learner->onMessage(From, Message.log(), clockOf(Self), Out);
  });
}

void ControlSimulation::startSync(Node &Each) {
  std::uint64_t Target = Each.m_Journal.appendedSequence();
  if (Each.m_Syncing || Target == Each.m_Journal.syncedSequence())
    return;
  Each.m_Syncing = true;
  std::uint64_t Incarnation = Each.m_Incarnation;
  Duration Delay = chance(0.1) ? between(1000, 100000) : between(100, 3000);
  if (m_Options.m_Faults && !m_IsHealed && chance(0.004))
    at(Delay / 2, [this] { losePower(); });
  at(Delay, [this, &Each, Target, Incarnation] {
    if (Each.m_Incarnation == Incarnation)
      finishSync(Each, Target);
  });
}

void ControlSimulation::finishSync(Node &Each, std::uint64_t Sequence) {
  Each.m_Syncing = false;
  // A checkpoint may have synced more meanwhile.
  Sequence = std::max(Sequence, Each.m_Journal.syncedSequence());
  Each.m_Journal.syncTo(Sequence);
  std::vector<messages::Outgoing> Waiting;
  Waiting.swap(Each.m_Waiting);
  for (messages::Outgoing &Message : Waiting) {
    if (Message.m_AfterRecord > Sequence)
      Each.m_Waiting.push_back(std::move(Message));
    else
      send(Each, std::move(Message));
  }
  handle(Each, [&](Node &Self, Outbox &Out) {
    Self.m_Voter->onSynced(Sequence, clockOf(Self), Out);
  });
}

void ControlSimulation::takeCheckpoint(Node &Each) {
  if (!Each.m_Voter)
    return;
  std::optional<control::Checkpoint> Taken = Each.m_Voter->takeCheckpoint();
  if (!Taken)
    return;
  Each.m_Journal.writeSnapshot(Taken->m_Data, Taken->m_Covered);
  ++m_Counts.m_Checkpoints;
  finishSync(Each, Each.m_Journal.syncedSequence());
}

void ControlSimulation::takeAnswers(Node &Each) {
  if (!Each.m_Voter)
    return;
  for (control::SubmitOutcome &Outcome : Each.m_Voter->takeResults()) {
    const std::string &Kind = Outcome.m_Result.error_kind();
    if (Kind == "quorum-unavailable" || Kind == "outcome-unknown")
      continue;
    Request &Asked = m_Requests.at(Outcome.m_Ticket);
    std::string Answer = Outcome.m_Result.SerializeAsString();
    require(!Asked.m_IsAnswered || Answer == Asked.m_Answer.SerializeAsString(),
            "a resent request was answered differently");
    Asked.m_IsAnswered = true;
    Asked.m_Answer = Outcome.m_Result;
    ++m_Counts.m_Answers;
  }
}

void ControlSimulation::checkNode(Node &Each) {
  if (Each.m_Voter) {
    m_Counts.m_Terms = std::max(m_Counts.m_Terms, Each.m_Voter->term());
    if (Each.m_Voter->isLeader()) {
      InstanceId &Leader = m_LeaderOfTerm[Each.m_Voter->term()];
      require(Leader.empty() || Leader == Each.m_Id, "two leaders in one term");
      Leader = Each.m_Id;
    }
    checkState(Each, Each.m_Voter->state());
  } else if (Each.m_Learner) {
    checkState(Each, Each.m_Learner->state());
  }
}

void ControlSimulation::checkState(Node &Each,
                                   const control::ControlState &State) {
  std::uint64_t Index = State.appliedIndex();
  auto Known = m_DigestAt.emplace(Index, State.digest()).first;
  require(Known->second == State.digest(),
          "two states at index " + std::to_string(Index));
  require(Index >= Each.m_SeenIndex, "the applied index went back");
  require(State.configuration().number() >= Each.m_SeenNumber,
          "the configuration went back");
  Each.m_SeenIndex = Index;
  Each.m_SeenNumber = State.configuration().number();
  m_Counts.m_Committed = std::max(m_Counts.m_Committed, Index);
}

} // namespace psp::tests
