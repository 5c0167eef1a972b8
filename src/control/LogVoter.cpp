#include "control/LogVoter.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::control {

using base::ErrorKind;
using messages::LogMessage;

LogVoter::LogVoter(VoterOptions Options, base::RecordSink &Sink)
    : m_Options(std::move(Options)), m_Store(Sink),
      m_VoterAdmission(m_Options.m_Self, m_Options.m_Voters, m_Store),
      m_Feed({.m_Self = m_Options.m_Self}), m_Random(m_Options.m_Seed) {
  base::checkInvariant(isVoter(m_Options.m_Self),
                       "a voter must be one of the configured voters");
  base::checkInvariant(!m_Options.m_FreshIdentity.empty(),
                       "a voter needs a fresh identity");
}

void LogVoter::start(const base::Now &Now) {
  if (m_Store.restoredSnapshot().applied_index() > 0)
    m_State.restore(m_Store.restoredSnapshot());
  m_CheckpointIndex = m_State.appliedIndex();
  m_Feed.reset(m_State);
  m_VoterAdmission.start(m_Options.m_FreshIdentity);
  scheduleElection(Now.m_Monotonic);
  m_HeartbeatAt = Now.m_Monotonic;
}

bool LogVoter::isVoter(const InstanceId &Instance) const {
  return std::find(m_Options.m_Voters.begin(), m_Options.m_Voters.end(),
                   Instance) != m_Options.m_Voters.end();
}

void LogVoter::onMessage(const InstanceId &From, const LogMessage &Message,
                         const base::Now &Now, Outbox &Out) {
  TimePoint Time = Now.m_Monotonic;
  if (Message.has_learner_hello()) {
    m_Feed.onHello(From, Message.learner_hello(), m_State, age(Time), Time,
                   Out);
    return;
  }
  if (!isVoter(From) || From == m_Options.m_Self)
    throw base::UserError(ErrorKind::BadRequest,
                          "log: expected a message from another voter, found "
                          "one from " +
                              From.str());
  handle(From, Message, Time, Out);
}

void LogVoter::handle(const InstanceId &From, const LogMessage &Message,
                      TimePoint Now, Outbox &Out) {
  switch (Message.body_case()) {
  case LogMessage::kPreVote:
    return onPreVote(From, Message, Now, Out);
  case LogMessage::kPreVoteReply:
    return onPreVoteReply(From, Message, Now, Out);
  case LogMessage::kVote:
    return onVote(From, Message, Now, Out);
  case LogMessage::kVoteReply:
    return onVoteReply(From, Message, Now, Out);
  case LogMessage::kAppend:
    return onAppend(From, Message, Now, Out);
  case LogMessage::kAppendReply:
    return onAppendReply(From, Message, Now, Out);
  case LogMessage::kSnapshot:
    return onSnapshot(From, Message, Now, Out);
  case LogMessage::kStanding:
    return onStandingRequest(From, Message.standing(), Out);
  case LogMessage::kStandingReply:
    return m_VoterAdmission.onReply(From, Message.identity(),
                                    Message.standing_reply());
  default:
    throw base::UserError(ErrorKind::BadRequest,
                          "log: expected a message between voters, found "
                          "another kind from " +
                              From.str());
  }
}

void LogVoter::onTick(const base::Now &Now, Outbox &Out) {
  TimePoint Time = Now.m_Monotonic;
  if (isLeader() && !hasQuorumContact(Time))
    follow(InstanceId(), Time);
  if (isLeader() && Time >= m_HeartbeatAt)
    broadcast(Time, Out);
  if (!m_Store.admitted() && Time >= m_HeartbeatAt)
    requestStanding(Time, Out);
  if (!isLeader() && m_Store.admitted() && Time >= m_ElectionAt)
    startPreVote(Time, Out);
  m_Feed.onTick(m_State, age(Time), Time, Out);
}

void LogVoter::onSynced(std::uint64_t Sequence, const base::Now &Now,
                        Outbox &Out) {
  m_SyncedSequence = std::max(m_SyncedSequence, Sequence);
  m_Store.onSynced(Sequence);
  if (m_Role.kind() == RoleKind::Candidate)
    countVotes(Now.m_Monotonic, Out);
  if (isLeader())
    advanceCommit(Now.m_Monotonic, Out);
}

void LogVoter::submit(std::uint64_t Ticket,
                      const messages::ControlCommand &Command,
                      const base::Now &Now, Outbox &Out) {
  if (!isLeader()) {
    std::string Hint = m_Leader.empty() ? "the leader is unknown"
                                        : "the leader is " + m_Leader.str();
    finish(Ticket, Command.request_id(), ErrorKind::QuorumUnavailable, Hint);
    return;
  }
  messages::LogEntry Entry;
  *Entry.mutable_command() = Command;
  std::uint64_t Index = propose(std::move(Entry));
  m_Pending[Index] = {.m_Ticket = Ticket, .m_Term = term()};
  broadcast(Now.m_Monotonic, Out);
}

void LogVoter::finish(std::uint64_t Ticket, const std::string &RequestId,
                      ErrorKind Kind, const std::string &Detail) {
  SubmitOutcome Outcome{.m_Ticket = Ticket, .m_Result = {}};
  Outcome.m_Result.set_request_id(RequestId);
  Outcome.m_Result.set_error_kind(std::string(base::errorAnswer(Kind).m_Name));
  Outcome.m_Result.set_detail(Detail);
  m_Results.push_back(std::move(Outcome));
}

void LogVoter::failPending() {
  for (const auto &[Index, Submission] : m_Pending)
    finish(Submission.m_Ticket, m_Store.log().at(Index).command().request_id(),
           ErrorKind::OutcomeUnknown,
           "this ledger lost leadership before the commit; resend with the "
           "same request identifier");
  m_Pending.clear();
}

std::vector<SubmitOutcome> LogVoter::takeResults() {
  return std::exchange(m_Results, {});
}

std::optional<Checkpoint> LogVoter::takeCheckpoint() {
  bool IsDue = m_State.appliedIndex() - m_CheckpointIndex >=
               m_Options.m_CheckpointEntries;
  // The sequence of the journal is unknown until this process has written its
  // first record.
  if (!IsDue || m_Store.lastRecord() == 0)
    return std::nullopt;
  Checkpoint Result{.m_Data = m_Store.checkpoint(m_State.snapshot()),
                    .m_Covered = m_Store.lastRecord()};
  // Entries since the previous checkpoint are retained, so that a voter that
  // lags only a little needs no snapshot.
  m_Store.compactTo(std::max(m_CheckpointIndex, m_Store.log().baseIndex()));
  m_CheckpointIndex = m_State.appliedIndex();
  return Result;
}

LogMessage &LogVoter::send(const InstanceId &To, std::uint64_t AfterRecord,
                           Outbox &Out) {
  messages::Envelope &Envelope = Out.add(To, AfterRecord);
  Envelope.set_sender(m_Options.m_Self.str());
  Envelope.set_recipient(To.str());
  LogMessage &Message = *Envelope.mutable_log();
  Message.set_term(m_Store.term());
  Message.set_identity(m_Store.identity());
  Message.set_voting(m_Store.admitted());
  return Message;
}

base::Duration LogVoter::age(TimePoint Now) const {
  if (isLeader())
    return base::Duration(0);
  // Before the first contact, report an age that makes learners prefer any
  // other source.
  constexpr base::Duration Unknown = std::chrono::hours(1);
  return m_LeaderLastReceivedAt ? Now - *m_LeaderLastReceivedAt : Unknown;
}

} // namespace psp::control
