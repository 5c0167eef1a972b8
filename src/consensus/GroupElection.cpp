#include "consensus/Group.h"

#include <algorithm>

namespace psp::consensus {

void Group::scheduleElection(base::TimePoint Now) {
  const base::Duration MinDelay = m_HasSeenLeader
                                      ? m_Options.m_ElectionTimeout
                                      : m_Options.m_InitialElectionTimeout;
  std::uniform_int_distribution<std::int64_t> ExtraDelay(0, MinDelay.count());
  m_ElectionAt = Now + MinDelay + base::Duration(ExtraDelay(m_Random));
}

void Group::adoptTerm(std::uint64_t Term, base::TimePoint Now) {
  if (m_Role != GroupRole::Follower)
    stepDown(Now);
  m_Leader.clear();
  m_Log.setTerm(Term, "");
}

void Group::stepDown(base::TimePoint Now) {
  m_Role = GroupRole::Follower;
  m_Leader.clear();
  m_LastReceivedFromLeaderAt.reset();
  m_TransferUntil.reset();
  m_Progress.clear();
  m_Learners.clear();
  m_Reads.clear();
  m_PreVotes.clear();
  m_Votes.clear();
  scheduleElection(Now);
}

void Group::startPreVote(base::TimePoint Now) {
  // After a split vote the candidate becomes a follower again, since a
  // candidate ignores replies to pre-vote requests.
  m_Role = GroupRole::Follower;
  m_Votes.clear();
  m_Leader.clear();
  m_PreVotes = {identity()};
  requestVotes(true, false);
  if (m_PreVotes.size() >= majority())
    startElection(false, Now);
}

void Group::startElection(bool Transfer, base::TimePoint Now) {
  m_Role = GroupRole::Candidate;
  m_Leader.clear();
  m_PreVotes.clear();
  m_Votes = {identity()};
  m_OwnVoteSynced = false;
  m_Log.setTerm(m_Log.term() + 1, identity());
  scheduleElection(Now);
  requestVotes(false, Transfer);
}

void Group::requestVotes(bool PreVote, bool Transfer) {
  for (const Member &Voter : membership().members()) {
    if (Voter.id() == identity())
      continue;
    auto &Request = *send(Voter.id()).mutable_vote_request();
    Request.set_trial(PreVote);
    Request.set_handover(Transfer);
    Request.set_last_index(m_Log.lastIndex());
    Request.set_last_term(m_Log.lastTerm());
  }
}

void Group::onVoteRequest(const Message &Received, base::TimePoint Now) {
  const auto &Request = Received.vote_request();
  // A member that is in contact with a leader doesn't support an election
  // unless the leader itself has asked for it.
  const bool KeepsLeader = hasLeaderContact(Now) && !Request.handover();
  const bool UpToDate = isUpToDate(Request.last_index(), Request.last_term());
  if (Request.trial()) {
    auto &Reply = *send(Received.from()).mutable_vote_reply();
    Reply.set_trial(true);
    Reply.set_granted(!KeepsLeader && UpToDate &&
                      Received.term() >= m_Log.term());
    return;
  }
  if (KeepsLeader && Received.term() > m_Log.term())
    return;
  if (Received.term() > m_Log.term())
    adoptTerm(Received.term(), Now);
  const bool VoteAvailable =
      m_Log.vote().empty() || m_Log.vote() == Received.from();
  const bool Granted = Received.term() == m_Log.term() && VoteAvailable &&
                       UpToDate && !isLeader();
  if (Granted) {
    if (m_Log.vote().empty())
      m_Log.setTerm(m_Log.term(), Received.from());
    scheduleElection(Now);
  }
  send(Received.from()).mutable_vote_reply()->set_granted(Granted);
}

void Group::onVoteReply(const Message &Received, base::TimePoint Now,
                        std::uint64_t WallMs) {
  const auto &Reply = Received.vote_reply();
  if (!Reply.granted() || !isMember(Received.from()))
    return;
  if (Reply.trial()) {
    if (m_Role != GroupRole::Follower || m_PreVotes.empty())
      return;
    m_PreVotes.insert(Received.from());
    if (m_PreVotes.size() >= majority())
      startElection(false, Now);
    return;
  }
  if (m_Role != GroupRole::Candidate || Received.term() != m_Log.term())
    return;
  m_Votes.insert(Received.from());
  countVotes(Now, WallMs);
}

void Group::countVotes(base::TimePoint Now, std::uint64_t WallMs) {
  if (m_OwnVoteSynced && m_Votes.size() >= majority())
    becomeLeader(Now, WallMs);
}

void Group::becomeLeader(base::TimePoint Now, std::uint64_t WallMs) {
  m_Role = GroupRole::Leader;
  m_Leader = identity();
  m_HasSeenLeader = true;
  m_Votes.clear();
  m_Progress.clear();
  m_Learners.clear();
  for (const Member &Voter : membership().members())
    progressOf(Voter.id()).m_LastReceivedAt = Now;
  m_TermStartIndex = appendEntry({}, WallMs);
  broadcast(Now);
}

bool Group::isUpToDate(std::uint64_t Index, std::uint64_t Term) const {
  if (Term != m_Log.lastTerm())
    return Term > m_Log.lastTerm();
  return Index >= m_Log.lastIndex();
}

bool Group::hasLeaderContact(base::TimePoint Now) const {
  if (isLeader())
    return true;
  return !m_Leader.empty() && m_LastReceivedFromLeaderAt &&
         Now - *m_LastReceivedFromLeaderAt < m_Options.m_ElectionTimeout;
}

bool Group::hasMajorityContact(base::TimePoint Now) const {
  const base::Duration Limit = 2 * m_Options.m_ElectionTimeout;
  std::size_t ContactCount = 0;
  for (const Member &Voter : membership().members()) {
    const auto It = m_Progress.find(Voter.id());
    const bool Recent = It != m_Progress.end() && It->second.m_LastReceivedAt &&
                        Now - *It->second.m_LastReceivedAt < Limit;
    ContactCount += Voter.id() == identity() || Recent ? 1 : 0;
  }
  return ContactCount >= majority();
}

} // namespace psp::consensus
