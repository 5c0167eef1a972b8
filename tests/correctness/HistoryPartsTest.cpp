// The small decisions of a history node: which group a program belongs to, who
// leads it, what waits for a place, and whether there is room.

#include "fleet/LeaderTable.h"
#include "fleet/ProgramGroups.h"
#include "history/CapacityMonitor.h"
#include "history/SlotRequestTable.h"

#include <gtest/gtest.h>

#include <map>

namespace psp::history {
namespace {

using base::milliseconds;
using base::seconds;

TEST(ProgramGroupsTest, ProgramsAreSpreadOverAllGroups) {
  constexpr std::size_t Groups = 16;
  std::map<std::uint32_t, std::size_t> Counts;
  for (int Each = 0; Each < 16000; ++Each)
    ++Counts[fleet::groupOfProgram("guild", "p" + std::to_string(Each),
                                   Groups)];
  ASSERT_EQ(Counts.size(), Groups);
  for (const auto &[Group, Count] : Counts) {
    EXPECT_LT(Group, Groups);
    EXPECT_NEAR(static_cast<double>(Count), 1000, 150);
  }
  EXPECT_EQ(fleet::groupOfProgram("guild", "p1", Groups),
            fleet::groupOfProgram("guild", "p1", Groups));
}

TEST(LeaderTableTest, TheNewestTermWins) {
  fleet::LeaderTable Table;
  messages::fleet::GroupLeader News;
  News.set_group(3);
  News.set_term(5);
  News.set_node("history-1");
  News.set_membership_index(10);
  EXPECT_TRUE(Table.merge(News));
  EXPECT_EQ(Table.leaderOf(3), "history-1");
  EXPECT_EQ(Table.leaderOf(4), "");
  {
    SCOPED_TRACE("a late word of an earlier leader changes nothing");
    News.set_term(4);
    News.set_node("history-2");
    EXPECT_FALSE(Table.merge(News));
    EXPECT_EQ(Table.leaderOf(3), "history-1");
  }
  {
    SCOPED_TRACE("the same leader with other members is news");
    News.set_term(5);
    News.set_node("history-1");
    News.set_membership_index(12);
    EXPECT_TRUE(Table.merge(News));
    EXPECT_FALSE(Table.merge(News));
  }
}

class PlaceRequestsTest : public testing::Test {
protected:
  std::uint64_t add(const std::string &Turn, std::uint32_t Group = 0) {
    SlotRequestTable::Request Asked;
    Asked.set_id(7);
    Asked.set_group(Group);
    Asked.mutable_begin()->set_turn(Turn);
    return m_Places.add({.m_Node = "entry-1",
                         .m_Request = Asked,
                         .m_NewProgram = false,
                         .m_ArrivedAt = m_Now,
                         .m_SentAt = m_Now});
  }

  SlotRequestTable m_Places;
  base::TimePoint m_Now{seconds(1)};
};

TEST_F(PlaceRequestsTest, ATurnWaitsOnceWhoeverAsks) {
  const std::uint64_t Id = add("t");
  SlotRequestTable::Request Again;
  Again.set_id(9);
  Again.mutable_begin()->set_turn("t");
  EXPECT_TRUE(m_Places.join("entry-2", Again));
  const auto Taken = m_Places.take(Id);
  ASSERT_TRUE(Taken);
  EXPECT_EQ(Taken->m_Node, "entry-2");
  EXPECT_EQ(Taken->m_Request.id(), 9U);
  EXPECT_FALSE(m_Places.take(Id));
  EXPECT_FALSE(m_Places.join("entry-1", Again));
}

/// Load pattern: the one who grants places is lost.
TEST_F(PlaceRequestsTest, AskAgainAndInTheEndGoWithout) {
  const std::uint64_t Id = add("t");
  EXPECT_TRUE(m_Places.takeUnanswered(m_Now + milliseconds(20)).empty());
  m_Now += milliseconds(80);
  EXPECT_EQ(m_Places.takeUnanswered(m_Now), std::vector<std::uint64_t>{Id});
  EXPECT_TRUE(m_Places.takeUnanswered(m_Now).empty());
  EXPECT_TRUE(m_Places.takeOverdue(m_Now).empty());
  m_Now += milliseconds(150);
  EXPECT_FALSE(m_Places.granterIsMissing());
  EXPECT_EQ(m_Places.takeOverdue(m_Now).size(), 1U);
  EXPECT_EQ(m_Places.size(), 0U);
  {
    SCOPED_TRACE("the next ones needn't wait until somebody answers again");
    EXPECT_TRUE(m_Places.granterIsMissing());
    EXPECT_TRUE(m_Places.takeOverdue(m_Now).empty());
    EXPECT_TRUE(m_Places.granterIsMissing());
    m_Places.noteAnswer();
    EXPECT_FALSE(m_Places.granterIsMissing());
  }
}

TEST_F(PlaceRequestsTest, AGroupThatIsNotLedAnyMoreGivesItsTurnsBack) {
  add("a", 1);
  add("b", 2);
  add("c", 1);
  EXPECT_EQ(m_Places.takeGroup(1).size(), 2U);
  EXPECT_EQ(m_Places.size(), 1U);
}

/// Load pattern: more comes in than retention lets go.
TEST(RoomWatchTest, IsFullBeforeTheMachineIs) {
  CapacityMonitor Room({.m_MemoryBytes = 100, .m_DiskBytes = 1000});
  EXPECT_FALSE(Room.update({.m_MemoryBytes = 65, .m_DiskBytes = 100}));
  EXPECT_TRUE(Room.update({.m_MemoryBytes = 75, .m_DiskBytes = 100}));
  EXPECT_TRUE(Room.isFull());
  {
    SCOPED_TRACE("it opens again some way below");
    EXPECT_FALSE(Room.update({.m_MemoryBytes = 65, .m_DiskBytes = 100}));
    EXPECT_TRUE(Room.update({.m_MemoryBytes = 55, .m_DiskBytes = 100}));
    EXPECT_FALSE(Room.isFull());
  }
  {
    SCOPED_TRACE("the disk counts as well");
    EXPECT_TRUE(Room.update({.m_MemoryBytes = 10, .m_DiskBytes = 800}));
    EXPECT_TRUE(Room.isFull());
  }
  {
    SCOPED_TRACE("without limits there is always room");
    CapacityMonitor Open{ResourceLimits{}};
    EXPECT_FALSE(Open.update({.m_MemoryBytes = 1000, .m_DiskBytes = 1000}));
  }
}

} // namespace
} // namespace psp::history
