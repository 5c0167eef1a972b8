#include "consensus/Group.h"

#include "base/Error.h"

#include <algorithm>
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
  m_HeartbeatAt = Now + m_Options.m_HeartbeatInterval;
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
    if (Now - Peer.m_SnapshotAt > 4 * m_Options.m_ResendInterval) {
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
    const auto &Entry = m_Log.at(Peer.m_Next++);
    Bytes += Entry.ByteSizeLong();
    *Append.add_entries() = Entry;
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
  messages::fleet::GroupSnapshot Content;
  Content.set_index(m_Applied);
  Content.set_term(*m_Log.termAt(m_Applied));
  *Content.mutable_membership() = m_Log.membershipAt(m_Applied);
  Content.set_state(m_Machine.snapshot());
  return Content;
}

std::uint64_t Group::bytesOnTheWay(const Progress &Peer) const {
  std::uint64_t Bytes = 0;
  const std::uint64_t First = std::max(Peer.held() + 1, m_Log.firstIndex());
  for (std::uint64_t Index = First;
       Index < Peer.m_Next && Index <= m_Log.lastIndex() &&
       Bytes < m_Options.m_WindowBytes;
       ++Index)
    Bytes += m_Log.at(Index).ByteSizeLong();
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
  const bool Compacted = Append.previous_index() < m_Log.snapshotIndex();
  if (!Compacted && (!KnownTerm || *KnownTerm != Append.previous_term())) {
    auto &Reply = *send(Received.from()).mutable_append_reply();
    Reply.set_accepted(false);
    Reply.set_round(Append.round());
    // What lies beyond its commits may differ from the leader's entries. A
    // later index would be refused again, entry by entry.
    Reply.set_match(std::min(m_Commit, Append.previous_index() - 1));
    return;
  }
  std::uint64_t Match = Append.previous_index();
  for (const auto &Entry : Append.entries()) {
    Match = Entry.index();
    if (Entry.index() <= m_Log.snapshotIndex())
      continue;
    const auto Held = m_Log.termAt(Entry.index());
    if (Held && *Held == Entry.term())
      continue;
    base::checkInvariant(Entry.index() > m_Commit,
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
    m_Applied = Content.index();
    m_Commit = Content.index();
  }
  auto &Reply = *send(Received.from()).mutable_append_reply();
  Reply.set_accepted(true);
  Reply.set_match(Content.index());
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
    const auto &Entry = m_Log.at(m_Applied);
    if (!Entry.command().empty())
      m_Machine.apply(m_Applied, Entry.command(), Entry.wall_ms());
  }
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

void Group::trimMemory() {
  if (m_Log.entryBytes() < m_Options.m_MemoryBytes)
    return;
  std::uint64_t Index = m_Log.firstIndex();
  std::uint64_t Bytes = 0;
  while (Index < m_Applied && Bytes < m_Options.m_MemoryBytes / 3)
    Bytes += m_Log.at(Index++).ByteSizeLong();
  m_Log.trim(Index - 1);
}

void Group::compactIfLong() {
  trimMemory();
  // A leader that finds nobody to hand over to does it in the end.
  const std::uint64_t Limit = isLeader() ? 2 * m_CompactAt : m_CompactAt;
  if (m_Log.journalBytes() < Limit)
    return;
  messages::fleet::GroupSnapshot Content = makeSnapshot();
  // Encoded first: a record that is appended later must not be covered.
  const std::uint64_t Covered = m_Log.lastRecord();
  m_Checkpoint = GroupCheckpoint{.m_Record = m_Log.compact(std::move(Content)),
                                 .m_Covered = Covered};
}

} // namespace psp::consensus
