/// \file
/// The offline verification of a data folder must detect any changed byte, a
/// truncated file, and a history that was rewritten with valid checksums. It
/// must modify nothing.

#include "base/Error.h"
#include "base/Hash.h"
#include "records/VerifyFolder.h"
#include "storage/File.h"
#include "storage/FileJournal.h"
#include "storage/FolderIdentity.h"
#include "support/SampleHistory.h"
#include "support/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <fstream>

namespace psp::records {
namespace {

namespace fs = std::filesystem;

class DataFolderTest : public ::testing::Test {
protected:
  fs::path root() const { return m_Temporary.path() / "state"; }

  /// Writes \p Histories as a ledger does, with one record per entry.
  void write(const std::vector<ProgramHistory> &Histories) {
    storage::openFolderIdentity(root(), base::InstanceId("a-ledger"), 1);
    storage::FileJournal Journal(
        {.m_Folder = root() / "programs", .m_SegmentBytes = 400},
        [](std::uint64_t, std::string_view) {});
    messages::ReplicaRecord First;
    First.set_generation(std::string(32, 'a'));
    Journal.append(First.SerializeAsString());
    for (const ProgramHistory &History : Histories) {
      for (const auto &Entry : History.m_Entries) {
        messages::ReplicaRecord Record;
        Record.set_program(History.m_Program.str());
        Record.set_keep_through(Entry.index() - 1);
        *Record.add_entries() = Entry;
        Journal.append(Record.SerializeAsString());
        Journal.sync();
      }
    }
  }

  std::vector<fs::path> files() const {
    std::vector<fs::path> Files;
    for (const auto &Entry : fs::recursive_directory_iterator(root())) {
      if (Entry.is_regular_file() && Entry.file_size() > 0)
        Files.push_back(Entry.path());
    }
    return Files;
  }
  static void put(const fs::path &Path, const std::string &Bytes) {
    std::ofstream(Path, std::ios::binary | std::ios::trunc) << Bytes;
  }

  tests::TemporaryFolder m_Temporary;
};

TEST_F(DataFolderTest, UndamagedFolderIsIntact) {
  write({tests::sampleHistory("a.01"), tests::sampleHistory("a.02")});
  const FolderContent Content = readFolder(root().string());
  EXPECT_TRUE(Content.m_Report.isIntact());
  EXPECT_EQ(Content.m_Report.m_Records, 13U);
  ASSERT_EQ(Content.m_Histories.size(), 2U);
  EXPECT_EQ(Content.m_Histories[1].m_Entries.size(), 6U);
  EXPECT_EQ(Content.m_Report.m_Programs[0].m_HeadHash,
            base::toHex(
                program::contentHash(Content.m_Histories[0].m_Entries.back())));
}

TEST_F(DataFolderTest, EveryChangedByteIsDetected) {
  write({tests::sampleHistory("a.01")});
  std::size_t Bytes = 0;
  ASSERT_GE(files().size(), 3U);
  for (const fs::path &Path : files()) {
    SCOPED_TRACE(Path.string());
    const std::string Original = storage::readFile(Path);
    for (std::size_t I = 0; I < Original.size(); ++I) {
      std::string Damaged = Original;
      Damaged[I] = static_cast<char>(Damaged[I] ^ 1);
      put(Path, Damaged);
      EXPECT_FALSE(verifyFolder(root().string()).isIntact()) << I;
      EXPECT_EQ(storage::readFile(Path), Damaged)
          << "the verification modified the file";
      ++Bytes;
    }
    put(Path, Original);
  }
  EXPECT_GT(Bytes, 500U);
  EXPECT_TRUE(verifyFolder(root().string()).isIntact());
}

TEST_F(DataFolderTest, TruncatedFileIsDetected) {
  write({tests::sampleHistory("a.01")});
  for (const fs::path &Path : files()) {
    SCOPED_TRACE(Path.string());
    const std::string Original = storage::readFile(Path);
    put(Path, Original.substr(0, Original.size() - 1));
    EXPECT_FALSE(verifyFolder(root().string()).isIntact());
    put(Path, Original);
  }
}

TEST_F(DataFolderTest, RewrittenHistoryIsDetectedByItsHashChain) {
  ProgramHistory Forged = tests::sampleHistory("a.01");
  Forged.m_Entries[2].mutable_turn_finished()->set_answer("another answer");
  write({Forged});
  const FolderReport Report = verifyFolder(root().string());
  EXPECT_TRUE(Report.m_Faults.empty());
  ASSERT_EQ(Report.m_Programs.size(), 1U);
  EXPECT_NE(Report.m_Programs[0].m_Fault.find("entry 4"), std::string::npos);
  EXPECT_FALSE(Report.isIntact());
}

TEST_F(DataFolderTest, HistoriesAreReadFromARunningLedger) {
  write({tests::sampleHistory("a.01"), tests::sampleHistory("a.02")});
  const std::string Folder = (root() / "programs").string();
  EXPECT_EQ(readHistories(Folder, {}).size(), 2U);
  const auto Filtered =
      readHistories(Folder, {.m_Program = base::ProgramId("a.02")});
  ASSERT_EQ(Filtered.size(), 1U);
  EXPECT_EQ(Filtered[0].m_Entries.size(), 6U);
  EXPECT_TRUE(
      readHistories(Folder, {.m_Organisation = base::OrganisationId("south")})
          .empty());
  std::vector<fs::path> Segments = files();
  std::erase_if(Segments, [](const fs::path &Path) {
    return Path.filename().string().rfind("segment-", 0) != 0;
  });
  std::sort(Segments.begin(), Segments.end());
  ASSERT_GE(Segments.size(), 3U);
  {
    SCOPED_TRACE("a partially written batch at the end is ignored");
    const std::string Original = storage::readFile(Segments.back());
    put(Segments.back(), Original.substr(0, Original.size() - 1));
    EXPECT_EQ(readHistories(Folder, {}).size(), 2U);
  }
  {
    SCOPED_TRACE("damage before the end is an error and yields no gap");
    const std::string Original = storage::readFile(Segments.front());
    put(Segments.front(), Original.substr(0, Original.size() - 1));
    EXPECT_THROW(readHistories(Folder, {}), base::UserError);
  }
}

TEST_F(DataFolderTest, RejectsFolderWithoutJournal) {
  EXPECT_THROW(verifyFolder(m_Temporary.path().string()), base::UserError);
  EXPECT_THROW(verifyFolder("/no/such/folder"), base::UserError);
}

} // namespace
} // namespace psp::records
