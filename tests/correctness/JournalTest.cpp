// Synced records are restored after a restart, with several segments, with
// snapshots and after the folder was wiped.

#include "storage/FileJournal.h"
#include "storage/FolderIdentity.h"

#include "base/Error.h"
#include "support/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <memory>

namespace psp::storage {
namespace {

class JournalTest : public testing::Test {
protected:
  std::unique_ptr<FileJournal> open(std::uint64_t SegmentBytes = 200) {
    m_Restored.clear();
    return std::make_unique<FileJournal>(
        FileJournalOptions{.m_Folder = m_Folder.path() / "a" / "journal",
                           .m_SegmentBytes = SegmentBytes},
        [&](std::uint64_t, std::string_view Record) {
          m_Restored.emplace_back(Record);
        });
  }

  std::size_t fileCount() const {
    std::filesystem::directory_iterator Files(m_Folder.path() / "a" /
                                              "journal");
    return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
  }

  tests::TemporaryFolder m_Folder;
  std::vector<std::string> m_Restored;
};

TEST_F(JournalTest, RestoresSyncedRecords) {
  {
    SCOPED_TRACE("three records, the last of which is never synced");
    auto Journal = open();
    EXPECT_EQ(Journal->append("one"), 1U);
    EXPECT_EQ(Journal->append(""), 2U);
    EXPECT_EQ(Journal->sync(), 2U);
    EXPECT_EQ(Journal->append("three"), 3U);
    EXPECT_EQ(Journal->syncedSequence(), 2U);
  }
  {
    SCOPED_TRACE("sequences continue after the last synced record");
    auto Journal = open();
    EXPECT_EQ(m_Restored, (std::vector<std::string>{"one", ""}));
    EXPECT_EQ(Journal->append("again"), 3U);
    EXPECT_EQ(Journal->sync(), 3U);
  }
  {
    SCOPED_TRACE("a second process can't open the same folder");
    auto Journal = open();
    EXPECT_THROW(open(), base::UserError);
  }
}

TEST_F(JournalTest, SegmentsAndSnapshot) {
  std::vector<std::string> Expected;
  {
    SCOPED_TRACE("many small segments");
    auto Journal = open();
    for (int I = 1; I <= 50; ++I) {
      Expected.push_back("record " + std::to_string(I));
      Journal->append(Expected.back());
      Journal->sync();
    }
    EXPECT_GT(fileCount(), 5U);
  }
  {
    SCOPED_TRACE(
        "all records are restored; the snapshot replaces the first 40");
    auto Journal = open();
    EXPECT_EQ(m_Restored, Expected);
    Journal->writeSnapshot("snapshot", 40);
    Expected.erase(Expected.begin(), Expected.begin() + 40);
    Expected.insert(Expected.begin(), "snapshot");
    EXPECT_LT(fileCount(), 7U);
  }
  {
    SCOPED_TRACE("a later snapshot replaces all records; one more follows");
    auto Journal = open();
    EXPECT_EQ(m_Restored, Expected);
    Journal->writeSnapshot("later", 50);
    EXPECT_EQ(Journal->append("next"), 51U);
    Journal->sync();
    EXPECT_EQ(fileCount(), 3U) << "lock, snapshot and one segment";
  }
  auto Journal = open();
  EXPECT_EQ(m_Restored, (std::vector<std::string>{"later", "next"}));
}

TEST_F(JournalTest, IdentityIsCreatedOnce) {
  base::InstanceId Self("brum-a-1");
  OpenedIdentity First = openFolderIdentity(m_Folder.path(), Self, 7);
  EXPECT_TRUE(First.m_IsNew);
  EXPECT_EQ(First.m_Identity.m_CreatedAt, 7U);
  OpenedIdentity Second = openFolderIdentity(m_Folder.path(), Self, 8);
  EXPECT_FALSE(Second.m_IsNew);
  EXPECT_EQ(Second.m_Identity, First.m_Identity);

  SCOPED_TRACE("another instance's folder is rejected");
  EXPECT_THROW(
      openFolderIdentity(m_Folder.path(), base::InstanceId("other"), 9),
      base::UserError);

  SCOPED_TRACE("a wiped folder gets a new identity");
  std::filesystem::remove(m_Folder.path() / "identity");
  OpenedIdentity Wiped = openFolderIdentity(m_Folder.path(), Self, 7);
  EXPECT_TRUE(Wiped.m_IsNew);
  EXPECT_NE(Wiped.m_Identity, First.m_Identity);
}

class JournalReadTest : public testing::Test {
protected:
  std::unique_ptr<FileJournal> open() {
    m_Restored.clear();
    return std::make_unique<FileJournal>(
        FileJournalOptions{.m_Folder = m_Folder.path(),
                           .m_SegmentBytes = 200,
                           .m_IndexesRecords = true},
        [&](std::uint64_t Sequence, std::string_view) {
          m_Restored.push_back(Sequence);
        });
  }

  static std::string textOf(std::uint64_t Sequence) {
    return "record " + std::to_string(Sequence) + std::string(40, '.');
  }

  tests::TemporaryFolder m_Folder;
  std::vector<std::uint64_t> m_Restored;
};

TEST_F(JournalReadTest, ReadsAppendedRecords) {
  auto Journal = open();
  for (std::uint64_t Sequence = 1; Sequence <= 30; ++Sequence) {
    Journal->append(textOf(Sequence));
    if (Sequence % 3 == 0)
      Journal->sync();
  }
  Journal->append(textOf(31));
  EXPECT_GT(Journal->segmentCount(), 3U);
  {
    SCOPED_TRACE("synced and unsynced records");
    for (std::uint64_t Sequence = 1; Sequence <= 31; ++Sequence)
      EXPECT_EQ(Journal->read(Sequence), textOf(Sequence));
  }
  {
    SCOPED_TRACE("after a restart, without the unsynced record");
    Journal.reset();
    Journal = open();
    EXPECT_EQ(m_Restored.size(), 30U);
    for (std::uint64_t Sequence = 1; Sequence <= 30; ++Sequence)
      EXPECT_EQ(Journal->read(Sequence), textOf(Sequence));
    EXPECT_EQ(Journal->append("next"), 31U);
  }
}

TEST_F(JournalReadTest, ReleasesWholeSegments) {
  auto Journal = open();
  for (std::uint64_t Sequence = 1; Sequence <= 30; ++Sequence) {
    Journal->append(textOf(Sequence));
    Journal->sync();
  }
  const std::size_t Before = Journal->segmentCount();
  const std::uint64_t Bytes = Journal->diskBytes();
  Journal->release(17);
  EXPECT_LT(Journal->segmentCount(), Before);
  EXPECT_LT(Journal->diskBytes(), Bytes);
  EXPECT_EQ(Journal->read(17), textOf(17));
  {
    SCOPED_TRACE("a restart begins with the first remaining segment");
    Journal.reset();
    Journal = open();
    EXPECT_GT(m_Restored.front(), 1U);
    EXPECT_LE(m_Restored.front(), 17U);
    EXPECT_EQ(m_Restored.back(), 30U);
    EXPECT_EQ(Journal->read(30), textOf(30));
  }
}

TEST_F(JournalReadTest, DamagedRecordErrorNamesFileAndOffset) {
  auto Journal = open();
  Journal->append(textOf(1));
  Journal->sync();
  const std::filesystem::path Path =
      m_Folder.path() / "segment-00000000000000000001";
  std::string Content = readFile(Path);
  Content[Content.size() - 5] = 'x';
  replaceFile(Path, Content);
  try {
    Journal->read(1);
    FAIL() << "the damaged record was returned";
  } catch (const base::UserError &Fault) {
    EXPECT_NE(std::string(Fault.what()).find("segment-"), std::string::npos);
    EXPECT_NE(std::string(Fault.what()).find("offset 24"), std::string::npos);
  }
}

} // namespace
} // namespace psp::storage
