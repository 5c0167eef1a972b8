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
  std::uint64_t m_First = 0;
  fs::path m_Path;

  bool operator<(const SegmentFile &Other) const {
    return m_First < Other.m_First;
  }
};

[[noreturn]] void refuse(const fs::path &Path, const std::string &Message) {
  throw base::UserError(base::ErrorKind::Internal,
                        Path.string() + ": " + Message);
}

std::vector<SegmentFile> listSegments(const fs::path &Folder) {
  std::vector<SegmentFile> Segments;
  for (const auto &Entry : fs::directory_iterator(Folder)) {
    const std::string Name = Entry.path().filename().string();
    if (!Name.starts_with(SegmentPrefix))
      continue;
    SegmentFile Next = {.m_First = 0, .m_Path = Entry.path()};
    const char *End = Name.data() + Name.size();
    const auto [Rest, Error] =
        std::from_chars(Name.data() + SegmentPrefix.size(), End, Next.m_First);
    if (Error != std::errc() || Rest != End)
      refuse(Entry.path(), "expected a sequence in the name, found none");
    Segments.push_back(Next);
  }
  std::sort(Segments.begin(), Segments.end());
  return Segments;
}

/// The records of a program journal; those of another journal are only
/// counted. A program journal is known by its first record, which holds the
/// generation of the disk and nothing else.
class JournalRecords {
public:
  /// An empty \p Wanted takes all programs.
  JournalRecords(Histories &Out, const base::ProgramId &Wanted)
      : m_Histories(Out), m_Wanted(Wanted) {}

  void take(std::string_view Record) {
    ++m_Count;
    messages::ReplicaRecord Parsed;
    const bool IsParsed =
        Parsed.ParseFromArray(Record.data(), static_cast<int>(Record.size()));
    if (m_Count == 1)
      m_HoldsPrograms = IsParsed && Parsed.program().empty() &&
                        Parsed.generation().size() == GenerationDigits;
    if (!m_HoldsPrograms || !Parsed.generation().empty())
      return;
    if (!IsParsed)
      throw base::UserError(base::ErrorKind::Internal,
                            "expected a program record, found other bytes");
    if (!m_Wanted.empty() && Parsed.program() != m_Wanted.str())
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
  const base::ProgramId &m_Wanted;
  std::size_t m_Count = 0;
  bool m_HoldsPrograms = false;
};

/// Returns the file whose last bytes form no whole batch, if there is one;
/// only the last file may have such a tail.
std::optional<std::string> readJournal(const fs::path &Folder,
                                       const std::vector<SegmentFile> &Segments,
                                       JournalRecords &Records) {
  const auto Handle = [&](const storage::SegmentRecord &Record) {
    Records.take(Record.m_Bytes);
  };
  std::uint64_t Covered = 0;
  const fs::path Snapshot = Folder / storage::SnapshotFileName;
  if (fs::exists(Snapshot)) {
    const auto Content =
        storage::decodeSnapshot(Snapshot.string(), storage::readFile(Snapshot));
    Covered = Content.m_CoveredSequence;
    Records.take(Content.m_Data);
  }
  std::optional<std::uint64_t> Next;
  for (const SegmentFile &Each : Segments) {
    if (Each.m_First != Next.value_or(Each.m_First) ||
        (!Next && Each.m_First > Covered + 1))
      refuse(Each.m_Path, "expected sequence " +
                              std::to_string(Next.value_or(Covered + 1)) +
                              ", found a gap before this file");
    const std::string Content = storage::readFile(Each.m_Path);
    const auto Read = storage::readSegment(Each.m_Path.string(), Content,
                                           Each.m_First, Covered, Handle);
    Next = Read.m_NextSequence;
    if (Read.m_ValidBytes == Content.size())
      continue;
    const std::string Tail =
        "bytes from offset " + std::to_string(Read.m_ValidBytes) +
        " on form no whole batch: changed, or torn by a crash";
    if (&Each != &Segments.back())
      refuse(Each.m_Path, Tail);
    return Each.m_Path.string() + ": " + Tail;
  }
  return std::nullopt;
}

/// The identity is checked by its own checksum.
void checkIdentity(const fs::path &Path) {
  const std::string Text = storage::readFile(Path);
  const base::InstanceId Instance(Text.substr(0, Text.find('\n')));
  storage::openFolderIdentity(Path.parent_path(), Instance, 0);
}

class FolderReader {
public:
  FolderContent read(const fs::path &Folder) {
    readOne(Folder);
    for (const auto &Entry : fs::recursive_directory_iterator(Folder)) {
      if (Entry.is_directory())
        readOne(Entry.path());
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
  void readOne(const fs::path &Folder) {
    FolderReport &Report = m_Result.m_Report;
    const base::ProgramId Every;
    JournalRecords Records(m_Histories, Every);
    try {
      if (fs::exists(Folder / IdentityFileName))
        checkIdentity(Folder / IdentityFileName);
      const std::vector<SegmentFile> Segments = listSegments(Folder);
      const bool IsJournal =
          !Segments.empty() || fs::exists(Folder / storage::SnapshotFileName);
      Report.m_Journals += IsJournal ? 1 : 0;
      if (!IsJournal)
        return;
      if (const auto Tail = readJournal(Folder, Segments, Records))
        Report.m_Faults.push_back(*Tail);
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
  Histories Found;
  JournalRecords Records(Found, Filter.m_Program);
  readJournal(Folder, listSegments(Folder), Records);
  std::vector<ProgramHistory> Result;
  for (auto &[Program, Entries] : Found) {
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
