// What a group has acknowledged is never lost and never differs between
// members, whatever the seed does within the tolerated losses.

#include "support/GroupSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

namespace psp::testsupport {
namespace {

using base::milliseconds;
using base::seconds;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

void expectAllKept(GroupSimulation &Group) {
  const auto Leader = Group.leader();
  ASSERT_TRUE(Leader) << "no leader after everything has healed";
  const auto &Applied = Group.applied(*Leader);
  const std::set<std::string> Known(Applied.begin(), Applied.end());
  for (const std::string &Each : Group.acknowledged())
    EXPECT_TRUE(Known.contains(Each)) << "lost: " << Each;
  EXPECT_EQ(Group.findDivergence(), std::nullopt);
  EXPECT_EQ(Group.findUnreadable(*Leader), std::nullopt);
}

/// One fault at a time of those that take a disk or a vote; any may freeze.
void disturb(GroupSimulation &Group) {
  const std::size_t Victim = Group.random()() % Group.size();
  switch (Group.random()() % 6) {
  case 0:
    Group.crash(Victim);
    Group.pass(milliseconds(300 + Group.random()() % 1500));
    Group.restart(Victim);
    break;
  case 1:
    Group.wipe(Victim);
    Group.pass(milliseconds(300 + Group.random()() % 1500));
    Group.restart(Victim);
    break;
  case 2:
    Group.freeze(Victim, true);
    Group.pass(milliseconds(500 + Group.random()() % 4000));
    Group.freeze(Victim, false);
    break;
  case 3:
    for (std::size_t Other = 0; Other < Group.size(); ++Other)
      Group.cut(Victim, Other, true);
    Group.pass(milliseconds(500 + Group.random()() % 4000));
    Group.healAll();
    break;
  case 4:
    Group.cut(Victim, (Victim + 1) % Group.size(), true);
    Group.pass(milliseconds(500 + Group.random()() % 3000));
    Group.healAll();
    break;
  default:
    for (std::size_t Each = 0; Each < Group.size(); ++Each)
      Group.crash(Each);
    Group.pass(milliseconds(200));
    Group.healAll();
    break;
  }
}

void playSeed(std::uint64_t Seed) {
  SCOPED_TRACE("seed " + std::to_string(Seed));
  GroupSimulation Group({.m_Seed = Seed,
                         .m_Nodes = 3 + Seed % 3,
                         .m_Founders = 3,
                         .m_TargetMembers = Seed % 3 == 2 ? 5U : 3U,
                         .m_StandingLearners = Seed % 2 == 0});
  Group.pass(seconds(3));
  std::uint64_t Command = 0;
  for (int Round = 0; Round < 8; ++Round) {
    for (int Each = 0; Each < 20; ++Each) {
      Group.submit("c" + std::to_string(++Command));
      Group.pass(milliseconds(15));
    }
    disturb(Group);
    // The tolerated losses don't overlap: the group catches up between them.
    Group.pass(seconds(4));
    EXPECT_EQ(Group.findDivergence(), std::nullopt);
    if (Seed % 4 == 1)
      for (std::size_t Each = 0; Each < Group.size(); ++Each)
        Group.leaveIfRemoved(Each);
  }
  Group.healAll();
  Group.pass(seconds(5));
  expectAllKept(Group);
  EXPECT_GT(Group.acknowledged().size(), 40U);
}

TEST(GroupRandomTest, AcknowledgedCommandsSurviveEverySeed) {
  const std::uint64_t First = numberFrom("PSP_SEED", 1);
  const std::uint64_t Runs = numberFrom("PSP_RUNS", 60);
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed)
    playSeed(Seed);
}

/// Found by seed 39: two candidates of one term waited for each other for good.
TEST(GroupRandomTest, ASplitVoteIsFollowedByAnotherElection) { playSeed(39); }

TEST(GroupRandomTest, AWipedNodeTakesItsPlaceAgain) {
  GroupSimulation Group({.m_Seed = 7});
  Group.pass(seconds(3));
  for (int Each = 0; Each < 200; ++Each)
    Group.submit("before" + std::to_string(Each));
  Group.pass(seconds(1));
  {
    SCOPED_TRACE("the leader loses its disk");
    const std::size_t Leader = Group.leader().value();
    Group.wipe(Leader);
    Group.pass(seconds(2));
    Group.restart(Leader);
    Group.pass(seconds(3));
    EXPECT_EQ(Group.memberCount(), 3U);
  }
  {
    SCOPED_TRACE("then another is lost: what was acknowledged is still there");
    const std::size_t Leader = Group.leader().value();
    Group.wipe(Leader);
    Group.pass(seconds(2));
    EXPECT_TRUE(Group.submit("after"));
    Group.restart(Leader);
    Group.pass(seconds(3));
    expectAllKept(Group);
  }
}

TEST(GroupRandomTest, ASpareReplacesAMemberThatIsGone) {
  GroupSimulation Group({.m_Seed = 11, .m_Nodes = 4});
  Group.pass(seconds(3));
  Group.submit("first");
  Group.pass(milliseconds(200));
  const std::size_t Gone = (Group.leader().value() + 1) % 3;
  Group.crash(Gone);
  Group.pass(seconds(4));
  EXPECT_EQ(Group.memberCount(), 3U);
  {
    SCOPED_TRACE("the group bears another loss now");
    const std::size_t Next = Group.leader().value();
    Group.crash(Next);
    Group.pass(seconds(3));
    EXPECT_TRUE(Group.submit("second"));
    Group.pass(milliseconds(300));
    EXPECT_TRUE(Group.acknowledged().contains("second"));
  }
}

TEST(GroupRandomTest, AGroupGrowsFromItsFoundersToItsTarget) {
  GroupSimulation Group(
      {.m_Seed = 5, .m_Nodes = 6, .m_Founders = 3, .m_TargetMembers = 5});
  Group.pass(seconds(6));
  EXPECT_EQ(Group.memberCount(), 5U);
}

} // namespace
} // namespace psp::testsupport
