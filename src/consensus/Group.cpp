#include "consensus/Group.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::consensus {

namespace {

/// Number of committed entries that a node may lack and still count as caught
/// up, so that it may become a member.
constexpr std::uint64_t MaxMissingEntries = 64;

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
      m_Log(Store, Options.m_Number, Options.m_MaxCachedBytes),
      m_Random(Options.m_Seed) {}

void Group::restore(std::uint64_t Sequence, GroupLog::Record Content) {
  m_Log.restore(Sequence, std::move(Content));
}

void Group::start(const std::string &Identity, const base::Now &Now) {
  m_Identity = Identity;
  if (const auto Restored = m_Log.takeRestoredSnapshot()) {
    m_Machine.restore(Restored->state());
    m_SnapshotBytes = Restored->state().size();
    m_AppliedIndex = Restored->index();
  } else if (m_Log.baseIndex() > 0) {
    throw base::UserError(base::ErrorKind::Internal,
                          "group " + std::to_string(m_Options.m_Number) +
                              ": expected a snapshot before entry " +
                              std::to_string(m_Log.firstIndex()) +
                              ", found none in the journal");
  }
  apply(std::min(m_Log.knownCommit(), m_Log.lastIndex()));
  m_CommitIndex = m_AppliedIndex;
  m_SyncedIndex = m_Log.lastIndex();
  scheduleElection(Now.m_Monotonic);
}

void Group::bootstrap(const Membership &InitialMembers, const base::Now &Now) {
  if (hasState() || m_Log.term() > 0)
    return;
  // All initial members write the same first entry, so no election is needed to
  // agree on it.
  messages::fleet::GroupEntry First;
  First.set_index(1);
  *First.mutable_membership() = InitialMembers;
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
    if (m_TransferUntil && Time >= *m_TransferUntil)
      m_TransferUntil.reset();
    if (!hasMajorityContact(Time)) {
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
  // A member that lacks entries that its state refers to couldn't lead.
  if (isMember() && m_Log.lastIndex() >= m_CommitIndex)
    startPreVote(Time);
}

base::TimePoint Group::nextTimer() const {
  return isLeader() ? m_HeartbeatAt : m_ElectionAt;
}

void Group::onSynced(const base::Now &Now) {
  m_SyncedIndex = m_Log.lastIndex();
  m_Log.onSynced();
  m_OwnVoteSynced = true;
  if (m_Role == GroupRole::Candidate)
    countVotes(Now.m_Monotonic, millisecondsOf(Now.m_Wall));
  if (isLeader())
    advanceCommit(Now.m_Monotonic);
}

std::optional<std::uint64_t> Group::propose(const std::string &Command,
                                            const base::Now &Now) {
  if (!isLeader() || m_TransferUntil)
    return std::nullopt;
  messages::fleet::GroupEntry Entry;
  Entry.set_command(Command);
  const std::uint64_t Index =
      appendEntry(std::move(Entry), millisecondsOf(Now.m_Wall));
  return Index;
}

std::optional<std::uint64_t> Group::beginRead(const base::Now &Now) {
  if (!isEstablishedLeader())
    return std::nullopt;
  const std::uint64_t Ticket = m_NextReadTicket++;
  ++m_Round;
  m_Reads.push_back(
      {.m_Ticket = Ticket, .m_Round = m_Round, .m_Index = m_CommitIndex});
  broadcast(Now.m_Monotonic);
  advanceReads();
  return Ticket;
}

std::vector<std::uint64_t> Group::takeReadyReads() {
  return std::exchange(m_ReadyReads, {});
}

bool Group::changeMembership(const Membership &Next, const base::Now &Now) {
  if (!isEstablishedLeader() || m_Log.membershipIndex() > m_CommitIndex)
    return false;
  messages::fleet::GroupEntry Entry;
  *Entry.mutable_membership() = Next;
  appendEntry(std::move(Entry), millisecondsOf(Now.m_Wall));
  return true;
}

void Group::setLearners(const std::set<std::string> &Identities) {
  if (!isLeader() || Identities == m_Learners)
    return;
  m_Learners = Identities;
}

void Group::transferLeadership(const base::Now &Now) {
  if (!isLeader())
    return;
  std::vector<std::string> Successors;
  std::uint64_t Match = m_CommitIndex;
  for (const Member &Voter : membership().members()) {
    const auto It = m_Progress.find(Voter.id());
    if (Voter.id() == identity() || It == m_Progress.end() ||
        It->second.m_Match < Match)
      continue;
    if (It->second.m_Match > Match)
      Successors.clear();
    Match = It->second.m_Match;
    Successors.push_back(Voter.id());
  }
  if (Successors.empty())
    return;
  const std::string &Successor = Successors[m_Random() % Successors.size()];
  sendAppend(Successor, Now.m_Monotonic);
  send(Successor, true).set_elect_now(true);
  m_TransferUntil = Now.m_Monotonic + m_Options.m_TransferPause;
}

std::vector<Group::Message> Group::takeImmediateMessages(const base::Now &Now) {
  // Entries proposed since the last call are sent in one batch.
  if (isLeader())
    sendNewEntries(Now.m_Monotonic);
  return std::exchange(m_ImmediateMessages, {});
}

std::vector<Group::Message> Group::takeMessages() {
  return std::exchange(m_Outbox, {});
}

bool Group::isEstablishedLeader() const {
  return isLeader() && m_CommitIndex >= m_TermStartIndex && !m_TransferUntil;
}

bool Group::isCaughtUp(const std::string &Identity) const {
  const auto It = m_Progress.find(Identity);
  return It != m_Progress.end() && It->second.m_LastReceivedAt &&
         It->second.m_Match + MaxMissingEntries >= m_CommitIndex;
}

std::optional<base::TimePoint>
Group::lastReceivedAt(const std::string &Identity) const {
  const auto It = m_Progress.find(Identity);
  return It == m_Progress.end() ? std::nullopt : It->second.m_LastReceivedAt;
}

void Group::leave(base::TimePoint Now) {
  stepDown(Now);
  m_Log.leave();
  m_Machine.restore({});
  m_AppliedIndex = 0;
  m_CommitIndex = 0;
  m_IsCurrent = false;
}

bool Group::isMember(const std::string &Identity) const {
  return std::ranges::any_of(membership().members(), [&](const Member &Voter) {
    return Voter.id() == Identity;
  });
}

std::size_t Group::majority() const {
  return static_cast<std::size_t>(membership().members_size()) / 2 + 1;
}

Group::Message &Group::send(const std::string &To, bool Immediate) {
  Message &Next = (Immediate ? m_ImmediateMessages : m_Outbox).emplace_back();
  Next.set_number(m_Options.m_Number);
  Next.set_from(identity());
  Next.set_to(To);
  Next.set_term(m_Log.term());
  return Next;
}

} // namespace psp::consensus
