// Torn tails are truncated. Damage to synced records is an error that names
// file and offset. Random bytes never crash the readers and are never accepted
// as records.

#include "storage/FileJournal.h"
#include "storage/Segment.h"
#include "storage/SnapshotFile.h"

#include "base/Error.h"
#include "support/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <fstream>
#include <random>

namespace psp::storage {
namespace {

class JournalDamageTest : public testing::Test {
protected:
  std::vector<std::string> open() {
    std::vector<std::string> Restored;
    FileJournal Journal({.m_Folder = m_Folder.path()},
                        [&](std::uint64_t, std::string_view Record) {
                          Restored.emplace_back(Record);
                        });
    m_TruncatedBytes = Journal.truncatedBytes();
    return Restored;
  }

  void writeBatches(int Count) {
    FileJournal Journal({.m_Folder = m_Folder.path()}, [](auto, auto) {});
    for (int I = 0; I < Count; ++I) {
      Journal.append("first of " + std::to_string(I));
      Journal.append("second of " + std::to_string(I));
      Journal.sync();
    }
  }

  std::filesystem::path segment() const {
    return m_Folder.path() / "segment-00000000000000000001";
  }

  void replaceSegment(const std::string &Content) const {
    std::ofstream(segment(), std::ios::binary) << Content;
  }

  tests::TemporaryFolder m_Folder;
  std::uint64_t m_TruncatedBytes = 0;
};

TEST_F(JournalDamageTest, TornTailIsTruncatedAtEveryLength) {
  writeBatches(3);
  std::string Intact = readFile(segment());
  std::size_t Batch = Intact.size() / 3;
  ASSERT_EQ(Batch * 3, Intact.size());
  for (std::size_t Length = 0; Length < Intact.size(); ++Length) {
    SCOPED_TRACE("truncated to " + std::to_string(Length) + " bytes");
    replaceSegment(Intact.substr(0, Length));
    EXPECT_EQ(open().size(), Length / Batch * 2);
    EXPECT_EQ(m_TruncatedBytes, Length % Batch);
    EXPECT_EQ(std::filesystem::file_size(segment()), Length / Batch * Batch);
  }
}

TEST_F(JournalDamageTest, DamageBeforeValidRecordsNamesFileAndOffset) {
  writeBatches(3);
  std::string Intact = readFile(segment());
  std::size_t Batch = Intact.size() / 3;
  for (std::size_t At = 0; At < 2 * Batch; ++At) {
    SCOPED_TRACE("flipped byte " + std::to_string(At));
    std::string Damaged = Intact;
    Damaged[At] = static_cast<char>(Damaged[At] ^ 0x40);
    replaceSegment(Damaged);
    try {
      open();
      FAIL() << "the damage wasn't detected";
    } catch (const base::UserError &Error) {
      std::string Text = Error.what();
      EXPECT_NE(Text.find(segment().string()), std::string::npos) << Text;
      EXPECT_NE(Text.find("offset " + std::to_string(At / Batch * Batch)),
                std::string::npos)
          << Text;
    }
    EXPECT_EQ(readFile(segment()), Damaged)
        << "a damaged segment must not be truncated";
  }
}

TEST_F(JournalDamageTest, MissingSegmentOrBadSnapshotIsAnError) {
  {
    FileJournal Journal({.m_Folder = m_Folder.path(), .m_SegmentBytes = 1},
                        [](auto, auto) {});
    for (int I = 0; I < 4; ++I) {
      Journal.append("record");
      Journal.sync();
    }
  }
  std::filesystem::rename(m_Folder.path() / "segment-00000000000000000002",
                          m_Folder.path() / "aside");
  EXPECT_THROW(open(), base::UserError);
  std::filesystem::rename(m_Folder.path() / "aside",
                          m_Folder.path() / "segment-00000000000000000002");
  EXPECT_EQ(open().size(), 4U);

  std::ofstream(m_Folder.path() / "snapshot") << "pspsnap1 and more bytes";
  EXPECT_THROW(open(), base::UserError);
}

TEST_F(JournalDamageTest, RandomBytesAreNeverAccepted) {
  std::mt19937_64 Random(20261204);
  auto Bytes = [&](std::size_t Length) {
    std::string Text(Length, '\0');
    for (char &Byte : Text)
      Byte = static_cast<char>(Random() & 0xFFU);
    return Text;
  };
  std::string Valid = encodeBatch(1, {"a", "b"});
  for (int Iteration = 0; Iteration < 20000; ++Iteration) {
    std::string Content =
        (Iteration % 2 == 0 ? "" : Valid) + Bytes(Random() % 200);
    std::size_t Count = 0;
    SegmentContent Read = readSegment("random", Content, 1, 0,
                                      [&](const SegmentRecord &) { ++Count; });
    EXPECT_EQ(Count, Iteration % 2 == 0 ? 0U : 2U);
    EXPECT_EQ(Read.m_ValidBytes, Iteration % 2 == 0 ? 0U : Valid.size());

    std::string Snapshot = encodeSnapshot(3, "content");
    char &Damaged = Snapshot[Random() % Snapshot.size()];
    Damaged = static_cast<char>(Damaged ^ (1 << (Random() % 8)));
    EXPECT_THROW(decodeSnapshot("random", Snapshot), base::UserError);
    EXPECT_THROW(decodeSnapshot("random", Bytes(Random() % 60)),
                 base::UserError);
  }
}

} // namespace
} // namespace psp::storage
