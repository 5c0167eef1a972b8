#include "consensus/GroupLog.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace psp::consensus {

void GroupLog::restore(std::uint64_t Sequence, Record Read) {
  if (m_FirstRecord == 0)
    m_FirstRecord = Sequence;
  if (Read.has_term()) {
    m_Term = Read.term();
    m_Vote = Read.vote();
  }
  if (Read.left()) {
    clear({});
    m_Restored.reset();
    m_KnownCommit = 0;
    m_Last = Checkpoint{.m_Sequence = Sequence, .m_Base = 0};
  }
  if (Read.has_snapshot())
    restoreSnapshot(Sequence, Read.installed(), *Read.mutable_snapshot());
  if (Read.has_entry())
    take(Sequence, std::move(*Read.mutable_entry()));
  m_KnownCommit = std::max(m_KnownCommit, Read.commit());
}

void GroupLog::restoreSnapshot(std::uint64_t Sequence, bool Installed,
                               Snapshot &Content) {
  if (Installed || Content.base_index() > lastIndex())
    clear(Content);
  else
    forgetUpTo(Content.base_index());
  // A base below the first entry that was found belongs to a snapshot that a
  // later one stands for: the entries between are released.
  if (Content.base_index() >= m_BaseIndex) {
    m_BaseIndex = Content.base_index();
    m_BaseTerm = Content.term();
    m_BaseMembership = Content.membership();
    m_GuessedBase = false;
  }
  m_Last = Checkpoint{.m_Sequence = Sequence, .m_Base = Content.base_index()};
  m_BytesSinceSnapshot = 0;
  m_Restored = std::move(Content);
}

std::optional<GroupLog::Snapshot> GroupLog::takeRestored() {
  if (m_Restored && m_BaseIndex > m_Restored->base_index())
    throw base::UserError(base::ErrorKind::Internal,
                          "group " + std::to_string(m_Number) +
                              ": expected entries from " +
                              std::to_string(m_Restored->base_index() + 1) +
                              " on in the journal, found none before " +
                              std::to_string(firstIndex()));
  m_GuessedBase = false;
  return std::exchange(m_Restored, std::nullopt);
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
  take(Sequence, std::move(*Content.mutable_entry()));
}

void GroupLog::install(const Snapshot &Content) {
  Record Written = makeTermRecord();
  Written.set_installed(true);
  *Written.mutable_snapshot() = Content;
  const std::uint64_t Sequence = write(Written);
  clear(Content);
  m_Pending = Checkpoint{.m_Sequence = Sequence, .m_Base = m_BaseIndex};
}

void GroupLog::checkpoint(const Snapshot &Content) {
  Record Written = makeTermRecord();
  Written.set_commit(m_KnownCommit);
  *Written.mutable_snapshot() = Content;
  const std::uint64_t Sequence = write(Written);
  m_BytesSinceSnapshot = 0;
  m_Pending =
      Checkpoint{.m_Sequence = Sequence, .m_Base = Content.base_index()};
}

void GroupLog::leave() {
  Record Written = makeTermRecord();
  Written.set_left(true);
  const std::uint64_t Sequence = write(Written);
  clear({});
  m_KnownCommit = 0;
  m_Pending = Checkpoint{.m_Sequence = Sequence, .m_Base = 0};
}

void GroupLog::onSynced() {
  if (!m_Pending)
    return;
  m_Last = std::exchange(m_Pending, std::nullopt);
  forgetUpTo(m_Last->m_Base);
}

std::uint64_t GroupLog::lastTerm() const {
  return m_Places.empty() ? m_BaseTerm : m_Places.back().m_Term;
}

std::optional<std::uint64_t> GroupLog::termAt(std::uint64_t Index) const {
  if (Index == m_BaseIndex)
    return m_BaseTerm;
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return placeOf(Index).m_Term;
}

const GroupLog::Place &GroupLog::placeOf(std::uint64_t Index) const {
  base::checkInvariant(Index >= firstIndex() && Index <= lastIndex(),
                       "group log: looked outside of the kept entries");
  return m_Places[Index - firstIndex()];
}

const GroupLog::Entry *GroupLog::findInMemory(std::uint64_t Index) const {
  const std::uint64_t First = lastIndex() + 1 - m_Entries.size();
  return Index < First || Index > lastIndex() ? nullptr
                                              : &m_Entries[Index - First];
}

GroupLog::Entry GroupLog::read(std::uint64_t Index) const {
  if (const Entry *Known = findInMemory(Index))
    return *Known;
  auto Stored = messages::parseMessage<Record>(
      m_Store.read(placeOf(Index).m_Sequence), "group journal");
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
  const auto Behind = m_Memberships.upper_bound(Index);
  return Behind == m_Memberships.begin() ? m_BaseMembership
                                         : std::prev(Behind)->second;
}

std::uint64_t GroupLog::membershipIndex() const {
  return m_Memberships.empty() ? m_BaseIndex : m_Memberships.rbegin()->first;
}

std::uint64_t GroupLog::oldestNeeded() const {
  std::uint64_t Oldest = m_Last ? m_Last->m_Sequence : m_FirstRecord;
  if (!m_Places.empty())
    Oldest = std::min(Oldest, m_Places.front().m_Sequence);
  return Oldest;
}

std::uint64_t GroupLog::write(const Record &Content) {
  const std::uint64_t Sequence = m_Store.append(Content.SerializeAsString());
  if (m_FirstRecord == 0)
    m_FirstRecord = Sequence;
  return Sequence;
}

void GroupLog::truncate(std::uint64_t From) {
  while (lastIndex() >= From && !m_Places.empty()) {
    m_Places.pop_back();
    if (m_Entries.empty())
      continue;
    m_EntryBytes -= m_Entries.back().ByteSizeLong();
    m_Entries.pop_back();
  }
  m_Memberships.erase(m_Memberships.lower_bound(From), m_Memberships.end());
}

void GroupLog::take(std::uint64_t Sequence, Entry Next) {
  truncate(Next.index());
  // The oldest segments may begin in the middle of a log, with entries that
  // later ones replace.
  if (m_GuessedBase && (m_Places.empty() || Next.index() <= m_BaseIndex) &&
      Next.index() != lastIndex() + 1) {
    m_Places.clear();
    m_BaseIndex = Next.index() - 1;
  }
  base::checkInvariant(Next.index() == lastIndex() + 1,
                       "group log: an entry left a gap");
  base::checkInvariant(Next.term() <= std::numeric_limits<std::uint32_t>::max(),
                       "group log: a term beyond its range");
  const std::uint64_t Bytes = Next.ByteSizeLong();
  m_Places.push_back({.m_Sequence = Sequence,
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
  while (m_EntryBytes > m_MemoryBytes && m_Entries.size() > 1) {
    m_EntryBytes -= m_Entries.front().ByteSizeLong();
    m_Entries.pop_front();
  }
}

void GroupLog::forgetUpTo(std::uint64_t Index) {
  if (Index <= m_BaseIndex)
    return;
  m_BaseMembership = membershipAt(Index);
  m_BaseTerm = termAt(Index).value_or(0);
  m_Memberships.erase(m_Memberships.begin(), m_Memberships.upper_bound(Index));
  while (m_BaseIndex < Index && !m_Places.empty()) {
    m_Places.pop_front();
    ++m_BaseIndex;
  }
  while (m_Entries.size() > m_Places.size()) {
    m_EntryBytes -= m_Entries.front().ByteSizeLong();
    m_Entries.pop_front();
  }
}

/// Nothing is left but the place behind \p Base.
void GroupLog::clear(const Snapshot &Base) {
  m_BaseIndex = Base.base_index();
  m_BaseTerm = Base.term();
  m_BaseMembership = Base.membership();
  m_Places.clear();
  m_Entries.clear();
  m_EntryBytes = 0;
  m_Memberships.clear();
  m_BytesSinceSnapshot = 0;
}

} // namespace psp::consensus
