/// \file
/// A journal without files: a simulated crash forgets what wasn't synced.

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
    return ++m_Appended;
  }
  std::uint64_t sync() override { return m_Synced = m_Appended; }
  void writeSnapshot(std::string_view Snapshot,
                     std::uint64_t Covered) override {
    sync();
    m_Snapshot = Snapshot;
    while (m_Covered < Covered) {
      m_Records.pop_front();
      ++m_Covered;
    }
  }
  std::uint64_t syncedSequence() const override { return m_Synced; }

  std::uint64_t appendedSequence() const { return m_Appended; }

  /// Syncs only up to \p Sequence, as when a crash meets a running sync.
  void syncTo(std::uint64_t Sequence) { m_Synced = Sequence; }

  void crash() {
    while (m_Appended > m_Synced) {
      m_Records.pop_back();
      --m_Appended;
    }
  }
  void wipe() { *this = MemoryJournal(); }

  void replay(const storage::RecordHandler &Restore) const {
    if (!m_Snapshot.empty())
      Restore(m_Covered, m_Snapshot);
    std::uint64_t Sequence = m_Covered;
    for (const std::string &Record : m_Records)
      Restore(++Sequence, Record);
  }

private:
  std::string m_Snapshot;
  std::deque<std::string> m_Records;
  std::uint64_t m_Covered = 0;
  std::uint64_t m_Appended = 0;
  std::uint64_t m_Synced = 0;
};

} // namespace psp::tests

#endif
