/// \file
/// The durable part of one group member: its identity, term, vote, entries and
/// the snapshot before them.

#ifndef PSP_CONSENSUS_GROUPLOG_H
#define PSP_CONSENSUS_GROUPLOG_H

#include "base/RecordSink.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace psp::consensus {

/// Every change is appended to the sink at once; it lasts when the owner of
/// the sink has synced it.
class GroupLog {
public:
  using Entry = messages::fleet::GroupEntry;
  using Membership = messages::fleet::GroupMembership;
  using Snapshot = messages::fleet::GroupSnapshot;

  explicit GroupLog(base::RecordSink &Sink) : m_Sink(Sink) {}

  /// Takes one record of the journal, oldest first.
  void restore(std::string_view Record);

  /// Gives a new disk its identity. Only before any other change.
  void setIdentity(const std::string &Identity);
  const std::string &identity() const { return m_Identity; }

  std::uint64_t term() const { return m_Term; }
  const std::string &vote() const { return m_Vote; }
  void setTerm(std::uint64_t Term, const std::string &Vote);

  /// Remembers with the next record that entries up to \p Index are committed.
  void noteCommit(std::uint64_t Index) { m_KnownCommit = Index; }
  /// What the journal knows of commits, at least.
  std::uint64_t knownCommit() const { return m_KnownCommit; }

  /// Appends \p Next, and drops what it conflicts with.
  void append(Entry Next);
  /// Replaces everything by a snapshot from the leader.
  void install(const Snapshot &Content);
  /// Forgets entries up to \p Index that others no longer need, in memory only:
  /// the journal keeps them.
  void trim(std::uint64_t Index);
  /// Drops the entries up to \p Content's index. Returns the record that
  /// replaces all records so far. The state is kept in that record only.
  std::string compact(Snapshot Content);
  /// The state of the restored snapshot, once.
  std::string takeRestoredState();

  std::uint64_t firstIndex() const { return m_Base.index() + 1; }
  std::uint64_t lastIndex() const { return m_Base.index() + m_Entries.size(); }
  std::uint64_t lastTerm() const;
  /// The term of the entry at \p Index, if it is still known.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  const Entry &at(std::uint64_t Index) const;
  std::uint64_t snapshotIndex() const { return m_Base.index(); }

  /// The newest membership, committed or not.
  const Membership &membership() const;
  /// The membership that was in force at \p Index.
  const Membership &membershipAt(std::uint64_t Index) const;
  /// Index of the newest membership.
  std::uint64_t membershipIndex() const { return m_MembershipIndex; }
  /// Of the entries in memory.
  std::uint64_t entryBytes() const { return m_EntryBytes; }
  /// Of the entries in the journal.
  std::uint64_t journalBytes() const { return m_JournalBytes; }
  /// Sequence of the last record that was appended to the sink.
  std::uint64_t lastRecord() const { return m_LastRecord; }

private:
  void write(const messages::fleet::GroupRecord &Record);
  void truncate(std::uint64_t From);
  void findMembership();
  void take(Entry Next);

  base::RecordSink &m_Sink;
  std::string m_Identity;
  std::uint64_t m_Term = 0;
  std::string m_Vote;
  Snapshot m_Base; ///< Without the state, but while restoring.
  std::deque<Entry> m_Entries;
  std::uint64_t m_EntryBytes = 0;
  std::uint64_t m_JournalBytes = 0;
  std::uint64_t m_MembershipIndex = 0;
  std::uint64_t m_LastRecord = 0;
  std::uint64_t m_KnownCommit = 0;
};

} // namespace psp::consensus

#endif
