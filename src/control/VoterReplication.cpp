// The replication of LogVoter: entries and snapshots from the leader,
// acknowledgements, commits, and the admission of a ledger that lost its disk.

#include "control/LogVoter.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::control {

using messages::LogMessage;

namespace {

/// Throws UserError unless the entries have consecutive indexes after the
/// previous index, and terms that don't decrease.
void checkEntries(const messages::AppendRequest &Request) {
  std::uint64_t Index = Request.previous_index();
  std::uint64_t Term = Request.previous_term();
  for (const messages::LogEntry &Entry : Request.entries()) {
    if (Entry.index() != Index + 1 || Entry.term() < Term)
      throw base::UserError(base::ErrorKind::BadRequest,
                            "log: expected entry " + std::to_string(Index + 1) +
                                ", found " + std::to_string(Entry.index()));
    Index = Entry.index();
    Term = Entry.term();
  }
}

} // namespace

std::uint64_t LogVoter::propose(messages::LogEntry Entry) {
  std::uint64_t Index = m_Store.log().lastIndex() + 1;
  Entry.set_index(Index);
  Entry.set_term(term());
  m_Store.append(Entry);
  return Index;
}

void LogVoter::broadcast(TimePoint Now, Outbox &Out) {
  m_HeartbeatAt = Now + m_Options.m_HeartbeatInterval;
  for (const InstanceId &To : m_VoterAdmission.others())
    sendAppend(To, Now, Out);
}

void LogVoter::sendAppend(const InstanceId &To, TimePoint Now, Outbox &Out) {
  PeerProgress &Peer = m_Progress.at(To);
  std::uint64_t Previous = Peer.m_Next - 1;
  std::optional<std::uint64_t> PreviousTerm = m_Store.log().termAt(Previous);
  if (!PreviousTerm) {
    sendSnapshot(To, Now, Out);
    // A heartbeat that makes no statement about the log.
    send(To, 0, Out).mutable_append();
    return;
  }
  // Entries may be sent before they are durable here, because this voter's
  // own copy counts only once it is durable.
  messages::AppendRequest &Request = *send(To, 0, Out).mutable_append();
  Request.set_previous_index(Previous);
  Request.set_previous_term(*PreviousTerm);
  Request.set_commit_index(commitIndex());
  m_Store.log().copyTo(Peer.m_Next, m_Store.log().lastIndex(),
                       *Request.mutable_entries());
  Peer.m_Next += static_cast<std::uint64_t>(Request.entries_size());
  auto Proposed = m_PendingAdmissions.find(To);
  if (Proposed == m_PendingAdmissions.end() ||
      Proposed->second.m_Index > commitIndex())
    return;
  Request.mutable_admission()->set_identity(Proposed->second.m_Identity);
  Request.mutable_admission()->set_index(Proposed->second.m_Index);
}

void LogVoter::sendEntries(const InstanceId &To, TimePoint Now, Outbox &Out) {
  std::uint64_t Next = m_Progress.at(To).m_Next;
  // A snapshot is sent only with the next heartbeat, so that the replies of a
  // peer that waits for one don't each trigger another message.
  if (Next <= lastIndex() && m_Store.log().termAt(Next - 1))
    sendAppend(To, Now, Out);
}

void LogVoter::sendSnapshot(const InstanceId &To, TimePoint Now, Outbox &Out) {
  PeerProgress &Peer = m_Progress.at(To);
  if (Peer.m_SnapshotSentAt &&
      Now - *Peer.m_SnapshotSentAt < m_Options.m_ElectionTimeout)
    return;
  Peer.m_SnapshotSentAt = Now;
  messages::SnapshotRequest &Request = *send(To, 0, Out).mutable_snapshot();
  *Request.mutable_snapshot() = m_State.snapshot();
  Request.set_last_term(m_Store.log().termAt(commitIndex()).value());
}

void LogVoter::onAppend(const InstanceId &From, const LogMessage &Message,
                        TimePoint Now, Outbox &Out) {
  const messages::AppendRequest &Request = Message.append();
  checkEntries(Request);
  adoptTerm(Message.term(), Now);
  const VoterLog &Log = m_Store.log();
  bool Accepted = false;
  if (Message.term() == term()) {
    base::checkInvariant(!isLeader(), "two leaders in one term");
    follow(From, Now);
    std::uint64_t Previous = Request.previous_index();
    // Entries before the base of the log are committed, so they match.
    Accepted = Previous < Log.baseIndex() ||
               Log.termAt(Previous) == Request.previous_term();
  }
  std::uint64_t Match = Request.previous_index() +
                        static_cast<std::uint64_t>(Request.entries_size());
  if (Accepted) {
    appendEntries(Request);
    applyUpTo(std::min(Request.commit_index(), Match));
    acceptAdmission(From, Request.admission(), Match);
  }
  messages::AppendReply &Reply =
      *send(From, m_Store.lastRecord(), Out).mutable_append_reply();
  Reply.set_accepted(Accepted);
  if (Accepted)
    Reply.set_match_index(Match);
  else
    Reply.set_hint_index(Request.previous_index() > Log.lastIndex()
                             ? Log.lastIndex()
                             : commitIndex());
}

void LogVoter::appendEntries(const messages::AppendRequest &Request) {
  const VoterLog &Log = m_Store.log();
  for (const messages::LogEntry &Entry : Request.entries()) {
    if (Entry.index() <= Log.baseIndex() ||
        Log.termAt(Entry.index()) == Entry.term())
      continue;
    if (Entry.index() <= Log.lastIndex()) {
      base::checkInvariant(Entry.index() > commitIndex(),
                           "a committed entry would be replaced");
      m_Store.truncateFrom(Entry.index());
    }
    m_Store.append(Entry);
  }
}

void LogVoter::acceptAdmission(const InstanceId &Leader,
                               const messages::Admission &Admission,
                               std::uint64_t MatchIndex) {
  if (m_Store.admitted() || Admission.identity() != m_Store.identity() ||
      Admission.index() > MatchIndex)
    return;
  // The lost vote of this term may have gone to another candidate, so the vote
  // is recorded as given to the leader.
  m_Store.setTerm(term(), Leader);
  messages::IdentityRecord Record = m_Store.identityRecord();
  Record.set_admitted(true);
  m_Store.setIdentity(Record);
}

void LogVoter::onAppendReply(const InstanceId &From, const LogMessage &Message,
                             TimePoint Now, Outbox &Out) {
  adoptTerm(Message.term(), Now);
  if (!isLeader() || Message.term() != term())
    return;
  const messages::AppendReply &Reply = Message.append_reply();
  if (Reply.accepted() && Reply.match_index() > lastIndex())
    throw base::UserError(base::ErrorKind::BadRequest,
                          "log: expected a match up to " +
                              std::to_string(lastIndex()) + ", found " +
                              std::to_string(Reply.match_index()));
  PeerProgress &Peer = m_Progress.at(From);
  Peer.m_LastReceivedAt = Now;
  Peer.m_IsVoting = Message.voting();
  if (!Message.voting())
    proposeAdmission(From, Message.identity(), Now, Out);
  if (!Reply.accepted()) {
    Peer.m_Next = std::min(Peer.m_Next, Reply.hint_index() + 1);
    sendEntries(From, Now, Out);
    return;
  }
  Peer.m_Next = std::max(Peer.m_Next, Reply.match_index() + 1);
  if (Message.voting())
    Peer.m_VotingMatch = std::max(Peer.m_VotingMatch, Reply.match_index());
  advanceCommit(Now, Out);
  if (isLeader())
    sendEntries(From, Now, Out);
}

void LogVoter::proposeAdmission(const InstanceId &Peer,
                                const std::string &Identity, TimePoint Now,
                                Outbox &Out) {
  if (Identity.empty() || m_PendingAdmissions[Peer].m_Identity == Identity)
    return;
  messages::LogEntry Entry;
  Entry.mutable_member()->set_instance(Peer.str());
  Entry.mutable_member()->set_identity(Identity);
  m_PendingAdmissions[Peer] = {.m_Identity = Identity,
                               .m_Index = propose(std::move(Entry))};
  broadcast(Now, Out);
}

void LogVoter::advanceCommit(TimePoint Now, Outbox &Out) {
  std::uint64_t Index = m_Progress.quorumIndex(quorum(), m_Store.syncedIndex());
  // Entries of older terms are committed only together with the first entry of
  // this term.
  if (Index <= commitIndex() || m_Store.log().termAt(Index) != term())
    return;
  applyUpTo(Index);
  broadcast(Now, Out);
  m_Feed.onTick(m_State, age(Now), Now, Out);
}

void LogVoter::applyUpTo(std::uint64_t Index) {
  while (commitIndex() < Index) {
    const messages::LogEntry &Entry = m_Store.log().at(commitIndex() + 1);
    messages::ControlResult Result =
        m_State.apply(Entry.index(), Entry.command());
    m_Feed.add(Entry, m_State);
    auto Submission = m_Pending.find(Entry.index());
    if (Submission == m_Pending.end())
      continue;
    base::checkInvariant(Submission->second.m_Term == Entry.term(),
                         "a submission's entry was replaced");
    m_Results.push_back({.m_Ticket = Submission->second.m_Ticket,
                         .m_Result = std::move(Result)});
    m_Pending.erase(Submission);
  }
}

void LogVoter::onSnapshot(const InstanceId &From, const LogMessage &Message,
                          TimePoint Now, Outbox &Out) {
  const messages::SnapshotRequest &Request = Message.snapshot();
  ControlState Received;
  Received.restore(Request.snapshot());
  adoptTerm(Message.term(), Now);
  bool Accepted = Message.term() == term();
  if (Accepted) {
    base::checkInvariant(!isLeader(), "two leaders in one term");
    follow(From, Now);
    if (Received.appliedIndex() > commitIndex()) {
      m_State = std::move(Received);
      m_Store.install(Request.snapshot(), Request.last_term());
      m_Feed.reset(m_State);
      m_CheckpointIndex = m_State.appliedIndex();
    }
  }
  messages::AppendReply &Reply =
      *send(From, m_Store.lastRecord(), Out).mutable_append_reply();
  Reply.set_accepted(Accepted);
  Reply.set_match_index(Accepted ? Request.snapshot().applied_index() : 0);
}

} // namespace psp::control
