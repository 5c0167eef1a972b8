// What a member restores from its journal after a restart, when the oldest
// segments are removed and others hold more records than are needed.

#include "consensus/GroupLog.h"
#include "messages/Parse.h"
#include "support/GroupSimulation.h"

#include <gtest/gtest.h>

namespace psp::consensus {
namespace {

class GroupLogTest : public testing::Test {
protected:
  void append(std::uint64_t From, std::uint64_t To, std::uint64_t Term = 1) {
    for (std::uint64_t Index = From; Index <= To; ++Index) {
      GroupLog::Entry Next;
      Next.set_index(Index);
      Next.set_term(Term);
      Next.set_command("command " + std::to_string(Index));
      m_Log.append(Next);
    }
  }

  void checkpoint(std::uint64_t Index, std::uint64_t Base) {
    GroupLog::Snapshot Content;
    Content.set_index(Index);
    Content.set_base_index(Base);
    Content.set_term(m_Log.termAt(Base).value());
    Content.set_state("state " + std::to_string(Index));
    m_Log.checkpoint(Content);
    m_Disk.sync();
    m_Log.onSynced();
  }

  /// Restores the log from the records that start at \p First.
  GroupLog restart(std::uint64_t First) {
    GroupLog Restored(m_Disk, 3, MaxCachedBytes);
    for (const auto &[Sequence, Record] : m_Disk.records())
      if (Sequence >= First)
        Restored.restore(
            Sequence, messages::parseMessage<GroupLog::Record>(Record, "test"));
    return Restored;
  }

  static constexpr std::uint64_t MaxCachedBytes = 200;
  testsupport::SimulatedDisk m_Disk{"disk"};
  GroupLog m_Log{m_Disk, 3, MaxCachedBytes};
};

TEST_F(GroupLogTest, KeepsEntriesThatItsSnapshotRefersTo) {
  append(1, 50);
  checkpoint(45, 20);
  EXPECT_EQ(m_Log.firstIndex(), 21U);
  EXPECT_EQ(m_Log.lastIndex(), 50U);
  EXPECT_EQ(m_Log.read(21).command(), "command 21");
  EXPECT_EQ(m_Log.oldestNeededRecord(), m_Log.sequenceOf(21));
  {
    SCOPED_TRACE("after a restart");
    GroupLog Restored = restart(m_Log.oldestNeededRecord());
    const auto State = Restored.takeRestoredSnapshot();
    ASSERT_TRUE(State);
    EXPECT_EQ(State->index(), 45U);
    EXPECT_EQ(Restored.firstIndex(), 21U);
    EXPECT_EQ(Restored.lastIndex(), 50U);
    EXPECT_EQ(Restored.read(30).command(), "command 30");
    EXPECT_EQ(Restored.termAt(20), 1U);
  }
}

/// Guards against a wrong base index seen on the test bench: only complete
/// segments are dropped, so a restart also finds older records. Here one of
/// them is an older snapshot whose base lies before the first of these records.
TEST_F(GroupLogTest, OlderSnapshotDoesNotMoveTheBase) {
  append(1, 30);
  checkpoint(30, 10);
  append(31, 60);
  checkpoint(60, 55);
  for (std::uint64_t First = 12; First <= 30; First += 3) {
    SCOPED_TRACE("first record " + std::to_string(First));
    GroupLog Restored = restart(First);
    const auto State = Restored.takeRestoredSnapshot();
    ASSERT_TRUE(State);
    EXPECT_EQ(State->index(), 60U);
    EXPECT_EQ(Restored.firstIndex(), 56U);
    EXPECT_EQ(Restored.lastIndex(), 60U);
    EXPECT_EQ(Restored.read(57).command(), "command 57");
  }
}

TEST_F(GroupLogTest, ReplacedEntriesStayReplacedAfterARestart) {
  append(1, 40);
  append(25, 45, 2);
  checkpoint(45, 24);
  for (std::uint64_t First : {1U, 20U, 30U, 39U}) {
    SCOPED_TRACE("first record " + std::to_string(First));
    GroupLog Restored = restart(First);
    ASSERT_TRUE(Restored.takeRestoredSnapshot());
    EXPECT_EQ(Restored.firstIndex(), 25U);
    EXPECT_EQ(Restored.lastIndex(), 45U);
    EXPECT_EQ(Restored.termAt(30), 2U);
  }
}

TEST_F(GroupLogTest, LeavingKeepsOnlyTermAndVote) {
  append(1, 10);
  m_Log.setTerm(7, "disk-b");
  m_Log.leave();
  m_Disk.sync();
  m_Log.onSynced();
  EXPECT_EQ(m_Log.lastIndex(), 0U);
  GroupLog Restored = restart(1);
  EXPECT_FALSE(Restored.takeRestoredSnapshot());
  EXPECT_EQ(Restored.lastIndex(), 0U);
  EXPECT_EQ(Restored.term(), 7U);
  EXPECT_EQ(Restored.vote(), "disk-b");
}

} // namespace
} // namespace psp::consensus
