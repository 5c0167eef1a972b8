#include "consensus/Group.h"

#include "base/Error.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace psp::consensus {

std::set<std::string> Group::receivers() const {
  std::set<std::string> Receivers = m_Learners;
  for (const Member &Voter : membership().members())
    Receivers.insert(Voter.id());
  Receivers.erase(identity());
  return Receivers;
}

std::uint64_t Group::appendEntry(messages::fleet::GroupEntry Entry,
                                 std::uint64_t WallMs) {
  Entry.set_term(m_Log.term());
  Entry.set_index(m_Log.lastIndex() + 1);
  Entry.set_wall_ms(WallMs);
  m_Log.append(std::move(Entry));
  return m_Log.lastIndex();
}

void Group::broadcast(base::TimePoint Now) {
  // Heartbeats are aligned to multiples of the interval, so that all groups
  // that this process leads send them together.
  const auto SinceGrid = Now.time_since_epoch() % m_Options.m_HeartbeatInterval;
  m_HeartbeatAt = Now + m_Options.m_HeartbeatInterval - SinceGrid;
  for (const std::string &Receiver : receivers())
    sendAppend(Receiver, Now);
}

void Group::sendNewEntries(base::TimePoint Now) {
  for (const std::string &Receiver : receivers()) {
    const Progress &Peer = progressOf(Receiver);
    if (Peer.m_Next <= m_Log.lastIndex() &&
        bytesInFlight(Peer) < m_Options.m_MaxInFlightBytes)
      sendAppend(Receiver, Now);
  }
}

Group::Progress &Group::progressOf(const std::string &Identity) {
  const auto [It, IsNew] = m_Progress.try_emplace(Identity);
  if (IsNew) {
    It->second.m_Next = m_Log.lastIndex() + 1;
    It->second.m_AssumedMatch = m_Log.lastIndex();
  }
  return It->second;
}

void Group::sendAppend(const std::string &To, base::TimePoint Now) {
  Progress &Peer = progressOf(To);
  const bool ResendDue = Peer.m_Next > Peer.heldIndex() + 1 &&
                         Now - Peer.m_SentAt > m_Options.m_ResendInterval;
  if (ResendDue)
    Peer.m_Next = Peer.heldIndex() + 1;
  Peer.m_Next = std::max<std::uint64_t>(Peer.m_Next, 1);
  const auto PreviousTerm = m_Log.termAt(Peer.m_Next - 1);
  if (!PreviousTerm) {
    if (Now - Peer.m_SnapshotAt > m_Options.m_SnapshotResendInterval) {
      Peer.m_SnapshotAt = Now;
      sendSnapshot(To);
    }
    return;
  }
  auto &Append = *send(To, true).mutable_append();
  Append.set_previous_index(Peer.m_Next - 1);
  Append.set_previous_term(*PreviousTerm);
  Append.set_commit(m_CommitIndex);
  Append.set_round(m_Round);
  std::uint64_t Bytes = 0;
  const std::uint64_t InFlightBytes = bytesInFlight(Peer);
  while (Peer.m_Next <= m_Log.lastIndex() &&
         Bytes < m_Options.m_MaxBatchBytes &&
         InFlightBytes + Bytes < m_Options.m_MaxInFlightBytes) {
    Bytes += m_Log.bytesAt(Peer.m_Next);
    *Append.add_entries() = m_Log.read(Peer.m_Next++);
  }
  Peer.m_SentBytes = InFlightBytes + Bytes;
  if (Append.entries_size() > 0 || ResendDue)
    Peer.m_SentAt = Now;
}

void Group::sendSnapshot(const std::string &To) {
  *send(To, true).mutable_snapshot() = makeSnapshot();
}

/// Makes a snapshot of the currently applied state.
messages::fleet::GroupSnapshot Group::makeSnapshot() const {
  const std::uint64_t Base = snapshotBase();
  messages::fleet::GroupSnapshot Content;
  Content.set_index(m_AppliedIndex);
  Content.set_base_index(Base);
  Content.set_term(*m_Log.termAt(Base));
  *Content.mutable_membership() = m_Log.membershipAt(Base);
  Content.set_state(m_Machine.snapshot());
  return Content;
}

/// Returns the base index that a snapshot taken now would have: the last
/// applied entry, but not beyond the oldest entry that the state refers to.
std::uint64_t Group::snapshotBase() const {
  const auto Oldest = m_Machine.oldestEntry();
  const std::uint64_t Base =
      std::min({m_AppliedIndex, m_Log.lastIndex(),
                Oldest.value_or(m_AppliedIndex + 1) - 1});
  return std::max(Base, m_Log.baseIndex());
}

std::uint64_t Group::oldestNeededRecordAfterSnapshot() const {
  const std::uint64_t First = snapshotBase() + 1;
  return First <= m_Log.lastIndex() ? m_Log.sequenceOf(First)
                                    : std::numeric_limits<std::uint64_t>::max();
}

std::uint64_t Group::bytesInFlight(const Progress &Peer) const {
  std::uint64_t Bytes = 0;
  const std::uint64_t First =
      std::max(Peer.heldIndex() + 1, m_Log.firstIndex());
  for (std::uint64_t Index = First;
       Index < Peer.m_Next && Index <= m_Log.lastIndex() &&
       Bytes < m_Options.m_MaxInFlightBytes;
       ++Index)
    Bytes += m_Log.bytesAt(Index);
  return Bytes;
}

void Group::acceptLeader(const Message &Received, base::TimePoint Now) {
  if (m_Role == GroupRole::Candidate)
    stepDown(Now);
  m_Leader = Received.from();
  m_LastReceivedFromLeaderAt = Now;
  m_HasSeenLeader = true;
  m_PreVotes.clear();
  scheduleElection(Now);
}

void Group::onAppend(const Message &Received, base::TimePoint Now) {
  const auto &Append = Received.append();
  if (Received.term() < m_Log.term()) {
    auto &Reply = *send(Received.from()).mutable_append_reply();
    Reply.set_accepted(false);
    return;
  }
  acceptLeader(Received, Now);
  const auto KnownTerm = m_Log.termAt(Append.previous_index());
  const bool Compacted = Append.previous_index() < m_Log.baseIndex();
  if (!Compacted && (!KnownTerm || *KnownTerm != Append.previous_term())) {
    auto &Reply = *send(Received.from()).mutable_append_reply();
    Reply.set_accepted(false);
    Reply.set_round(Append.round());
    // Uncommitted entries may differ from the leader's, and after a snapshot
    // the commit index is ahead of the log. The reply names an index that is
    // certain to match. A later one would be rejected again, entry by entry.
    Reply.set_match(std::min(
        {m_CommitIndex, m_Log.lastIndex(), Append.previous_index() - 1}));
    return;
  }
  std::uint64_t Match = Append.previous_index();
  for (const auto &Entry : Append.entries()) {
    Match = Entry.index();
    if (Entry.index() <= m_Log.baseIndex())
      continue;
    const auto ExistingTerm = m_Log.termAt(Entry.index());
    if (ExistingTerm && *ExistingTerm == Entry.term())
      continue;
    base::checkInvariant(!ExistingTerm || Entry.index() > m_CommitIndex,
                         "group: an append would replace a committed entry");
    m_Log.append(Entry);
  }
  applyUpTo(std::min(Append.commit(), Match));
  // A leader's commit index covers all commits only once it has committed an
  // entry of its own term.
  if (Append.commit() <= m_CommitIndex &&
      m_Log.termAt(m_CommitIndex) == m_Log.term())
    m_IsCurrent = true;
  auto &Reply = *send(Received.from()).mutable_append_reply();
  Reply.set_accepted(true);
  Reply.set_match(Match);
  Reply.set_round(Append.round());
}

void Group::onAppendReply(const Message &Received, base::TimePoint Now) {
  if (!isLeader() || Received.term() != m_Log.term())
    return;
  const auto It = m_Progress.find(Received.from());
  if (It == m_Progress.end())
    return;
  const auto &Reply = Received.append_reply();
  Progress &Peer = It->second;
  Peer.m_LastReceivedAt = Now;
  Peer.m_Round = std::max(Peer.m_Round, Reply.round());
  if (!Reply.accepted()) {
    Peer.m_Next = std::min(Reply.match(), m_Log.lastIndex()) + 1;
    Peer.m_Match = std::min(Peer.m_Match, Reply.match());
    Peer.m_AssumedMatch = std::min(Peer.m_AssumedMatch, Reply.match());
    sendAppend(Received.from(), Now);
    return;
  }
  // One batch, half of the window, counts as acknowledged in advance, so that
  // the next batch is sent while the peer still writes the rest.
  if (Reply.match() > Peer.m_Match)
    Peer.m_SentBytes -= std::min(Peer.m_SentBytes, m_Options.m_MaxBatchBytes);
  Peer.m_Match = std::max(Peer.m_Match, Reply.match());
  Peer.m_Next = std::max(Peer.m_Next, Peer.m_Match + 1);
  if (Peer.m_Next <= m_Log.lastIndex())
    sendAppend(Received.from(), Now);
  advanceCommit(Now);
  advanceReads();
}

void Group::onSnapshot(const Message &Received, base::TimePoint Now) {
  if (Received.term() < m_Log.term())
    return;
  acceptLeader(Received, Now);
  const auto &Content = Received.snapshot();
  if (Content.index() > m_CommitIndex) {
    m_Log.install(Content);
    m_Machine.restore(Content.state());
    m_SnapshotBytes = Content.state().size();
    m_AppliedIndex = Content.index();
    m_CommitIndex = Content.index();
  }
  auto &Reply = *send(Received.from()).mutable_append_reply();
  Reply.set_accepted(true);
  // The leader continues with the entries after the snapshot's base.
  Reply.set_match(Content.base_index());
}

void Group::advanceCommit(base::TimePoint Now) {
  std::vector<std::uint64_t> Matches;
  for (const Member &Voter : membership().members()) {
    const auto It = m_Progress.find(Voter.id());
    if (Voter.id() == identity())
      Matches.push_back(m_SyncedIndex);
    else
      Matches.push_back(It == m_Progress.end() ? 0 : It->second.m_Match);
  }
  if (Matches.size() < majority())
    return;
  std::ranges::sort(Matches, std::greater<>());
  const std::uint64_t MajorityMatch = Matches[majority() - 1];
  if (MajorityMatch <= m_CommitIndex ||
      m_Log.termAt(MajorityMatch) != m_Log.term())
    return;
  applyUpTo(MajorityMatch);
  m_IsCurrent = true;
  advanceReads();
  if (m_Options.m_AnnounceCommits)
    broadcast(Now);
  if (!isMember() && m_Log.membershipIndex() <= m_CommitIndex)
    stepDown(Now);
}

void Group::applyUpTo(std::uint64_t Index) {
  m_CommitIndex = std::max(m_CommitIndex, Index);
  m_Log.setKnownCommit(m_CommitIndex);
  apply(m_CommitIndex);
  compactIfNeeded();
}

void Group::apply(std::uint64_t Index) {
  while (m_AppliedIndex < Index) {
    ++m_AppliedIndex;
    if (const auto *Cached = m_Log.findInMemory(m_AppliedIndex))
      applyEntry(*Cached);
    else
      applyEntry(m_Log.read(m_AppliedIndex));
  }
}

void Group::applyEntry(const messages::fleet::GroupEntry &Entry) {
  if (!Entry.command().empty())
    m_Machine.apply(Entry.index(), Entry.command(), Entry.wall_ms());
}

void Group::advanceReads() {
  if (!isLeader())
    return;
  std::erase_if(m_Reads, [this](const ReadRequest &Request) {
    std::size_t Acknowledged = 0;
    for (const Member &Voter : membership().members()) {
      const auto It = m_Progress.find(Voter.id());
      const bool HasAcknowledged =
          It != m_Progress.end() && It->second.m_Round >= Request.m_Round;
      Acknowledged += Voter.id() == identity() || HasAcknowledged ? 1 : 0;
    }
    if (Acknowledged < majority() || m_AppliedIndex < Request.m_Index)
      return false;
    m_ReadyReads.push_back(Request.m_Ticket);
    return true;
  });
}

void Group::compactIfNeeded() {
  if (m_Log.bytesSinceSnapshot() >=
      std::max(m_Options.m_SnapshotThresholdBytes, 2 * m_SnapshotBytes))
    writeSnapshot();
}

void Group::writeSnapshot() {
  const messages::fleet::GroupSnapshot Content = makeSnapshot();
  m_SnapshotBytes = Content.state().size();
  m_Log.checkpoint(Content);
}

} // namespace psp::consensus
