/// \file
/// A journal without files, which loses unsynced records in a simulated crash.

#ifndef PSP_TESTS_SUPPORT_MEMORYJOURNAL_H
#define PSP_TESTS_SUPPORT_MEMORYJOURNAL_H

#include "storage/Journal.h"

#include <deque>
#include <string>

namespace psp::tests {

class MemoryJournal : public storage::Journal {
public:
  std::uint64_t append(std::string_view Record) override {
    m_Records.emplace_back(Record);
    return ++m_AppendedSequence;
  }
  std::uint64_t sync() override {
    return m_SyncedSequence = m_AppendedSequence;
  }
  void writeSnapshot(std::string_view Snapshot,
                     std::uint64_t Covered) override {
    sync();
    m_Snapshot = Snapshot;
    while (m_CoveredSequence < Covered) {
      m_Records.pop_front();
      ++m_CoveredSequence;
    }
  }
  std::uint64_t syncedSequence() const override { return m_SyncedSequence; }

  std::uint64_t appendedSequence() const { return m_AppendedSequence; }

  /// Syncs only up to \p Sequence, as if a crash interrupted the sync.
  void syncTo(std::uint64_t Sequence) { m_SyncedSequence = Sequence; }

  void crash() {
    while (m_AppendedSequence > m_SyncedSequence) {
      m_Records.pop_back();
      --m_AppendedSequence;
    }
  }
  void wipe() { *this = MemoryJournal(); }

  void replay(const storage::RecordHandler &Restore) const {
    if (!m_Snapshot.empty())
      Restore(m_CoveredSequence, m_Snapshot);
    std::uint64_t Sequence = m_CoveredSequence;
    for (const std::string &Record : m_Records)
      Restore(++Sequence, Record);
  }

private:
  std::string m_Snapshot;
  std::deque<std::string> m_Records;
  std::uint64_t m_CoveredSequence = 0;
  std::uint64_t m_AppendedSequence = 0;
  std::uint64_t m_SyncedSequence = 0;
};

} // namespace psp::tests

#endif
