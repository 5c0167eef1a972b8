#include "consensus/GroupLog.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace psp::consensus {

void GroupLog::restore(std::uint64_t Sequence, Record Stored) {
  if (m_FirstSequence == 0)
    m_FirstSequence = Sequence;
  if (Stored.has_term()) {
    m_Term = Stored.term();
    m_Vote = Stored.vote();
  }
  if (Stored.left()) {
    clear({});
    m_RestoredSnapshot.reset();
    m_KnownCommit = 0;
    m_DurableCheckpoint = Checkpoint{.m_Sequence = Sequence, .m_Base = 0};
  }
  if (Stored.has_snapshot())
    restoreSnapshot(Sequence, Stored.installed(), *Stored.mutable_snapshot());
  if (Stored.has_entry())
    addEntry(Sequence, std::move(*Stored.mutable_entry()));
  m_KnownCommit = std::max(m_KnownCommit, Stored.commit());
}

void GroupLog::restoreSnapshot(std::uint64_t Sequence, bool Installed,
                               Snapshot &Content) {
  if (Installed || Content.base_index() > lastIndex())
    clear(Content);
  else
    dropUpTo(Content.base_index());
  // A snapshot whose base lies before the first entry in the journal has been
  // superseded by a later one. The entries in between were released.
  if (Content.base_index() >= m_BaseIndex) {
    m_BaseIndex = Content.base_index();
    m_BaseTerm = Content.term();
    m_BaseMembership = Content.membership();
    m_IsBaseProvisional = false;
  }
  m_DurableCheckpoint =
      Checkpoint{.m_Sequence = Sequence, .m_Base = Content.base_index()};
  m_BytesSinceSnapshot = 0;
  m_RestoredSnapshot = std::move(Content);
}

std::optional<GroupLog::Snapshot> GroupLog::takeRestoredSnapshot() {
  if (m_RestoredSnapshot && m_BaseIndex > m_RestoredSnapshot->base_index())
    throw base::UserError(
        base::ErrorKind::Internal,
        "group " + std::to_string(m_Number) + ": expected entries from index " +
            std::to_string(m_RestoredSnapshot->base_index() + 1) +
            " in the journal, found none before index " +
            std::to_string(firstIndex()));
  m_IsBaseProvisional = false;
  return std::exchange(m_RestoredSnapshot, std::nullopt);
}

GroupLog::Record GroupLog::makeRecord() const {
  Record Content;
  Content.set_number(m_Number);
  return Content;
}

GroupLog::Record GroupLog::makeTermRecord() const {
  Record Content = makeRecord();
  Content.set_has_term(true);
  Content.set_term(m_Term);
  Content.set_vote(m_Vote);
  return Content;
}

void GroupLog::setTerm(std::uint64_t Term, const std::string &Vote) {
  m_Term = Term;
  m_Vote = Vote;
  write(makeTermRecord());
}

void GroupLog::append(Entry Next) {
  Record Content = makeRecord();
  *Content.mutable_entry() = std::move(Next);
  Content.set_commit(m_KnownCommit);
  const std::uint64_t Sequence = write(Content);
  addEntry(Sequence, std::move(*Content.mutable_entry()));
}

void GroupLog::install(const Snapshot &Content) {
  Record Written = makeTermRecord();
  Written.set_installed(true);
  *Written.mutable_snapshot() = Content;
  const std::uint64_t Sequence = write(Written);
  clear(Content);
  m_PendingCheckpoint =
      Checkpoint{.m_Sequence = Sequence, .m_Base = m_BaseIndex};
}

void GroupLog::checkpoint(const Snapshot &Content) {
  Record Written = makeTermRecord();
  Written.set_commit(m_KnownCommit);
  *Written.mutable_snapshot() = Content;
  const std::uint64_t Sequence = write(Written);
  m_BytesSinceSnapshot = 0;
  m_PendingCheckpoint =
      Checkpoint{.m_Sequence = Sequence, .m_Base = Content.base_index()};
}

void GroupLog::leave() {
  Record Written = makeTermRecord();
  Written.set_left(true);
  const std::uint64_t Sequence = write(Written);
  clear({});
  m_KnownCommit = 0;
  m_PendingCheckpoint = Checkpoint{.m_Sequence = Sequence, .m_Base = 0};
}

void GroupLog::onSynced() {
  if (!m_PendingCheckpoint)
    return;
  m_DurableCheckpoint = std::exchange(m_PendingCheckpoint, std::nullopt);
  dropUpTo(m_DurableCheckpoint->m_Base);
}

std::uint64_t GroupLog::lastTerm() const {
  return m_Locations.empty() ? m_BaseTerm : m_Locations.back().m_Term;
}

std::optional<std::uint64_t> GroupLog::termAt(std::uint64_t Index) const {
  if (Index == m_BaseIndex)
    return m_BaseTerm;
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return locationOf(Index).m_Term;
}

const GroupLog::EntryLocation &GroupLog::locationOf(std::uint64_t Index) const {
  base::checkInvariant(
      Index >= firstIndex() && Index <= lastIndex(),
      "group log: the index is outside of the retained entries");
  return m_Locations[Index - firstIndex()];
}

const GroupLog::Entry *GroupLog::findInMemory(std::uint64_t Index) const {
  const std::uint64_t First = lastIndex() + 1 - m_Entries.size();
  return Index < First || Index > lastIndex() ? nullptr
                                              : &m_Entries[Index - First];
}

GroupLog::Entry GroupLog::read(std::uint64_t Index) const {
  if (const Entry *Cached = findInMemory(Index))
    return *Cached;
  auto Stored = messages::parseMessage<Record>(
      m_Store.read(locationOf(Index).m_Sequence), "group journal");
  base::checkInvariant(Stored.number() == m_Number &&
                           Stored.entry().index() == Index,
                       "group log: the store returned another entry");
  return std::move(*Stored.mutable_entry());
}

const GroupLog::Membership &GroupLog::membership() const {
  return m_Memberships.empty() ? m_BaseMembership
                               : m_Memberships.rbegin()->second;
}

const GroupLog::Membership &GroupLog::membershipAt(std::uint64_t Index) const {
  const auto It = m_Memberships.upper_bound(Index);
  return It == m_Memberships.begin() ? m_BaseMembership : std::prev(It)->second;
}

std::uint64_t GroupLog::membershipIndex() const {
  return m_Memberships.empty() ? m_BaseIndex : m_Memberships.rbegin()->first;
}

std::uint64_t GroupLog::oldestNeededRecord() const {
  std::uint64_t Oldest =
      m_DurableCheckpoint ? m_DurableCheckpoint->m_Sequence : m_FirstSequence;
  if (!m_Locations.empty())
    Oldest = std::min(Oldest, m_Locations.front().m_Sequence);
  return Oldest;
}

std::uint64_t GroupLog::write(const Record &Content) {
  const std::uint64_t Sequence = m_Store.append(Content.SerializeAsString());
  if (m_FirstSequence == 0)
    m_FirstSequence = Sequence;
  return Sequence;
}

void GroupLog::truncate(std::uint64_t From) {
  while (lastIndex() >= From && !m_Locations.empty()) {
    m_Locations.pop_back();
    if (m_Entries.empty())
      continue;
    m_EntryBytes -= m_Entries.back().ByteSizeLong();
    m_Entries.pop_back();
  }
  m_Memberships.erase(m_Memberships.lower_bound(From), m_Memberships.end());
}

void GroupLog::addEntry(std::uint64_t Sequence, Entry Next) {
  truncate(Next.index());
  // The oldest segment may begin in the middle of a log, with entries that
  // later records replace.
  if (m_IsBaseProvisional &&
      (m_Locations.empty() || Next.index() <= m_BaseIndex) &&
      Next.index() != lastIndex() + 1) {
    m_Locations.clear();
    m_BaseIndex = Next.index() - 1;
  }
  base::checkInvariant(Next.index() == lastIndex() + 1,
                       "group log: an entry doesn't follow the last one");
  base::checkInvariant(Next.term() <= std::numeric_limits<std::uint32_t>::max(),
                       "group log: a term exceeds 32 bits");
  const std::uint64_t Bytes = Next.ByteSizeLong();
  m_Locations.push_back({.m_Sequence = Sequence,
                         .m_Term = static_cast<std::uint32_t>(Next.term()),
                         .m_Bytes = static_cast<std::uint32_t>(Bytes)});
  if (Next.has_membership())
    m_Memberships[Next.index()] = Next.membership();
  m_EntryBytes += Bytes;
  m_BytesSinceSnapshot += Bytes;
  m_Entries.push_back(std::move(Next));
  trimMemory();
}

void GroupLog::trimMemory() {
  while (m_EntryBytes > m_MaxCachedBytes && m_Entries.size() > 1) {
    m_EntryBytes -= m_Entries.front().ByteSizeLong();
    m_Entries.pop_front();
  }
}

void GroupLog::dropUpTo(std::uint64_t Index) {
  if (Index <= m_BaseIndex)
    return;
  m_BaseMembership = membershipAt(Index);
  m_BaseTerm = termAt(Index).value_or(0);
  m_Memberships.erase(m_Memberships.begin(), m_Memberships.upper_bound(Index));
  while (m_BaseIndex < Index && !m_Locations.empty()) {
    m_Locations.pop_front();
    ++m_BaseIndex;
  }
  while (m_Entries.size() > m_Locations.size()) {
    m_EntryBytes -= m_Entries.front().ByteSizeLong();
    m_Entries.pop_front();
  }
}

/// Drops all entries and continues after \p Base.
void GroupLog::clear(const Snapshot &Base) {
  m_BaseIndex = Base.base_index();
  m_BaseTerm = Base.term();
  m_BaseMembership = Base.membership();
  m_Locations.clear();
  m_Entries.clear();
  m_EntryBytes = 0;
  m_Memberships.clear();
  m_BytesSinceSnapshot = 0;
}

} // namespace psp::consensus
