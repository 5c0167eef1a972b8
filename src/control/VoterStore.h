/// \file
/// The durable state of a voter: term and vote, the identity of its disk, and
/// the log. Each change is one record in a journal.

#ifndef PSP_CONTROL_VOTERSTORE_H
#define PSP_CONTROL_VOTERSTORE_H

#include "base/Ids.h"
#include "base/RecordSink.h"
#include "control/VoterLog.h"
#include "generated/log.pb.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace psp::control {

class VoterStore {
public:
  explicit VoterStore(base::RecordSink &Sink) : m_Sink(Sink) {}

  /// Restores one record of an earlier process, in the order of the journal.
  /// Throws UserError(Internal) when the record is invalid.
  void restore(std::string_view Record);

  std::uint64_t term() const { return m_Term.term(); }
  base::InstanceId votedFor() const {
    return base::InstanceId(m_Term.voted_for());
  }
  const std::string &identity() const { return m_Identity.identity(); }
  const messages::IdentityRecord &identityRecord() const { return m_Identity; }

  /// Whether this disk's identity has a vote.
  bool admitted() const { return m_Identity.admitted(); }

  const VoterLog &log() const { return m_Log; }

  /// The snapshot of the restored checkpoint.
  const messages::ControlSnapshot &restoredSnapshot() const {
    return m_Snapshot;
  }

  /// Sequence of the last record that this process wrote; 0 when there is none.
  std::uint64_t lastRecord() const { return m_LastRecord; }

  /// Highest index up to which the log is durable.
  std::uint64_t syncedIndex() const { return m_SyncedIndex; }

  void setTerm(std::uint64_t Term, const base::InstanceId &VotedFor);
  void setIdentity(const messages::IdentityRecord &Identity);
  void append(const messages::LogEntry &Entry);
  void truncateFrom(std::uint64_t Index);

  /// Replaces the log up to the index of \p Snapshot. Later entries are kept
  /// only if the entry at that index has \p Term.
  void install(const messages::ControlSnapshot &Snapshot, std::uint64_t Term);

  /// Removes entries up to \p Index from memory. The journal retains them until
  /// its next checkpoint.
  void compactTo(std::uint64_t Index) { m_Log.compactTo(Index); }

  /// One record that replaces all earlier ones. It contains \p Snapshot and the
  /// later entries.
  std::string checkpoint(const messages::ControlSnapshot &Snapshot) const;

  void onSynced(std::uint64_t Sequence);

private:
  /// An entry whose record may not be synced yet.
  struct Unsynced {
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_Index = 0;
  };

  void write(const messages::LogRecord &Record);
  void restoreCheckpoint(const messages::CheckpointRecord &Record);

  base::RecordSink &m_Sink;
  messages::TermRecord m_Term;
  messages::IdentityRecord m_Identity;
  VoterLog m_Log;
  messages::ControlSnapshot m_Snapshot;
  std::deque<Unsynced> m_Unsynced;
  std::uint64_t m_SyncedIndex = 0;
  std::uint64_t m_LastRecord = 0;
};

} // namespace psp::control

#endif
