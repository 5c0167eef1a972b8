/// \file
/// The durable part of one group member: its term, vote, entries and the
/// snapshot before them.

#ifndef PSP_CONSENSUS_GROUPLOG_H
#define PSP_CONSENSUS_GROUPLOG_H

#include "base/RecordSink.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace psp::consensus {

/// Every change is appended to the store at once; it lasts when the owner of
/// the store has synced it.
///
/// Entries stay in the store until they are forgotten. Memory holds the newest
/// ones, up to a number of bytes, and of the others only where they are.
class GroupLog {
public:
  using Entry = messages::fleet::GroupEntry;
  using Membership = messages::fleet::GroupMembership;
  using Snapshot = messages::fleet::GroupSnapshot;
  using Record = messages::fleet::GroupRecord;

  GroupLog(base::RecordStore &Store, std::uint32_t Number,
           std::uint64_t MemoryBytes)
      : m_Store(Store), m_Number(Number), m_MemoryBytes(MemoryBytes) {}

  /// Takes one record of this group, oldest first.
  void restore(std::uint64_t Sequence, Record Read);

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
  /// Writes a snapshot taken here. Once that lasts, entries up to its base are
  /// forgotten, and nothing written before is needed for the state.
  void checkpoint(const Snapshot &Content);
  /// Everything that was appended to the store lasts now.
  void onSynced();
  /// Forgets all but term and vote: this machine has left the group.
  void leave();
  /// The snapshot that was restored, once.
  std::optional<Snapshot> takeRestored();

  std::uint64_t baseIndex() const { return m_BaseIndex; }
  std::uint64_t firstIndex() const { return m_BaseIndex + 1; }
  std::uint64_t lastIndex() const { return m_BaseIndex + m_Places.size(); }
  std::uint64_t lastTerm() const;
  /// The term of the entry at \p Index, if it is still known.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  /// Encoded length of the entry at \p Index.
  std::uint64_t bytesAt(std::uint64_t Index) const {
    return placeOf(Index).m_Bytes;
  }
  /// From memory or from the store. Throws UserError(Internal) when the stored
  /// one is damaged.
  Entry read(std::uint64_t Index) const;
  /// Null unless it is in memory.
  const Entry *findInMemory(std::uint64_t Index) const;

  /// The newest membership, committed or not.
  const Membership &membership() const;
  /// The membership that was in force at \p Index.
  const Membership &membershipAt(std::uint64_t Index) const;
  /// Index of the newest membership.
  std::uint64_t membershipIndex() const;

  /// Bytes appended since the last snapshot.
  std::uint64_t bytesSinceSnapshot() const { return m_BytesSinceSnapshot; }
  /// Sequence of the oldest record in the store that is needed.
  std::uint64_t oldestNeeded() const;
  /// Sequence of the record that holds the entry at \p Index.
  std::uint64_t sequenceOf(std::uint64_t Index) const {
    return placeOf(Index).m_Sequence;
  }

private:
  /// Of one entry.
  struct Place {
    std::uint64_t m_Sequence = 0;
    std::uint32_t m_Term = 0;
    std::uint32_t m_Bytes = 0;
  };
  struct Checkpoint {
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_Base = 0;
  };

  void restoreSnapshot(std::uint64_t Sequence, bool Installed,
                       Snapshot &Content);
  Record makeRecord() const;
  /// With the term and vote, so that no earlier record is needed for them.
  Record makeTermRecord() const;
  std::uint64_t write(const Record &Content);
  void take(std::uint64_t Sequence, Entry Next);
  void truncate(std::uint64_t From);
  void forgetUpTo(std::uint64_t Index);
  void clear(const Snapshot &Base);
  void trimMemory();
  const Place &placeOf(std::uint64_t Index) const;

  base::RecordStore &m_Store;
  std::uint32_t m_Number;
  std::uint64_t m_MemoryBytes;
  std::uint64_t m_Term = 0;
  std::string m_Vote;
  std::uint64_t m_BaseIndex = 0;
  std::uint64_t m_BaseTerm = 0;
  Membership m_BaseMembership;
  std::deque<Place> m_Places;  ///< Of all entries behind the base.
  std::deque<Entry> m_Entries; ///< The newest ones.
  std::uint64_t m_EntryBytes = 0;
  std::map<std::uint64_t, Membership> m_Memberships; ///< Behind the base.
  std::uint64_t m_KnownCommit = 0;
  std::uint64_t m_BytesSinceSnapshot = 0;
  std::uint64_t m_FirstRecord = 0;  ///< Sequence of the group's first record.
  std::optional<Checkpoint> m_Last; ///< Lasts.
  std::optional<Checkpoint> m_Pending; ///< Doesn't last yet.
  std::optional<Snapshot> m_Restored;
  /// While restoring: the base is a guess until the first snapshot.
  bool m_GuessedBase = true;
};

} // namespace psp::consensus

#endif
