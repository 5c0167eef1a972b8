// The elections of LogVoter: pre-votes, votes, and the requests by which a
// ledger without a vote takes part in the bootstrap.

#include "control/LogVoter.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::control {

using messages::LogMessage;

void LogVoter::scheduleElection(TimePoint Now) {
  auto Timeout = m_Options.m_ElectionTimeout.count();
  std::uniform_int_distribution<base::Duration::rep> Jitter(0, Timeout);
  m_ElectionAt = Now + base::Duration(Timeout + Jitter(m_Random));
}

void LogVoter::adoptTerm(std::uint64_t Term, TimePoint Now) {
  if (Term <= term())
    return;
  if (isLeader())
    failPending();
  m_Store.setTerm(Term, InstanceId());
  m_Leader = InstanceId();
  if (m_Role.kind() != RoleKind::Follower) {
    m_Role.follow();
    scheduleElection(Now);
  }
}

void LogVoter::follow(const InstanceId &Leader, TimePoint Now) {
  if (isLeader())
    failPending();
  m_Role.follow();
  m_Leader = Leader;
  if (!Leader.empty())
    m_LeaderLastReceivedAt = Now;
  scheduleElection(Now);
}

bool LogVoter::isUpToDate(std::uint64_t LastTerm,
                          std::uint64_t LastIndex) const {
  const VoterLog &Log = m_Store.log();
  if (LastTerm != Log.lastTerm())
    return LastTerm > Log.lastTerm();
  return LastIndex >= Log.lastIndex();
}

bool LogVoter::hasLeaderContact(TimePoint Now) const {
  if (isLeader())
    return true;
  return !m_Leader.empty() && m_LeaderLastReceivedAt &&
         Now - *m_LeaderLastReceivedAt < m_Options.m_ElectionTimeout;
}

bool LogVoter::hasQuorumContact(TimePoint Now) const {
  TimePoint Since = Now - m_Options.m_ElectionTimeout;
  return 1 + m_Progress.countVotersReceivedSince(Since) >= quorum();
}

void LogVoter::startPreVote(TimePoint Now, Outbox &Out) {
  m_Role.startPreVote();
  m_Leader = InstanceId();
  scheduleElection(Now);
  ++m_PreVoteRound;
  m_Votes = {m_Options.m_Self};
  for (const InstanceId &To : m_VoterAdmission.others()) {
    messages::PreVoteRequest &Request =
        *send(To, m_Store.lastRecord(), Out).mutable_pre_vote();
    Request.set_last_index(m_Store.log().lastIndex());
    Request.set_last_term(m_Store.log().lastTerm());
    Request.set_round(m_PreVoteRound);
  }
  if (m_Votes.size() >= quorum())
    startElection(Now, Out);
}

void LogVoter::onPreVote(const InstanceId &From, const LogMessage &Message,
                         TimePoint Now, Outbox &Out) {
  // The sender's term isn't adopted: a pre-vote request must not depose a
  // leader that is still in contact.
  const messages::PreVoteRequest &Request = Message.pre_vote();
  bool Granted = m_Store.admitted() && Message.voting() &&
                 Message.term() >= term() && !hasLeaderContact(Now) &&
                 isUpToDate(Request.last_term(), Request.last_index());
  messages::PreVoteReply &Reply =
      *send(From, m_Store.lastRecord(), Out).mutable_pre_vote_reply();
  Reply.set_round(Request.round());
  Reply.set_granted(Granted);
}

void LogVoter::onPreVoteReply(const InstanceId &From, const LogMessage &Message,
                              TimePoint Now, Outbox &Out) {
  adoptTerm(Message.term(), Now);
  const messages::PreVoteReply &Reply = Message.pre_vote_reply();
  if (m_Role.kind() != RoleKind::PreCandidate || !Reply.granted() ||
      Reply.round() != m_PreVoteRound || !Message.voting())
    return;
  m_Votes.insert(From);
  if (m_Votes.size() >= quorum())
    startElection(Now, Out);
}

void LogVoter::startElection(TimePoint Now, Outbox &Out) {
  m_Role.startElection();
  m_Store.setTerm(term() + 1, m_Options.m_Self);
  m_OwnVoteRecord = m_Store.lastRecord();
  m_Votes.clear();
  scheduleElection(Now);
  for (const InstanceId &To : m_VoterAdmission.others()) {
    messages::VoteRequest &Request =
        *send(To, m_OwnVoteRecord, Out).mutable_vote();
    Request.set_last_index(m_Store.log().lastIndex());
    Request.set_last_term(m_Store.log().lastTerm());
  }
}

void LogVoter::onVote(const InstanceId &From, const LogMessage &Message,
                      TimePoint Now, Outbox &Out) {
  adoptTerm(Message.term(), Now);
  const messages::VoteRequest &Request = Message.vote();
  bool CanVote = m_Store.votedFor().empty() || m_Store.votedFor() == From;
  bool Granted = m_Store.admitted() && Message.voting() &&
                 Message.term() == term() && CanVote &&
                 isUpToDate(Request.last_term(), Request.last_index());
  if (Granted) {
    if (m_Store.votedFor().empty())
      m_Store.setTerm(term(), From);
    scheduleElection(Now);
  }
  send(From, m_Store.lastRecord(), Out)
      .mutable_vote_reply()
      ->set_granted(Granted);
}

void LogVoter::onVoteReply(const InstanceId &From, const LogMessage &Message,
                           TimePoint Now, Outbox &Out) {
  adoptTerm(Message.term(), Now);
  if (m_Role.kind() != RoleKind::Candidate || Message.term() != term() ||
      !Message.vote_reply().granted() || !Message.voting())
    return;
  m_Votes.insert(From);
  countVotes(Now, Out);
}

void LogVoter::countVotes(TimePoint Now, Outbox &Out) {
  if (m_SyncedSequence >= m_OwnVoteRecord)
    m_Votes.insert(m_Options.m_Self);
  if (m_Votes.size() >= quorum())
    becomeLeader(Now, Out);
}

void LogVoter::becomeLeader(TimePoint Now, Outbox &Out) {
  m_Role.winElection();
  m_Leader = m_Options.m_Self;
  m_Progress.reset(m_VoterAdmission.others(), m_Store.log().lastIndex() + 1,
                   Now);
  m_PendingAdmissions.clear();
  m_Pending.clear();
  propose(messages::LogEntry());
  broadcast(Now, Out);
}

void LogVoter::requestStanding(TimePoint Now, Outbox &Out) {
  m_HeartbeatAt = Now + m_Options.m_HeartbeatInterval;
  // The request must not be sent before the identity is durable.
  for (const InstanceId &To : m_VoterAdmission.requestTargets())
    send(To, m_Store.lastRecord(), Out)
        .mutable_standing()
        ->set_identity(m_Store.identity());
}

void LogVoter::onStandingRequest(const InstanceId &From,
                                 const messages::StandingRequest &Request,
                                 Outbox &Out) {
  messages::StandingReply Reply;
  if (m_VoterAdmission.onRequest(From, Request, Reply))
    *send(From, m_Store.lastRecord(), Out).mutable_standing_reply() = Reply;
}

} // namespace psp::control
