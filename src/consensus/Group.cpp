#include "consensus/Group.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::consensus {

namespace {

/// Entries that a node may lack and still take a member's place at once.
constexpr std::uint64_t CaughtUpEntries = 64;

std::uint64_t millisecondsOf(base::WallTime Wall) { return Wall / 1000; }

} // namespace

std::string_view roleName(GroupRole Role) {
  switch (Role) {
  case GroupRole::Follower:
    return "follower";
  case GroupRole::Candidate:
    return "candidate";
  case GroupRole::Leader:
    return "leader";
  }
  return "unknown";
}

Group::Group(GroupOptions Options, base::RecordStore &Store,
             StateMachine &Machine)
    : m_Options(Options), m_Machine(Machine),
      m_Log(Store, Options.m_Number, Options.m_MemoryBytes),
      m_Random(Options.m_Seed) {}

void Group::restore(std::uint64_t Sequence, GroupLog::Record Known) {
  m_Log.restore(Sequence, std::move(Known));
}

void Group::start(const std::string &Identity, const base::Now &Now) {
  m_Identity = Identity;
  if (const auto Restored = m_Log.takeRestored()) {
    m_Machine.restore(Restored->state());
    m_SnapshotBytes = Restored->state().size();
    m_Applied = Restored->index();
  } else if (m_Log.baseIndex() > 0) {
    throw base::UserError(base::ErrorKind::Internal,
                          "group " + std::to_string(m_Options.m_Number) +
                              ": expected a snapshot before entry " +
                              std::to_string(m_Log.firstIndex()) +
                              ", found none in the journal");
  }
  apply(std::min(m_Log.knownCommit(), m_Log.lastIndex()));
  m_Commit = m_Applied;
  m_Synced = m_Log.lastIndex();
  scheduleElection(Now.m_Monotonic);
}

void Group::found(const Membership &Founders, const base::Now &Now) {
  if (hasHistory() || m_Log.term() > 0)
    return;
  // Every founder writes the same first entry, so no term needs to agree on it.
  messages::fleet::GroupEntry First;
  First.set_index(1);
  *First.mutable_membership() = Founders;
  m_Log.append(std::move(First));
  scheduleElection(Now.m_Monotonic);
}

void Group::onMessage(const Message &Received, const base::Now &Now) {
  if (Received.to() != identity())
    return;
  const base::TimePoint Time = Now.m_Monotonic;
  if (Received.has_vote_request()) {
    onVoteRequest(Received, Time);
    return;
  }
  if (Received.term() > m_Log.term())
    adoptTerm(Received.term(), Time);
  if (Received.has_vote_reply())
    onVoteReply(Received, Time, millisecondsOf(Now.m_Wall));
  else if (Received.has_append())
    onAppend(Received, Time);
  else if (Received.has_append_reply())
    onAppendReply(Received, Time);
  else if (Received.has_snapshot())
    onSnapshot(Received, Time);
  else if (Received.elect_now() && Received.term() == m_Log.term() &&
           isMember())
    startElection(true, Time);
}

void Group::onTimer(const base::Now &Now) {
  const base::TimePoint Time = Now.m_Monotonic;
  if (isLeader()) {
    if (m_HandingOverUntil && Time >= *m_HandingOverUntil)
      m_HandingOverUntil.reset();
    if (!hearsMajority(Time)) {
      stepDown(Time);
      return;
    }
    if (Time >= m_HeartbeatAt)
      broadcast(Time);
    return;
  }
  if (Time < m_ElectionAt)
    return;
  scheduleElection(Time);
  // Without the entries that its state refers to it couldn't lead.
  if (isMember() && m_Log.lastIndex() >= m_Commit)
    startTrial(Time);
}

base::TimePoint Group::nextTimer() const {
  return isLeader() ? m_HeartbeatAt : m_ElectionAt;
}

void Group::onSynced(const base::Now &Now) {
  m_Synced = m_Log.lastIndex();
  m_Log.onSynced();
  m_OwnVoteSynced = true;
  if (m_Role == GroupRole::Candidate)
    countVotes(Now.m_Monotonic, millisecondsOf(Now.m_Wall));
  if (isLeader())
    advanceCommit(Now.m_Monotonic);
}

std::optional<std::uint64_t> Group::propose(const std::string &Command,
                                            const base::Now &Now) {
  if (!isLeader() || m_HandingOverUntil)
    return std::nullopt;
  messages::fleet::GroupEntry Entry;
  Entry.set_command(Command);
  const std::uint64_t Index =
      appendOwn(std::move(Entry), millisecondsOf(Now.m_Wall));
  return Index;
}

std::optional<std::uint64_t> Group::beginRead(const base::Now &Now) {
  if (!isSettledLeader())
    return std::nullopt;
  const std::uint64_t Ticket = m_NextRead++;
  ++m_Round;
  m_Reads.push_back(
      {.m_Ticket = Ticket, .m_Round = m_Round, .m_Index = m_Commit});
  broadcast(Now.m_Monotonic);
  advanceReads();
  return Ticket;
}

std::vector<std::uint64_t> Group::takeReads() {
  return std::exchange(m_ReadyReads, {});
}

bool Group::changeMembership(const Membership &Next, const base::Now &Now) {
  if (!isSettledLeader() || m_Log.membershipIndex() > m_Commit)
    return false;
  messages::fleet::GroupEntry Entry;
  *Entry.mutable_membership() = Next;
  appendOwn(std::move(Entry), millisecondsOf(Now.m_Wall));
  return true;
}

void Group::setLearners(const std::set<std::string> &Identities) {
  if (!isLeader() || Identities == m_Learners)
    return;
  m_Learners = Identities;
}

void Group::handOver(const base::Now &Now) {
  if (!isLeader())
    return;
  std::vector<std::string> Best;
  std::uint64_t Match = m_Commit;
  for (const Member &Each : membership().members()) {
    const auto Found = m_Progress.find(Each.id());
    if (Each.id() == identity() || Found == m_Progress.end() ||
        Found->second.m_Match < Match)
      continue;
    if (Found->second.m_Match > Match)
      Best.clear();
    Match = Found->second.m_Match;
    Best.push_back(Each.id());
  }
  if (Best.empty())
    return;
  const std::string &BestMember = Best[m_Random() % Best.size()];
  sendAppend(BestMember, Now.m_Monotonic);
  send(BestMember, true).set_elect_now(true);
  m_HandingOverUntil = Now.m_Monotonic + m_Options.m_HandOverPause;
}

std::vector<Group::Message> Group::takeEarly(const base::Now &Now) {
  // Whatever was proposed since the last call leaves together.
  if (isLeader())
    sendNews(Now.m_Monotonic);
  return std::exchange(m_Early, {});
}

std::vector<Group::Message> Group::takeMessages() {
  return std::exchange(m_Outbox, {});
}

bool Group::isSettledLeader() const {
  return isLeader() && m_Commit >= m_TermStart && !m_HandingOverUntil;
}

bool Group::isCaughtUp(const std::string &Identity) const {
  const auto Found = m_Progress.find(Identity);
  return Found != m_Progress.end() && Found->second.m_Heard &&
         Found->second.m_Match + CaughtUpEntries >= m_Commit;
}

std::optional<base::TimePoint>
Group::lastHeard(const std::string &Identity) const {
  const auto Found = m_Progress.find(Identity);
  return Found == m_Progress.end() ? std::nullopt : Found->second.m_Heard;
}

void Group::leave(base::TimePoint Now) {
  stepDown(Now);
  m_Log.leave();
  m_Machine.restore({});
  m_Applied = 0;
  m_Commit = 0;
  m_IsCurrent = false;
}

bool Group::isMember(const std::string &Identity) const {
  return std::ranges::any_of(membership().members(), [&](const Member &Each) {
    return Each.id() == Identity;
  });
}

std::size_t Group::majority() const {
  return static_cast<std::size_t>(membership().members_size()) / 2 + 1;
}

Group::Message &Group::send(const std::string &To, bool Early) {
  Message &Next = (Early ? m_Early : m_Outbox).emplace_back();
  Next.set_number(m_Options.m_Number);
  Next.set_from(identity());
  Next.set_to(To);
  Next.set_term(m_Log.term());
  return Next;
}

} // namespace psp::consensus
