/// \file
/// The journal in a folder: segment files named by their first sequence, and
/// one snapshot file.

#ifndef PSP_STORAGE_FILEJOURNAL_H
#define PSP_STORAGE_FILEJOURNAL_H

#include "storage/File.h"
#include "storage/Journal.h"

#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace psp::storage {

struct FileJournalOptions {
  std::filesystem::path m_Folder;
  /// A segment of at least this length is followed by a new one, in bytes.
  std::uint64_t m_SegmentBytes = 64U << 20U;
  /// Keeps the place of each record in memory, for read() and release().
  bool m_ReadsBack = false;
};

/// Example:
/// \code
///   FileJournal Disk({.m_Folder = Data / "control"}, [&](auto, auto Record) {
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

  /// The record with \p Sequence, synced or not. Only with m_ReadsBack. Throws
  /// UserError(Internal) that names file and offset when it is damaged.
  std::string read(std::uint64_t Sequence) const;
  /// Records before \p Sequence aren't needed any more: segments that hold
  /// only such records are removed. Only with m_ReadsBack.
  void release(std::uint64_t Sequence);
  /// Sequence of the first record behind the oldest segment; nothing while
  /// there is only one.
  std::optional<std::uint64_t> secondSegment() const;
  std::size_t segmentCount() const { return m_Index.size(); }
  /// Bytes of all segments.
  std::uint64_t diskBytes() const;

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

  /// Where a record lies in its segment.
  struct RecordPlace {
    std::uint32_t m_Offset = 0;
    std::uint32_t m_Length = 0;
    std::uint32_t m_Checksum = 0;
  };
  struct SegmentIndex {
    std::vector<RecordPlace> m_Places; ///< From the segment's first sequence.
    std::uint64_t m_Bytes = 0;
    mutable File m_Reader; ///< Opened with the first read.
  };
  void notePlace(std::uint64_t Offset, std::string_view Record);
  void noteBatch(std::uint64_t Bytes, const std::vector<std::string> &Records);

  FileJournalOptions m_Options;
  /// By first sequence; empty without m_ReadsBack.
  std::map<std::uint64_t, SegmentIndex> m_Index;
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
