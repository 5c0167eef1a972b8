#include "records/VerifyFolder.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "program/HashChain.h"
#include "storage/File.h"
#include "storage/FolderIdentity.h"
#include "storage/Segment.h"
#include "storage/SnapshotFile.h"

#include <charconv>
#include <filesystem>
#include <map>
#include <optional>
#include <string_view>

namespace psp::records {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view SegmentPrefix = "segment-";
constexpr std::string_view IdentityFileName = "identity";
constexpr std::size_t GenerationDigits = 32;

using Histories =
    std::map<std::string, std::vector<messages::ProgramEntry>, std::less<>>;

struct SegmentFile {
  std::uint64_t m_FirstSequence = 0;
  fs::path m_Path;

  bool operator<(const SegmentFile &Other) const {
    return m_FirstSequence < Other.m_FirstSequence;
  }
};

[[noreturn]] void throwFault(const fs::path &Path, const std::string &Message) {
  throw base::UserError(base::ErrorKind::Internal,
                        Path.string() + ": " + Message);
}

std::vector<SegmentFile> listSegments(const fs::path &Folder) {
  std::vector<SegmentFile> Segments;
  for (const auto &Entry : fs::directory_iterator(Folder)) {
    const std::string Name = Entry.path().filename().string();
    if (!Name.starts_with(SegmentPrefix))
      continue;
    SegmentFile Next = {.m_FirstSequence = 0, .m_Path = Entry.path()};
    const char *End = Name.data() + Name.size();
    const auto [ParseEnd, Error] = std::from_chars(
        Name.data() + SegmentPrefix.size(), End, Next.m_FirstSequence);
    if (Error != std::errc() || ParseEnd != End)
      throwFault(Entry.path(),
                 "expected a sequence number in the file name, found none");
    Segments.push_back(Next);
  }
  std::sort(Segments.begin(), Segments.end());
  return Segments;
}

/// Collects the records of a program journal. The records of other journals are
/// only counted. A program journal is identified by its first record, which
/// contains only the generation of the disk.
class JournalReader {
public:
  /// An empty \p ProgramFilter selects all programs.
  JournalReader(Histories &Out, const base::ProgramId &ProgramFilter)
      : m_Histories(Out), m_ProgramFilter(ProgramFilter) {}

  void add(std::string_view Record) {
    ++m_Count;
    messages::ReplicaRecord Parsed;
    const bool IsParsed =
        Parsed.ParseFromArray(Record.data(), static_cast<int>(Record.size()));
    if (m_Count == 1)
      m_IsProgramJournal = IsParsed && Parsed.program().empty() &&
                           Parsed.generation().size() == GenerationDigits;
    if (!m_IsProgramJournal || !Parsed.generation().empty())
      return;
    if (!IsParsed)
      throw base::UserError(
          base::ErrorKind::Internal,
          "expected a program record, found bytes that can't be parsed");
    if (!m_ProgramFilter.empty() && Parsed.program() != m_ProgramFilter.str())
      return;
    auto &Entries = m_Histories[Parsed.program()];
    if (Parsed.keep_through() < Entries.size())
      Entries.resize(Parsed.keep_through());
    Entries.insert(Entries.end(), Parsed.entries().begin(),
                   Parsed.entries().end());
  }

  std::size_t count() const { return m_Count; }

private:
  Histories &m_Histories;
  const base::ProgramId &m_ProgramFilter;
  std::size_t m_Count = 0;
  bool m_IsProgramJournal = false;
};

/// Reads a journal. Returns a message if the last bytes of the last file don't
/// form a complete batch; in any other file that is an error.
std::optional<std::string> readJournal(const fs::path &Folder,
                                       const std::vector<SegmentFile> &Segments,
                                       JournalReader &Records) {
  const auto AddRecord = [&](const storage::SegmentRecord &Record) {
    Records.add(Record.m_Bytes);
  };
  std::uint64_t CoveredSequence = 0;
  const fs::path Snapshot = Folder / storage::SnapshotFileName;
  if (fs::exists(Snapshot)) {
    const auto Content =
        storage::decodeSnapshot(Snapshot.string(), storage::readFile(Snapshot));
    CoveredSequence = Content.m_CoveredSequence;
    Records.add(Content.m_Data);
  }
  std::optional<std::uint64_t> Next;
  for (const SegmentFile &Segment : Segments) {
    if (Segment.m_FirstSequence != Next.value_or(Segment.m_FirstSequence) ||
        (!Next && Segment.m_FirstSequence > CoveredSequence + 1))
      throwFault(Segment.m_Path,
                 "expected sequence " +
                     std::to_string(Next.value_or(CoveredSequence + 1)) +
                     ", found a gap before this file");
    const std::string Content = storage::readFile(Segment.m_Path);
    const auto ReadResult = storage::readSegment(
        Segment.m_Path.string(), Content, Segment.m_FirstSequence,
        CoveredSequence, AddRecord);
    Next = ReadResult.m_NextSequence;
    if (ReadResult.m_ValidBytes == Content.size())
      continue;
    const std::string TailFault =
        "bytes from offset " + std::to_string(ReadResult.m_ValidBytes) +
        " on are not a complete batch: damaged, or torn by a crash";
    if (&Segment != &Segments.back())
      throwFault(Segment.m_Path, TailFault);
    return Segment.m_Path.string() + ": " + TailFault;
  }
  return std::nullopt;
}

/// Verifies the identity file by its checksum.
void checkIdentity(const fs::path &Path) {
  const std::string Text = storage::readFile(Path);
  const base::InstanceId Instance(Text.substr(0, Text.find('\n')));
  storage::openFolderIdentity(Path.parent_path(), Instance, 0);
}

class FolderReader {
public:
  FolderContent read(const fs::path &Folder) {
    readJournalFolder(Folder);
    for (const auto &Entry : fs::recursive_directory_iterator(Folder)) {
      if (Entry.is_directory())
        readJournalFolder(Entry.path());
    }
    if (m_Result.m_Report.m_Journals == 0)
      throw base::UserError(base::ErrorKind::NotFound,
                            Folder.string() + ": expected a data folder, found "
                                              "no journal below it");
    for (auto &[Program, Entries] : m_Histories)
      addProgram(Program, std::move(Entries));
    return std::move(m_Result);
  }

private:
  void readJournalFolder(const fs::path &Folder) {
    FolderReport &Report = m_Result.m_Report;
    const base::ProgramId AllPrograms;
    JournalReader Records(m_Histories, AllPrograms);
    try {
      if (fs::exists(Folder / IdentityFileName))
        checkIdentity(Folder / IdentityFileName);
      const std::vector<SegmentFile> Segments = listSegments(Folder);
      const bool IsJournal =
          !Segments.empty() || fs::exists(Folder / storage::SnapshotFileName);
      Report.m_Journals += IsJournal ? 1 : 0;
      if (!IsJournal)
        return;
      if (const auto TailFault = readJournal(Folder, Segments, Records))
        Report.m_Faults.push_back(*TailFault);
    } catch (const base::UserError &Error) {
      Report.m_Faults.emplace_back(Error.what());
    }
    Report.m_Records += Records.count();
  }

  void addProgram(const std::string &Program,
                  std::vector<messages::ProgramEntry> Entries) {
    ProgramReport Report;
    Report.m_Program = base::ProgramId(Program);
    Report.m_Entries = Entries.size();
    if (!Entries.empty())
      Report.m_HeadHash = base::toHex(program::contentHash(Entries.back()));
    if (const auto Fault = program::verifyChain(Entries))
      Report.m_Fault =
          "entry " + std::to_string(Fault->m_Index) + ": " + Fault->m_Reason;
    m_Result.m_Report.m_Programs.push_back(Report);
    m_Result.m_Histories.push_back(
        {.m_Program = Report.m_Program, .m_Entries = std::move(Entries)});
  }

  Histories m_Histories;
  FolderContent m_Result;
};

} // namespace

FolderContent readFolder(const std::string &Folder) {
  if (!fs::is_directory(Folder))
    throw base::UserError(base::ErrorKind::NotFound,
                          Folder + ": expected a folder");
  return FolderReader().read(Folder);
}

std::vector<ProgramHistory> readHistories(const std::string &Folder,
                                          const RecordFilter &Filter) {
  Histories AllHistories;
  JournalReader Records(AllHistories, Filter.m_Program);
  readJournal(Folder, listSegments(Folder), Records);
  std::vector<ProgramHistory> Result;
  for (auto &[Program, Entries] : AllHistories) {
    const bool OrganisationMatches =
        Filter.m_Organisation.empty() ||
        (!Entries.empty() && Entries.front().created().organisation() ==
                                 Filter.m_Organisation.str());
    const bool HasMatch =
        OrganisationMatches &&
        std::any_of(Entries.begin(), Entries.end(), [&](const auto &Entry) {
          return Entry.wall_time_us() >= Filter.m_From &&
                 Entry.wall_time_us() <= Filter.m_Until;
        });
    if (HasMatch)
      Result.push_back({.m_Program = base::ProgramId(Program),
                        .m_Entries = std::move(Entries)});
  }
  return Result;
}

FolderReport verifyFolder(const std::string &Folder) {
  return readFolder(Folder).m_Report;
}

} // namespace psp::records
