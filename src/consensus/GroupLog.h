/// \file
/// The durable part of a group member: its term, its vote, its entries and the
/// snapshot that precedes them.

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

/// Every change is appended to the store immediately and is durable after the
/// owner of the store has synced it.
///
/// Entries stay in the store until they are dropped. The newest entries are
/// also kept in memory, up to a number of bytes; for the others, memory only
/// holds their location.
class GroupLog {
public:
  using Entry = messages::fleet::GroupEntry;
  using Membership = messages::fleet::GroupMembership;
  using Snapshot = messages::fleet::GroupSnapshot;
  using Record = messages::fleet::GroupRecord;

  GroupLog(base::RecordStore &Store, std::uint32_t Number,
           std::uint64_t MaxCachedBytes)
      : m_Store(Store), m_Number(Number), m_MaxCachedBytes(MaxCachedBytes) {}

  /// Restores one record of this group. Records are passed oldest first.
  void restore(std::uint64_t Sequence, Record Stored);

  std::uint64_t term() const { return m_Term; }
  const std::string &vote() const { return m_Vote; }
  void setTerm(std::uint64_t Term, const std::string &Vote);

  /// Stores with the next record that entries up to \p Index are committed.
  void setKnownCommit(std::uint64_t Index) { m_KnownCommit = Index; }
  /// Index up to which entries are known to be committed. More may be.
  std::uint64_t knownCommit() const { return m_KnownCommit; }

  /// Appends \p Next, and drops the entries that it conflicts with.
  void append(Entry Next);
  /// Replaces the complete log by a snapshot from the leader.
  void install(const Snapshot &Content);
  /// Writes a snapshot of the local state. Once it is durable, entries up to
  /// its base are dropped, and the state no longer needs any earlier record.
  void checkpoint(const Snapshot &Content);
  /// Called when everything that was appended to the store is durable.
  void onSynced();
  /// Discards everything except term and vote. Called when this node has left
  /// the group.
  void leave();
  /// Returns the restored snapshot; only the first call does. Throws
  /// UserError(Internal) if the journal lacks entries that follow its base.
  std::optional<Snapshot> takeRestoredSnapshot();

  std::uint64_t baseIndex() const { return m_BaseIndex; }
  std::uint64_t firstIndex() const { return m_BaseIndex + 1; }
  std::uint64_t lastIndex() const { return m_BaseIndex + m_Locations.size(); }
  std::uint64_t lastTerm() const;
  /// The term of the entry at \p Index, unless the log doesn't reach that index
  /// or has dropped it.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  /// Encoded length of the entry at \p Index.
  std::uint64_t bytesAt(std::uint64_t Index) const {
    return locationOf(Index).m_Bytes;
  }
  /// Reads an entry from memory or from the store. Throws UserError(Internal)
  /// if the stored entry is damaged.
  Entry read(std::uint64_t Index) const;
  /// Null unless the entry is in memory.
  const Entry *findInMemory(std::uint64_t Index) const;

  /// The newest membership, committed or not.
  const Membership &membership() const;
  /// The membership that was in effect at \p Index.
  const Membership &membershipAt(std::uint64_t Index) const;
  /// Index of the newest membership.
  std::uint64_t membershipIndex() const;

  /// Bytes appended since the last snapshot.
  std::uint64_t bytesSinceSnapshot() const { return m_BytesSinceSnapshot; }
  /// Sequence of the oldest record in the store that is still needed.
  std::uint64_t oldestNeededRecord() const;
  /// Sequence of the record that holds the entry at \p Index.
  std::uint64_t sequenceOf(std::uint64_t Index) const {
    return locationOf(Index).m_Sequence;
  }

private:
  struct EntryLocation {
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
  /// Includes term and vote, so that no earlier record is needed for them.
  Record makeTermRecord() const;
  std::uint64_t write(const Record &Content);
  void addEntry(std::uint64_t Sequence, Entry Next);
  void truncate(std::uint64_t From);
  void dropUpTo(std::uint64_t Index);
  void clear(const Snapshot &Base);
  void trimMemory();
  const EntryLocation &locationOf(std::uint64_t Index) const;

  base::RecordStore &m_Store;
  std::uint32_t m_Number;
  std::uint64_t m_MaxCachedBytes;
  std::uint64_t m_Term = 0;
  std::string m_Vote;
  std::uint64_t m_BaseIndex = 0;
  std::uint64_t m_BaseTerm = 0;
  Membership m_BaseMembership;
  std::deque<EntryLocation> m_Locations; ///< Of all entries after the base.
  std::deque<Entry> m_Entries;           ///< The newest ones.
  std::uint64_t m_EntryBytes = 0;
  /// By index, after the base.
  std::map<std::uint64_t, Membership> m_Memberships;
  std::uint64_t m_KnownCommit = 0;
  std::uint64_t m_BytesSinceSnapshot = 0;
  std::uint64_t m_FirstSequence = 0; ///< Sequence of the group's first record.
  std::optional<Checkpoint> m_DurableCheckpoint;
  std::optional<Checkpoint> m_PendingCheckpoint; ///< Not yet durable.
  std::optional<Snapshot> m_RestoredSnapshot;
  /// While restoring: the base is provisional until the first snapshot.
  bool m_IsBaseProvisional = true;
};

} // namespace psp::consensus

#endif
