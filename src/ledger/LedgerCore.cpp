#include "ledger/LedgerCore.h"

#include "base/Error.h"
#include "base/Hash.h"

#include <utility>

namespace psp::ledger {

using base::InstanceId;
using base::Now;
using messages::Envelope;
using messages::Outgoing;
using settings::PeerRole;

namespace {

/// Tickets from this value on are for submissions of peers; lower ones are for
/// the operators' interface of this process.
constexpr std::uint64_t FirstPeerTicket = 1ULL << 32U;

constexpr std::size_t GenerationBytes = 16;

/// Number of heartbeats that the leader of the control log sends per election
/// timeout.
constexpr int HeartbeatsInTimeout = 6;

control::VoterOptions voterOptions(const LedgerCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  control::VoterOptions Voter;
  Voter.m_Self = Process.m_Instance;
  Voter.m_ElectionTimeout = Options.m_Settings.m_ElectionTimeout;
  Voter.m_HeartbeatInterval =
      Options.m_Settings.m_ElectionTimeout / HeartbeatsInTimeout;
  Voter.m_Seed = Options.m_Seed;
  Voter.m_FreshIdentity = base::toHex(base::randomBytes(GenerationBytes));
  for (const settings::Peer &Peer : Process.m_Peers) {
    if (Peer.m_Role == PeerRole::Ledger)
      Voter.m_Voters.push_back(Peer.m_Instance);
  }
  return Voter;
}

limits::LimitOptions limitOptions(const LedgerCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  limits::LimitOptions Limits;
  Limits.m_Self = Process.m_Instance;
  Limits.m_DataCentre = Process.m_DataCentre;
  Limits.m_IsEntry = false;
  Limits.m_Incarnation = Options.m_Incarnation;
  for (const settings::Peer &Peer : Process.m_Peers) {
    Limits.m_Members.push_back({.m_Instance = Peer.m_Instance,
                                .m_DataCentre = Peer.m_DataCentre,
                                .m_IsEntry = Peer.m_Role == PeerRole::Entry});
  }
  return Limits;
}

} // namespace

LedgerCore::LedgerCore(LedgerCoreOptions Options,
                       base::RecordSink &ControlJournal,
                       base::RecordSink &ProgramJournal)
    : m_Options(std::move(Options)),
      m_Members({.m_Self = m_Options.m_Settings.m_Process.m_Instance,
                 .m_Peers = m_Options.m_Settings.m_Process.m_Peers,
                 .m_HeartbeatInterval =
                     m_Options.m_Settings.m_Process.m_HeartbeatInterval,
                 .m_Timeout = m_Options.m_Settings.m_Process.m_PeerTimeout,
                 .m_Incarnation = m_Options.m_Incarnation}),
      m_Voter(voterOptions(m_Options), ControlJournal),
      m_Programs(m_Options.m_Settings.m_Process.m_Instance, ProgramJournal),
      m_Limits(limitOptions(m_Options), m_Options.m_Start),
      m_NextTicket(FirstPeerTicket) {}

void LedgerCore::restoreControl(std::string_view Record) {
  m_Voter.restoreRecord(Record);
}

void LedgerCore::restoreProgram(std::string_view Record) {
  m_Programs.restoreRecord(Record);
}

void LedgerCore::start(Now Time) {
  m_Programs.finishRestore(base::randomBytes(GenerationBytes));
  m_Voter.start(Time);
  settle();
}

void LedgerCore::onPeer(const Envelope &Message, Now Time) {
  try {
    dispatchBody(InstanceId(Message.sender()), Message, Time);
  } catch (const base::UserError &) {
    ++m_MalformedMessages; // A component changes no state before it throws.
  }
  settle();
}

void LedgerCore::dispatchBody(const InstanceId &From, const Envelope &Message,
                              Now Time) {
  switch (Message.body_case()) {
  case Envelope::kHeartbeat:
    m_Members.onHeartbeat(From, Message.heartbeat(), Time.m_Monotonic);
    break;
  case Envelope::kLog:
    m_Voter.onMessage(From, Message.log(), Time, m_ControlOut);
    break;
  case Envelope::kProgram:
    m_Programs.onMessage(From, Message.program(), Time, m_ProgramOut);
    break;
  case Envelope::kLimit:
    m_Limits.onMessage(From, Message.limit(), Time.m_Monotonic, m_Out);
    break;
  case Envelope::kSubmitCommand: {
    const std::uint64_t Ticket = m_NextTicket++;
    m_Submissions[Ticket] = {
        .m_From = From, .m_Submission = Message.submit_command().submission()};
    m_Voter.submit(Ticket, Message.submit_command().command(), Time,
                   m_ControlOut);
    break;
  }
  default:
    break;
  }
}

void LedgerCore::onControlSynced(std::uint64_t Sequence, Now Time) {
  m_ControlSynced = Sequence;
  m_Voter.onSynced(Sequence, Time, m_ControlOut);
  settle();
}

void LedgerCore::onProgramSynced(std::uint64_t Sequence) {
  m_ProgramSynced = Sequence;
  settle();
}

void LedgerCore::onTick(Now Time) {
  m_Members.onTick(Time.m_Monotonic, m_Voter.state().appliedIndex(), m_Out);
  m_Voter.onTick(Time, m_ControlOut);
  m_Limits.onTick(Time.m_Monotonic, m_Out);
  settle();
}

void LedgerCore::submit(std::uint64_t Ticket,
                        const messages::ControlCommand &Command, Now Time) {
  m_Voter.submit(Ticket, Command, Time, m_ControlOut);
  settle();
}

void LedgerCore::settle() {
  answerSubmissions();
  for (Outgoing &Next : m_Out.take())
    m_Messages.push_back(std::move(Next));
  release(m_ControlOut, m_ControlWithheld, m_ControlSynced);
  release(m_ProgramOut, m_ProgramWithheld, m_ProgramSynced);
}

/// Releases the messages whose records are synced. Messages keep their order,
/// so a message that waits for its record also delays those after it.
void LedgerCore::release(messages::Outbox &Box, std::deque<Outgoing> &Withheld,
                         std::uint64_t Synced) {
  for (Outgoing &Next : Box.take())
    Withheld.push_back(std::move(Next));
  while (!Withheld.empty() && Withheld.front().m_AfterRecord <= Synced) {
    m_Messages.push_back(std::move(Withheld.front()));
    Withheld.pop_front();
  }
}

void LedgerCore::answerSubmissions() {
  for (const control::SubmitOutcome &Outcome : m_Voter.takeResults()) {
    const auto It = m_Submissions.find(Outcome.m_Ticket);
    if (It == m_Submissions.end()) {
      m_Decided.push_back(
          {.m_Ticket = Outcome.m_Ticket, .m_Result = Outcome.m_Result});
      continue;
    }
    messages::SubmitResult &Result =
        *m_Out.add(It->second.m_From).mutable_submit_result();
    Result.set_submission(It->second.m_Submission);
    *Result.mutable_result() = Outcome.m_Result;
    m_Submissions.erase(It);
  }
}

std::vector<Outgoing> LedgerCore::takeMessages() {
  return std::exchange(m_Messages, {});
}

std::vector<DecidedCommand> LedgerCore::takeDecided() {
  return std::exchange(m_Decided, {});
}

} // namespace psp::ledger
