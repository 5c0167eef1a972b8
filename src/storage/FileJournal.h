/// \file
/// The journal in a folder: segment files named by their first sequence, and
/// one snapshot file.

#ifndef PSP_STORAGE_FILEJOURNAL_H
#define PSP_STORAGE_FILEJOURNAL_H

#include "storage/File.h"
#include "storage/Journal.h"

#include <filesystem>
#include <mutex>
#include <string>
#include <vector>

namespace psp::storage {

struct FileJournalOptions {
  std::filesystem::path m_Folder;
  /// A segment of at least this length is followed by a new one, in bytes.
  std::uint64_t m_SegmentBytes = 64U << 20U;
};

/// Example:
/// \code
///   FileJournal Disk({.m_Folder = Data / "control"}, [&](auto Record) {
///     Voter.restoreRecord(Record);
///   });
/// \endcode
class FileJournal : public Journal {
public:
  /// Opens or creates the journal, hands what it holds to \p Restore, and
  /// cuts a torn tail. Throws UserError(Internal) when synced records are
  /// damaged or missing, or another process holds the folder.
  FileJournal(FileJournalOptions Options, const RecordHandler &Restore);

  std::uint64_t append(std::string_view Record) override;
  std::uint64_t sync() override;
  void writeSnapshot(std::string_view Snapshot, std::uint64_t Covered) override;
  std::uint64_t syncedSequence() const override;

  /// Bytes of a torn tail that opening has cut.
  std::uint64_t cutBytes() const { return m_CutBytes; }

private:
  std::uint64_t restoreSnapshot(const RecordHandler &Restore);
  void restoreSegments(std::uint64_t Covered, const RecordHandler &Restore);
  void cutTail(const std::filesystem::path &Path, std::uint64_t Length);
  void startSegment(std::uint64_t First);
  void writeRecords(std::uint64_t First, std::vector<std::string> Records);
  void dropCoveredSegments(std::uint64_t Covered);
  std::vector<std::uint64_t> segmentStarts() const;
  std::filesystem::path segmentPath(std::uint64_t First) const;
  void requireIntact() const;

  FileJournalOptions m_Options;
  File m_Lock;
  File m_Segment; ///< The last one, open for appending.
  std::uint64_t m_SegmentFirst = 1;
  std::uint64_t m_CutBytes = 0;

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::vector<std::string> m_Pending;
  std::uint64_t m_Appended = 0;
  std::uint64_t m_Synced = 0;
  bool m_Broken = false;
};

} // namespace psp::storage

#endif
