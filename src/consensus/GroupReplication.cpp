#include "consensus/Group.h"

#include "base/Error.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace psp::consensus {

std::set<std::string> Group::receivers() const {
  std::set<std::string> All = m_Learners;
  for (const Member &Each : membership().members())
    All.insert(Each.id());
  All.erase(identity());
  return All;
}

std::uint64_t Group::appendOwn(messages::fleet::GroupEntry Entry,
                               std::uint64_t WallMs) {
  Entry.set_term(m_Log.term());
  Entry.set_index(m_Log.lastIndex() + 1);
  Entry.set_wall_ms(WallMs);
  m_Log.append(std::move(Entry));
  return m_Log.lastIndex();
}

void Group::broadcast(base::TimePoint Now) {
  // On a grid of the clock: all groups that this process leads send together.
  const auto SinceGrid = Now.time_since_epoch() % m_Options.m_HeartbeatInterval;
  m_HeartbeatAt = Now + m_Options.m_HeartbeatInterval - SinceGrid;
  for (const std::string &Each : receivers())
    sendAppend(Each, Now);
}

void Group::sendNews(base::TimePoint Now) {
  for (const std::string &Each : receivers()) {
    const Progress &Peer = progressOf(Each);
    if (Peer.m_Next <= m_Log.lastIndex() &&
        bytesOnTheWay(Peer) < m_Options.m_WindowBytes)
      sendAppend(Each, Now);
  }
}

Group::Progress &Group::progressOf(const std::string &Identity) {
  const auto [Found, IsNew] = m_Progress.try_emplace(Identity);
  if (IsNew) {
    Found->second.m_Next = m_Log.lastIndex() + 1;
    Found->second.m_Assumed = m_Log.lastIndex();
  }
  return Found->second;
}

void Group::sendAppend(const std::string &To, base::TimePoint Now) {
  Progress &Peer = progressOf(To);
  const bool Unanswered = Peer.m_Next > Peer.held() + 1 &&
                          Now - Peer.m_SentAt > m_Options.m_ResendInterval;
  if (Unanswered)
    Peer.m_Next = Peer.held() + 1;
  Peer.m_Next = std::max<std::uint64_t>(Peer.m_Next, 1);
  const auto PreviousTerm = m_Log.termAt(Peer.m_Next - 1);
  if (!PreviousTerm) {
    if (Now - Peer.m_SnapshotAt > m_Options.m_SnapshotInterval) {
      Peer.m_SnapshotAt = Now;
      sendSnapshot(To);
    }
    return;
  }
  auto &Append = *send(To, true).mutable_append();
  Append.set_previous_index(Peer.m_Next - 1);
  Append.set_previous_term(*PreviousTerm);
  Append.set_commit(m_Commit);
  Append.set_round(m_Round);
  std::uint64_t Bytes = 0;
  const std::uint64_t OnTheWay = bytesOnTheWay(Peer);
  while (Peer.m_Next <= m_Log.lastIndex() && Bytes < m_Options.m_BatchBytes &&
         OnTheWay + Bytes < m_Options.m_WindowBytes) {
    Bytes += m_Log.bytesAt(Peer.m_Next);
    *Append.add_entries() = m_Log.read(Peer.m_Next++);
  }
  Peer.m_SentBytes = OnTheWay + Bytes;
  if (Append.entries_size() > 0 || Unanswered)
    Peer.m_SentAt = Now;
}

void Group::sendSnapshot(const std::string &To) {
  *send(To, true).mutable_snapshot() = makeSnapshot();
}

/// Of the state that is applied now.
messages::fleet::GroupSnapshot Group::makeSnapshot() const {
  const std::uint64_t Base = snapshotBase();
  messages::fleet::GroupSnapshot Content;
  Content.set_index(m_Applied);
  Content.set_base_index(Base);
  Content.set_term(*m_Log.termAt(Base));
  *Content.mutable_membership() = m_Log.membershipAt(Base);
  Content.set_state(m_Machine.snapshot());
  return Content;
}

/// Where the log would begin with a snapshot taken now: behind what is applied,
/// but no later than the oldest entry that the state refers to.
std::uint64_t Group::snapshotBase() const {
  const auto Oldest = m_Machine.oldestEntry();
  const std::uint64_t Base = std::min(
      {m_Applied, m_Log.lastIndex(), Oldest.value_or(m_Applied + 1) - 1});
  return std::max(Base, m_Log.baseIndex());
}

std::uint64_t Group::oldestNeededAfterSnapshot() const {
  const std::uint64_t First = snapshotBase() + 1;
  return First <= m_Log.lastIndex() ? m_Log.sequenceOf(First)
                                    : std::numeric_limits<std::uint64_t>::max();
}

std::uint64_t Group::bytesOnTheWay(const Progress &Peer) const {
  std::uint64_t Bytes = 0;
  const std::uint64_t First = std::max(Peer.held() + 1, m_Log.firstIndex());
  for (std::uint64_t Index = First;
       Index < Peer.m_Next && Index <= m_Log.lastIndex() &&
       Bytes < m_Options.m_WindowBytes;
       ++Index)
    Bytes += m_Log.bytesAt(Index);
  return Bytes;
}

void Group::acceptLeader(const Message &Received, base::TimePoint Now) {
  if (m_Role == GroupRole::Candidate)
    stepDown(Now);
  m_Leader = Received.from();
  m_HeardLeader = Now;
  m_HeardSinceStart = true;
  m_TrialVotes.clear();
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
    // What lies beyond its commits may differ from the leader's entries, and a
    // state that came by itself is ahead of its log. A later index would be
    // refused again, entry by entry.
    Reply.set_match(
        std::min({m_Commit, m_Log.lastIndex(), Append.previous_index() - 1}));
    return;
  }
  std::uint64_t Match = Append.previous_index();
  for (const auto &Entry : Append.entries()) {
    Match = Entry.index();
    if (Entry.index() <= m_Log.baseIndex())
      continue;
    const auto Held = m_Log.termAt(Entry.index());
    if (Held && *Held == Entry.term())
      continue;
    base::checkInvariant(!Held || Entry.index() > m_Commit,
                         "group: a committed entry would be replaced");
    m_Log.append(Entry);
  }
  applyUpTo(std::min(Append.commit(), Match));
  // Only a leader that has committed in its own term knows all commits.
  if (Append.commit() <= m_Commit && m_Log.termAt(m_Commit) == m_Log.term())
    m_IsCurrent = true;
  auto &Reply = *send(Received.from()).mutable_append_reply();
  Reply.set_accepted(true);
  Reply.set_match(Match);
  Reply.set_round(Append.round());
}

void Group::onAppendReply(const Message &Received, base::TimePoint Now) {
  if (!isLeader() || Received.term() != m_Log.term())
    return;
  const auto Found = m_Progress.find(Received.from());
  if (Found == m_Progress.end())
    return;
  const auto &Reply = Received.append_reply();
  Progress &Peer = Found->second;
  Peer.m_Heard = Now;
  Peer.m_Round = std::max(Peer.m_Round, Reply.round());
  if (!Reply.accepted()) {
    Peer.m_Next = std::min(Reply.match(), m_Log.lastIndex()) + 1;
    Peer.m_Match = std::min(Peer.m_Match, Reply.match());
    Peer.m_Assumed = std::min(Peer.m_Assumed, Reply.match());
    sendAppend(Received.from(), Now);
    return;
  }
  // Half of a window on its way is as good as acknowledged: the next batch
  // leaves while the rest is being written.
  if (Reply.match() > Peer.m_Match)
    Peer.m_SentBytes -= std::min(Peer.m_SentBytes, m_Options.m_BatchBytes);
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
  if (Content.index() > m_Commit) {
    m_Log.install(Content);
    m_Machine.restore(Content.state());
    m_SnapshotBytes = Content.state().size();
    m_Applied = Content.index();
    m_Commit = Content.index();
  }
  auto &Reply = *send(Received.from()).mutable_append_reply();
  Reply.set_accepted(true);
  // The entries behind its base come next.
  Reply.set_match(Content.base_index());
}

void Group::advanceCommit(base::TimePoint Now) {
  std::vector<std::uint64_t> Matches;
  for (const Member &Each : membership().members()) {
    const auto Found = m_Progress.find(Each.id());
    if (Each.id() == identity())
      Matches.push_back(m_Synced);
    else
      Matches.push_back(Found == m_Progress.end() ? 0 : Found->second.m_Match);
  }
  if (Matches.size() < majority())
    return;
  std::ranges::sort(Matches, std::greater<>());
  const std::uint64_t Agreed = Matches[majority() - 1];
  if (Agreed <= m_Commit || m_Log.termAt(Agreed) != m_Log.term())
    return;
  applyUpTo(Agreed);
  m_IsCurrent = true;
  advanceReads();
  if (m_Options.m_AnnounceCommits)
    broadcast(Now);
  if (!isMember() && m_Log.membershipIndex() <= m_Commit)
    stepDown(Now);
}

void Group::applyUpTo(std::uint64_t Index) {
  m_Commit = std::max(m_Commit, Index);
  m_Log.noteCommit(m_Commit);
  apply(m_Commit);
  compactIfLong();
}

void Group::apply(std::uint64_t Index) {
  while (m_Applied < Index) {
    ++m_Applied;
    if (const auto *Known = m_Log.findInMemory(m_Applied))
      applyEntry(*Known);
    else
      applyEntry(m_Log.read(m_Applied));
  }
}

void Group::applyEntry(const messages::fleet::GroupEntry &Entry) {
  if (!Entry.command().empty())
    m_Machine.apply(Entry.index(), Entry.command(), Entry.wall_ms());
}

void Group::advanceReads() {
  if (!isLeader())
    return;
  std::erase_if(m_Reads, [this](const Read &Each) {
    std::size_t Followed = 0;
    for (const Member &Other : membership().members()) {
      const auto Found = m_Progress.find(Other.id());
      const bool Follows =
          Found != m_Progress.end() && Found->second.m_Round >= Each.m_Round;
      Followed += Other.id() == identity() || Follows ? 1 : 0;
    }
    if (Followed < majority() || m_Applied < Each.m_Index)
      return false;
    m_ReadyReads.push_back(Each.m_Ticket);
    return true;
  });
}

void Group::compactIfLong() {
  if (m_Log.bytesSinceSnapshot() >=
      std::max(m_Options.m_CompactBytes, 2 * m_SnapshotBytes))
    writeSnapshot();
}

void Group::writeSnapshot() {
  const messages::fleet::GroupSnapshot Content = makeSnapshot();
  m_SnapshotBytes = Content.state().size();
  m_Log.checkpoint(Content);
}

} // namespace psp::consensus
