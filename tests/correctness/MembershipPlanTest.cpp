// Plans of the next membership change, which differs by one member.

#include "consensus/MembershipPlan.h"

#include <gtest/gtest.h>

#include <map>

namespace psp::consensus {
namespace {

MemberCandidate node(const std::string &Name, const std::string &DataCentre,
                     bool Reachable = true) {
  return {.m_Identity = Name + "/1",
          .m_Host = Name,
          .m_DataCentre = DataCentre,
          .m_Reachable = Reachable,
          .m_CaughtUp = true};
}

MembershipPlanInput threeMembers() {
  MembershipPlanInput Input;
  Input.m_Candidates = {node("a", "x"), node("b", "y"), node("c", "z")};
  Input.m_Current = planInitialMembership(Input.m_Candidates, 3);
  Input.m_Leader = "a/1";
  return Input;
}

std::set<std::string> identitiesOf(
    const std::optional<messages::fleet::GroupMembership> &Membership) {
  std::set<std::string> Identities;
  if (Membership)
    for (const auto &Member : Membership->members())
      Identities.insert(Member.id());
  return Identities;
}

TEST(MembershipPlanTest, InitialMembersAreSpreadAndOdd) {
  const auto InitialMembers = planInitialMembership(
      {node("a", "x"), node("b", "x"), node("c", "y"), node("d", "z")}, 3);
  EXPECT_EQ(identitiesOf(InitialMembers),
            (std::set<std::string>{"a/1", "c/1", "d/1"}));
  EXPECT_EQ(
      planInitialMembership({node("a", "x"), node("b", "y")}, 3).members_size(),
      1);
}

TEST(MembershipPlanTest, NothingChangesWhileAllMembersAreReachable) {
  EXPECT_EQ(planMembership(threeMembers()), std::nullopt);
}

TEST(MembershipPlanTest, UnreachableMemberStaysWithoutAReplacement) {
  auto Input = threeMembers();
  Input.m_Candidates[1].m_Reachable = false;
  EXPECT_FALSE(planMembership(Input));
  {
    SCOPED_TRACE(
        "a replacement is added before the unreachable member is removed");
    Input.m_Candidates.push_back(node("d", "y"));
    const auto Four = planMembership(Input);
    EXPECT_EQ(identitiesOf(Four),
              (std::set<std::string>{"a/1", "b/1", "c/1", "d/1"}));
    Input.m_Current = *Four;
    EXPECT_EQ(identitiesOf(planMembership(Input)),
              (std::set<std::string>{"a/1", "c/1", "d/1"}));
  }
}

TEST(MembershipPlanTest, MemberWithANewDiskIsRemovedAndAddedAgain) {
  auto Input = threeMembers();
  Input.m_Candidates[1].m_Identity = "b/2";
  const auto Two = planMembership(Input);
  EXPECT_EQ(identitiesOf(Two), (std::set<std::string>{"a/1", "c/1"}));
  Input.m_Current = *Two;
  EXPECT_EQ(identitiesOf(planMembership(Input)),
            (std::set<std::string>{"a/1", "c/1", "b/2"}));
}

TEST(MembershipPlanTest, ARetiringMemberIsReplaced) {
  auto Input = threeMembers();
  Input.m_Candidates[2].m_Retiring = true;
  Input.m_Candidates.push_back(node("d", "z"));
  Input.m_Current = planMembership(Input).value();
  EXPECT_EQ(identitiesOf(planMembership(Input)),
            (std::set<std::string>{"a/1", "b/1", "d/1"}));
}

/// While all members are reachable no other node receives the group's log,
/// which would cause traffic between data centres without need.
TEST(MembershipPlanTest, ReplacementLearnerIsChosenOnlyWhileAMemberIsMissing) {
  auto Input = threeMembers();
  Input.m_Candidates.push_back(node("d", "y"));
  Input.m_Candidates.push_back(node("e", "z"));
  for (MemberCandidate &Candidate : Input.m_Candidates)
    Candidate.m_CaughtUp =
        Candidate.m_Identity != "d/1" && Candidate.m_Identity != "e/1";
  EXPECT_TRUE(planReplacementLearner(Input).empty());
  {
    SCOPED_TRACE("a node from the data centre of the lost member");
    Input.m_Candidates[2].m_Reachable = false;
    EXPECT_EQ(planReplacementLearner(Input), std::set<std::string>{"e/1"});
    EXPECT_FALSE(planMembership(Input));
  }
  {
    SCOPED_TRACE("the replacement becomes a member once it has caught up");
    Input.m_Candidates[4].m_CaughtUp = true;
    EXPECT_EQ(identitiesOf(planMembership(Input)),
              (std::set<std::string>{"a/1", "b/1", "c/1", "e/1"}));
  }
}

/// While a node was unreachable, a node from another member's data centre
/// replaced it. Now the loss of that data centre would cost the group its
/// majority.
TEST(MembershipPlanTest, MembersMoveOutOfACrowdedDataCentre) {
  MembershipPlanInput Input;
  Input.m_Candidates = {node("a", "x"), node("b", "x"), node("c", "y"),
                        node("d", "z")};
  Input.m_Current = planInitialMembership(
      {node("a", "x"), node("b", "x"), node("c", "y")}, 3);
  Input.m_Leader = "a/1";
  Input.m_Candidates[3].m_CaughtUp = false;
  EXPECT_FALSE(planMembership(Input));
  EXPECT_EQ(planReplacementLearner(Input), std::set<std::string>{"d/1"});
  Input.m_Candidates[3].m_CaughtUp = true;
  const auto Four = planMembership(Input);
  EXPECT_EQ(identitiesOf(Four),
            (std::set<std::string>{"a/1", "b/1", "c/1", "d/1"}));
  Input.m_Current = *Four;
  Input.m_Current = planMembership(Input).value();
  EXPECT_EQ(identitiesOf(Input.m_Current),
            (std::set<std::string>{"a/1", "c/1", "d/1"}));
  {
    SCOPED_TRACE("the new membership doesn't change again");
    EXPECT_FALSE(planMembership(Input));
    EXPECT_TRUE(planReplacementLearner(Input).empty());
  }
  {
    SCOPED_TRACE("the leader stays a member even in the crowded data centre");
    Input.m_Current = *Four;
    Input.m_Leader = "b/1";
    EXPECT_EQ(identitiesOf(planMembership(Input)),
              (std::set<std::string>{"b/1", "c/1", "d/1"}));
  }
}

/// A group of five over four data centres always has two members in one of
/// them. A difference of one member isn't a reason for a change.
TEST(MembershipPlanTest, EvenSpreadIsNotChanged) {
  MembershipPlanInput Input;
  Input.m_TargetMembers = 5;
  Input.m_Candidates = {node("a", "x"), node("b", "x"), node("c", "y"),
                        node("d", "z"), node("e", "w"), node("f", "y"),
                        node("g", "z")};
  Input.m_Current = planInitialMembership(Input.m_Candidates, 5);
  Input.m_Leader = "a/1";
  EXPECT_FALSE(planMembership(Input));
  EXPECT_TRUE(planReplacementLearner(Input).empty());
}

TEST(MembershipPlanTest, GroupsAreSpreadOverAllNodes) {
  std::vector<MemberCandidate> Nodes;
  Nodes.reserve(36);
  for (int Index = 0; Index < 36; ++Index)
    Nodes.push_back(
        node("n" + std::to_string(Index), "dc" + std::to_string(Index % 5)));
  const auto Groups = planInitialMemberships(Nodes, 5, 64);
  ASSERT_EQ(Groups.size(), 64U);
  std::map<std::string, int> Memberships;
  for (const auto &Group : Groups) {
    ASSERT_EQ(Group.members_size(), 5);
    std::set<int> DataCentres;
    for (const auto &Member : Group.members()) {
      ++Memberships[Member.id()];
      DataCentres.insert(std::stoi(Member.host().substr(1)) % 5);
    }
    EXPECT_EQ(DataCentres.size(), 5U) << "a data centre has two members";
  }
  for (const auto &[Node, Count] : Memberships)
    EXPECT_LE(Count, 11)
        << Node
        << " is a member of more groups than its share of 320 memberships";
  EXPECT_EQ(Memberships.size(), 36U);
}

} // namespace
} // namespace psp::consensus
