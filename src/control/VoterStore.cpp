#include "control/VoterStore.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::control {

namespace {

[[noreturn]] void throwInvalidRecord(const char *Found) {
  throw base::UserError(
      base::ErrorKind::Internal,
      std::string("control log: expected a valid record, found ") + Found);
}

} // namespace

void VoterStore::restore(std::string_view Bytes) {
  messages::LogRecord Record;
  if (!Record.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    throwInvalidRecord("bytes that can't be parsed");
  switch (Record.body_case()) {
  case messages::LogRecord::kTerm:
    m_Term = Record.term();
    break;
  case messages::LogRecord::kIdentity:
    m_Identity = Record.identity();
    break;
  case messages::LogRecord::kEntry:
    if (Record.entry().index() != m_Log.lastIndex() + 1)
      throwInvalidRecord("an entry out of order");
    m_Log.append(Record.entry());
    break;
  case messages::LogRecord::kTruncate:
    if (Record.truncate().from_index() <= m_Log.baseIndex())
      throwInvalidRecord("a truncation at or before the base of the log");
    m_Log.truncateFrom(Record.truncate().from_index());
    break;
  case messages::LogRecord::kCheckpoint:
    restoreCheckpoint(Record.checkpoint());
    break;
  case messages::LogRecord::BODY_NOT_SET:
    throwInvalidRecord("an unknown kind");
  }
  m_SyncedIndex = m_Log.lastIndex();
}

void VoterStore::restoreCheckpoint(const messages::CheckpointRecord &Record) {
  m_Term = Record.term();
  m_Identity = Record.identity();
  m_Snapshot = Record.snapshot();
  m_Log.reset(m_Snapshot.applied_index(), Record.snapshot_term());
  for (const messages::LogEntry &Entry : Record.entries()) {
    if (Entry.index() != m_Log.lastIndex() + 1)
      throwInvalidRecord("a checkpoint with a gap");
    m_Log.append(Entry);
  }
}

void VoterStore::write(const messages::LogRecord &Record) {
  m_LastRecord = m_Sink.append(Record.SerializeAsString());
}

void VoterStore::setTerm(std::uint64_t Term, const base::InstanceId &VotedFor) {
  base::checkInvariant(Term >= term(), "a voter's term must not decrease");
  base::checkInvariant(Term > term() || votedFor().empty() ||
                           votedFor() == VotedFor,
                       "a voter must not change its vote within a term");
  messages::LogRecord Record;
  Record.mutable_term()->set_term(Term);
  Record.mutable_term()->set_voted_for(VotedFor.str());
  m_Term = Record.term();
  write(Record);
}

void VoterStore::setIdentity(const messages::IdentityRecord &Identity) {
  base::checkInvariant(!admitted() || Identity.admitted(),
                       "an admitted disk must not lose its vote");
  messages::LogRecord Record;
  *Record.mutable_identity() = Identity;
  m_Identity = Identity;
  write(Record);
}

void VoterStore::append(const messages::LogEntry &Entry) {
  m_Log.append(Entry);
  messages::LogRecord Record;
  *Record.mutable_entry() = Entry;
  write(Record);
  m_Unsynced.push_back({.m_Sequence = m_LastRecord, .m_Index = Entry.index()});
}

void VoterStore::truncateFrom(std::uint64_t Index) {
  m_Log.truncateFrom(Index);
  messages::LogRecord Record;
  Record.mutable_truncate()->set_from_index(Index);
  write(Record);
  while (!m_Unsynced.empty() && m_Unsynced.back().m_Index >= Index)
    m_Unsynced.pop_back();
  m_SyncedIndex = std::min(m_SyncedIndex, Index - 1);
}

void VoterStore::install(const messages::ControlSnapshot &Snapshot,
                         std::uint64_t Term) {
  std::uint64_t Index = Snapshot.applied_index();
  bool Agrees = m_Log.termAt(Index) == Term;
  if (Agrees)
    m_Log.compactTo(Index);
  else
    m_Log.reset(Index, Term);
  messages::LogRecord Record;
  Record.ParseFromString(checkpoint(Snapshot));
  write(Record);
  // All earlier changes become durable together with this record.
  m_Unsynced.clear();
  m_Unsynced.push_back(
      {.m_Sequence = m_LastRecord, .m_Index = m_Log.lastIndex()});
  m_SyncedIndex = std::min(m_SyncedIndex, Index);
}

std::string
VoterStore::checkpoint(const messages::ControlSnapshot &Snapshot) const {
  std::uint64_t Index = Snapshot.applied_index();
  messages::LogRecord Record;
  messages::CheckpointRecord &Checkpoint = *Record.mutable_checkpoint();
  *Checkpoint.mutable_term() = m_Term;
  *Checkpoint.mutable_identity() = m_Identity;
  *Checkpoint.mutable_snapshot() = Snapshot;
  Checkpoint.set_snapshot_term(m_Log.termAt(Index).value());
  for (std::uint64_t I = Index + 1; I <= m_Log.lastIndex(); ++I)
    *Checkpoint.add_entries() = m_Log.at(I);
  return Record.SerializeAsString();
}

void VoterStore::onSynced(std::uint64_t Sequence) {
  while (!m_Unsynced.empty() && m_Unsynced.front().m_Sequence <= Sequence) {
    m_SyncedIndex = std::max(m_SyncedIndex, m_Unsynced.front().m_Index);
    m_Unsynced.pop_front();
  }
}

} // namespace psp::control
