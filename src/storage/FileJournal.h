/// \file
/// A journal in a folder: segment files, named by the sequence of their first
/// record, and one snapshot file.

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
  /// A segment that has reached this length, in bytes, is followed by a new
  /// one.
  std::uint64_t m_SegmentBytes = 64U << 20U;
  /// Keeps the location of each record in memory, for read() and release().
  bool m_IndexesRecords = false;
};

/// The journal of one process, which holds a lock on the folder. Example:
/// \code
///   FileJournal Disk({.m_Folder = Data / "control"}, [&](auto, auto Record) {
///     Voter.restoreRecord(Record);
///   });
/// \endcode
class FileJournal : public Journal {
public:
  /// Opens or creates the journal, passes its records to \p Restore and
  /// truncates a torn tail. Throws UserError(Internal) if synced records are
  /// damaged or missing, or if another process uses the folder.
  FileJournal(FileJournalOptions Options, const RecordHandler &Restore);

  std::uint64_t append(std::string_view Record) override;
  std::uint64_t sync() override;
  void writeSnapshot(std::string_view Snapshot, std::uint64_t Covered) override;
  std::uint64_t syncedSequence() const override;

  /// Returns the record with \p Sequence, synced or not. Requires
  /// m_IndexesRecords. Throws UserError(Internal) that names file and offset if
  /// it is damaged.
  std::string read(std::uint64_t Sequence) const;
  /// Removes the segments that only hold records before \p Sequence. Requires
  /// m_IndexesRecords.
  void release(std::uint64_t Sequence);
  /// Sequence of the first record of the second oldest segment, or nothing if
  /// there is only one segment.
  std::optional<std::uint64_t> secondSegmentStart() const;
  std::size_t segmentCount() const { return m_Index.size(); }
  /// Total length of all segments. Requires m_IndexesRecords.
  std::uint64_t diskBytes() const;

  /// Length of the torn tail that was truncated when the journal was opened.
  std::uint64_t truncatedBytes() const { return m_TruncatedBytes; }

private:
  std::uint64_t restoreSnapshot(const RecordHandler &Restore);
  void restoreSegments(std::uint64_t Covered, const RecordHandler &Restore);
  void truncateTail(const std::filesystem::path &Path, std::uint64_t Length);
  void startSegment(std::uint64_t First);
  void writeRecords(std::uint64_t First, std::vector<std::string> Records);
  void dropCoveredSegments(std::uint64_t Covered);
  std::vector<std::uint64_t> segmentStarts() const;
  std::filesystem::path segmentPath(std::uint64_t First) const;
  void requireIntact() const;

  /// Where a record lies in its segment.
  struct RecordLocation {
    std::uint32_t m_Offset = 0;
    std::uint32_t m_Length = 0;
    std::uint32_t m_Checksum = 0;
  };
  struct SegmentIndex {
    /// Starts with the segment's first sequence.
    std::vector<RecordLocation> m_Locations;
    std::uint64_t m_Bytes = 0;
    mutable File m_Reader; ///< Opened at the first read.
  };
  void addLocation(std::uint64_t Offset, std::string_view Record);
  void addBatchLocations(std::uint64_t Bytes,
                         const std::vector<std::string> &Records);

  FileJournalOptions m_Options;
  /// By first sequence; empty without m_IndexesRecords.
  std::map<std::uint64_t, SegmentIndex> m_Index;
  File m_Lock;
  File m_Segment; ///< The last one, open for appending.
  std::uint64_t m_SegmentFirst = 1;
  std::uint64_t m_TruncatedBytes = 0;

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::vector<std::string> m_Pending;
  std::uint64_t m_AppendedSequence = 0;
  std::uint64_t m_SyncedSequence = 0;
  bool m_Broken = false;
};

} // namespace psp::storage

#endif
