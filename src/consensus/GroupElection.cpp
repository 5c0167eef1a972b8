#include "consensus/Group.h"

#include <algorithm>

namespace psp::consensus {

void Group::scheduleElection(base::TimePoint Now) {
  const base::Duration Least = m_HeardSinceStart ? m_Options.m_ElectionTimeout
                                                 : m_Options.m_StartTimeout;
  std::uniform_int_distribution<std::int64_t> Extra(0, Least.count());
  m_ElectionAt = Now + Least + base::Duration(Extra(m_Random));
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
  m_HeardLeader.reset();
  m_HandingOverUntil.reset();
  m_Progress.clear();
  m_Learners.clear();
  m_Reads.clear();
  m_TrialVotes.clear();
  m_Votes.clear();
  scheduleElection(Now);
}

void Group::startTrial(base::TimePoint Now) {
  // A candidate whose votes were split begins anew: as a candidate it would
  // ignore the answers.
  m_Role = GroupRole::Follower;
  m_Votes.clear();
  m_Leader.clear();
  m_TrialVotes = {identity()};
  askVotes(true, false);
  if (m_TrialVotes.size() >= majority())
    startElection(false, Now);
}

void Group::startElection(bool Handover, base::TimePoint Now) {
  m_Role = GroupRole::Candidate;
  m_Leader.clear();
  m_TrialVotes.clear();
  m_Votes = {identity()};
  m_OwnVoteSynced = false;
  m_Log.setTerm(m_Log.term() + 1, identity());
  scheduleElection(Now);
  askVotes(false, Handover);
}

void Group::askVotes(bool Trial, bool Handover) {
  for (const Member &Each : membership().members()) {
    if (Each.id() == identity())
      continue;
    auto &Request = *send(Each.id()).mutable_vote_request();
    Request.set_trial(Trial);
    Request.set_handover(Handover);
    Request.set_last_index(m_Log.lastIndex());
    Request.set_last_term(m_Log.lastTerm());
  }
}

void Group::onVoteRequest(const Message &Received, base::TimePoint Now) {
  const auto &Request = Received.vote_request();
  // A member that still hears a leader isn't talked into an election.
  const bool Calm = hearsLeader(Now) && !Request.handover();
  const bool UpToDate = isUpToDate(Request.last_index(), Request.last_term());
  if (Request.trial()) {
    auto &Reply = *send(Received.from()).mutable_vote_reply();
    Reply.set_trial(true);
    Reply.set_granted(!Calm && UpToDate && Received.term() >= m_Log.term());
    return;
  }
  if (Calm && Received.term() > m_Log.term())
    return;
  if (Received.term() > m_Log.term())
    adoptTerm(Received.term(), Now);
  const bool Free = m_Log.vote().empty() || m_Log.vote() == Received.from();
  const bool Granted =
      Received.term() == m_Log.term() && Free && UpToDate && !isLeader();
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
    if (m_Role != GroupRole::Follower || m_TrialVotes.empty())
      return;
    m_TrialVotes.insert(Received.from());
    if (m_TrialVotes.size() >= majority())
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
  m_HeardSinceStart = true;
  m_Votes.clear();
  m_Progress.clear();
  m_Learners.clear();
  for (const Member &Each : membership().members())
    progressOf(Each.id()).m_Heard = Now;
  m_TermStart = appendOwn({}, WallMs);
  broadcast(Now);
}

bool Group::isUpToDate(std::uint64_t Index, std::uint64_t Term) const {
  if (Term != m_Log.lastTerm())
    return Term > m_Log.lastTerm();
  return Index >= m_Log.lastIndex();
}

bool Group::hearsLeader(base::TimePoint Now) const {
  if (isLeader())
    return true;
  return !m_Leader.empty() && m_HeardLeader &&
         Now - *m_HeardLeader < m_Options.m_ElectionTimeout;
}

bool Group::hearsMajority(base::TimePoint Now) const {
  const base::Duration Limit = 2 * m_Options.m_ElectionTimeout;
  std::size_t Heard = 0;
  for (const Member &Each : membership().members()) {
    const auto Found = m_Progress.find(Each.id());
    const bool Recent = Found != m_Progress.end() && Found->second.m_Heard &&
                        Now - *Found->second.m_Heard < Limit;
    Heard += Each.id() == identity() || Recent ? 1 : 0;
  }
  return Heard >= majority();
}

} // namespace psp::consensus
