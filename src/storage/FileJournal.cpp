#include "storage/FileJournal.h"

#include "base/Error.h"
#include "storage/Segment.h"
#include "storage/SnapshotFile.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace psp::storage {

namespace {

constexpr std::string_view SegmentPrefix = "segment-";
constexpr std::size_t SequenceDigits = 20;

[[noreturn]] void fail(const std::filesystem::path &Path,
                       const std::string &Message) {
  throw base::UserError(base::ErrorKind::Internal,
                        Path.string() + ": " + Message);
}

} // namespace

FileJournal::FileJournal(FileJournalOptions Options,
                         const RecordHandler &Restore)
    : m_Options(std::move(Options)) {
  createFolder(m_Options.m_Folder);
  m_Lock = File(m_Options.m_Folder / "lock", File::Mode::Append);
  if (!m_Lock.tryLock())
    fail(
        m_Options.m_Folder,
        "expected an unused folder, found one that another process has locked");
  std::uint64_t Covered = restoreSnapshot(Restore);
  restoreSegments(Covered, Restore);
}

std::uint64_t FileJournal::restoreSnapshot(const RecordHandler &Restore) {
  std::filesystem::path Path = m_Options.m_Folder / SnapshotFileName;
  if (!std::filesystem::exists(Path))
    return 0;
  SnapshotContent Content = decodeSnapshot(Path.string(), readFile(Path));
  Restore(Content.m_CoveredSequence, Content.m_Data);
  return Content.m_CoveredSequence;
}

void FileJournal::restoreSegments(std::uint64_t Covered,
                                  const RecordHandler &Restore) {
  std::vector<std::uint64_t> Starts = segmentStarts();
  std::uint64_t Next = Covered + 1;
  // Released segments have been removed, so any first sequence is valid.
  if (m_Options.m_IndexesRecords && !Starts.empty() && Covered == 0)
    Next = Starts.front();
  if (!Starts.empty() && Starts.front() > Next)
    fail(segmentPath(Starts.front()),
         "expected the first segment to begin with sequence " +
             std::to_string(Next) + " or lower, found a gap");
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    std::filesystem::path Path = segmentPath(Starts[I]);
    if (I > 0 && Starts[I] != Next)
      fail(Path, "expected to begin with sequence " + std::to_string(Next) +
                     ", found a missing or short segment before it");
    std::string Content = readFile(Path);
    if (m_Options.m_IndexesRecords)
      m_Index[Starts[I]];
    SegmentContent Segment =
        readSegment(Path.string(), Content, Starts[I], Covered,
                    [&](const SegmentRecord &Record) {
                      addLocation(Record.m_Offset, Record.m_Bytes);
                      Restore(Record.m_Sequence, Record.m_Bytes);
                    });
    if (m_Options.m_IndexesRecords)
      m_Index[Starts[I]].m_Bytes = Segment.m_ValidBytes;
    Next = Segment.m_NextSequence;
    if (Segment.m_ValidBytes == Content.size())
      continue;
    if (I + 1 < Starts.size())
      fail(Path, "expected valid records up to the end, found an invalid one "
                 "at offset " +
                     std::to_string(Segment.m_ValidBytes));
    truncateTail(Path, Segment.m_ValidBytes);
  }
  m_AppendedSequence = std::max(Next - 1, Covered);
  m_SyncedSequence = m_AppendedSequence;
  if (Starts.empty() || Next - 1 < Covered) {
    startSegment(m_AppendedSequence + 1);
  } else {
    m_SegmentFirst = Starts.back();
    m_Segment = File(segmentPath(m_SegmentFirst), File::Mode::Append);
  }
  dropCoveredSegments(Covered);
}

void FileJournal::truncateTail(const std::filesystem::path &Path,
                               std::uint64_t Length) {
  File Out(Path, File::Mode::Append);
  m_TruncatedBytes = Out.size() - Length;
  Out.truncate(Length);
  Out.sync();
}

std::uint64_t FileJournal::append(std::string_view Record) {
  std::lock_guard Guard(m_Mutex);
  requireIntact();
  base::checkInvariant(Record.size() + RecordHeaderBytes <= MaxBatchBytes,
                       "journal: a record exceeds the batch limit");
  m_Pending.emplace_back(Record);
  return ++m_AppendedSequence;
}

std::uint64_t FileJournal::sync() {
  std::vector<std::string> Records;
  std::uint64_t First = 0;
  {
    std::lock_guard Guard(m_Mutex);
    requireIntact();
    Records.swap(m_Pending);
    First = m_SyncedSequence + 1;
    if (Records.empty())
      return m_SyncedSequence;
    // The content of the disk is unknown until the write has succeeded.
    m_Broken = true;
  }
  std::uint64_t Last = First + Records.size() - 1;
  writeRecords(First, std::move(Records));
  std::lock_guard Guard(m_Mutex);
  m_Broken = false;
  m_SyncedSequence = Last;
  return Last;
}

void FileJournal::writeRecords(std::uint64_t First,
                               std::vector<std::string> Records) {
  if (m_Segment.size() >= m_Options.m_SegmentBytes)
    startSegment(First);
  std::vector<std::string> Batch;
  std::size_t Bytes = 0;
  auto Flush = [&] {
    const std::string Encoded = encodeBatch(First, Batch);
    m_Segment.write(Encoded);
    addBatchLocations(Encoded.size(), Batch);
    m_Segment.sync();
    First += Batch.size();
    Batch.clear();
    Bytes = 0;
  };
  for (std::string &Record : Records) {
    std::size_t Length = Record.size() + RecordHeaderBytes;
    if (Bytes + Length > MaxBatchBytes)
      Flush();
    Bytes += Length;
    Batch.push_back(std::move(Record));
  }
  Flush();
}

void FileJournal::startSegment(std::uint64_t First) {
  m_Segment = File(segmentPath(First), File::Mode::CreateNew);
  m_SegmentFirst = First;
  syncFolder(m_Options.m_Folder);
  if (m_Options.m_IndexesRecords)
    m_Index[First];
}

void FileJournal::addLocation(std::uint64_t Offset, std::string_view Record) {
  if (m_Options.m_IndexesRecords)
    m_Index.rbegin()->second.m_Locations.push_back(
        {.m_Offset = static_cast<std::uint32_t>(Offset),
         .m_Length = static_cast<std::uint32_t>(Record.size()),
         .m_Checksum = checksum(Record)});
}

void FileJournal::addBatchLocations(std::uint64_t Bytes,
                                    const std::vector<std::string> &Records) {
  if (!m_Options.m_IndexesRecords)
    return;
  SegmentIndex &Last = m_Index.rbegin()->second;
  std::uint64_t Offset = Last.m_Bytes + FirstRecordOffset;
  for (const std::string &Record : Records) {
    addLocation(Offset, Record);
    Offset += Record.size() + RecordHeaderBytes;
  }
  Last.m_Bytes += Bytes;
}

std::string FileJournal::read(std::uint64_t Sequence) const {
  std::lock_guard Guard(m_Mutex);
  if (Sequence > m_SyncedSequence) {
    base::checkInvariant(Sequence <= m_AppendedSequence,
                         "journal: read beyond the last record");
    return m_Pending[Sequence - m_SyncedSequence - 1];
  }
  auto It = m_Index.upper_bound(Sequence);
  base::checkInvariant(It != m_Index.begin(),
                       "journal: read of a released record");
  --It;
  const SegmentIndex &Segment = It->second;
  const RecordLocation &Location = Segment.m_Locations.at(Sequence - It->first);
  if (!Segment.m_Reader.isOpen())
    Segment.m_Reader = File(segmentPath(It->first), File::Mode::Read);
  std::string Record =
      Segment.m_Reader.readAt(Location.m_Offset, Location.m_Length);
  if (checksum(Record) != Location.m_Checksum)
    fail(segmentPath(It->first), "expected an undamaged record at offset " +
                                     std::to_string(Location.m_Offset) +
                                     ", found a checksum that doesn't match");
  return Record;
}

void FileJournal::release(std::uint64_t Sequence) {
  const auto Second = secondSegmentStart();
  if (!Second || *Second > Sequence)
    return;
  dropCoveredSegments(Sequence - 1);
  std::lock_guard Guard(m_Mutex);
  while (m_Index.size() > 1 && std::next(m_Index.begin())->first <= Sequence)
    m_Index.erase(m_Index.begin());
}

std::optional<std::uint64_t> FileJournal::secondSegmentStart() const {
  if (m_Index.size() < 2)
    return std::nullopt;
  return std::next(m_Index.begin())->first;
}

std::uint64_t FileJournal::diskBytes() const {
  std::uint64_t Sum = 0;
  for (const auto &[First, Segment] : m_Index)
    Sum += Segment.m_Bytes;
  return Sum;
}

void FileJournal::writeSnapshot(std::string_view Snapshot,
                                std::uint64_t Covered) {
  std::uint64_t Synced = sync();
  base::checkInvariant(
      Covered <= Synced,
      "journal: a snapshot covers records that were never appended");
  replaceFile(m_Options.m_Folder / SnapshotFileName,
              encodeSnapshot(Covered, Snapshot));
  if (m_SegmentFirst <= Synced)
    startSegment(Synced + 1);
  dropCoveredSegments(Covered);
}

void FileJournal::dropCoveredSegments(std::uint64_t Covered) {
  std::vector<std::uint64_t> Starts = segmentStarts();
  // The oldest segment is removed first, so that a crash in between leaves no
  // gap.
  for (std::size_t I = 0; I + 1 < Starts.size(); ++I) {
    if (Starts[I + 1] > Covered + 1)
      return;
    std::filesystem::remove(segmentPath(Starts[I]));
    syncFolder(m_Options.m_Folder);
  }
}

std::uint64_t FileJournal::syncedSequence() const {
  std::lock_guard Guard(m_Mutex);
  return m_SyncedSequence;
}

void FileJournal::requireIntact() const {
  if (m_Broken)
    fail(m_Options.m_Folder,
         "expected a usable journal, found one whose last sync failed; "
         "it has to be opened again");
}

std::filesystem::path FileJournal::segmentPath(std::uint64_t First) const {
  std::string Digits = std::to_string(First);
  Digits.insert(0, SequenceDigits - Digits.size(), '0');
  return m_Options.m_Folder / (std::string(SegmentPrefix) + Digits);
}

std::vector<std::uint64_t> FileJournal::segmentStarts() const {
  std::vector<std::uint64_t> Starts;
  for (const auto &Entry :
       std::filesystem::directory_iterator(m_Options.m_Folder)) {
    std::string Name = Entry.path().filename().string();
    if (!Name.starts_with(SegmentPrefix))
      continue;
    std::uint64_t First = 0;
    const char *End = Name.data() + Name.size();
    auto Parsed =
        std::from_chars(Name.data() + SegmentPrefix.size(), End, First);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      fail(Entry.path(),
           "expected a sequence number in the file name, found none");
    Starts.push_back(First);
  }
  std::sort(Starts.begin(), Starts.end());
  return Starts;
}

} // namespace psp::storage
