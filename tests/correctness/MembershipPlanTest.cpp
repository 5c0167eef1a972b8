// Who becomes a member next, one change at a time.

#include "consensus/MembershipPlan.h"

#include <gtest/gtest.h>

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
  Input.m_Current = planFounders(Input.m_Candidates, 3);
  Input.m_Leader = "a/1";
  return Input;
}

std::set<std::string>
namesOf(const std::optional<messages::fleet::GroupMembership> &Members) {
  std::set<std::string> Names;
  if (Members)
    for (const auto &Each : Members->members())
      Names.insert(Each.id());
  return Names;
}

TEST(MembershipPlanTest, FoundersAreSpreadAndOdd) {
  const auto Founders = planFounders(
      {node("a", "x"), node("b", "x"), node("c", "y"), node("d", "z")}, 3);
  EXPECT_EQ(namesOf(Founders), (std::set<std::string>{"a/1", "c/1", "d/1"}));
  EXPECT_EQ(planFounders({node("a", "x"), node("b", "y")}, 3).members_size(),
            1);
}

TEST(MembershipPlanTest, NothingChangesWhileAllAreThere) {
  EXPECT_EQ(planMembership(threeMembers()), std::nullopt);
}

TEST(MembershipPlanTest, ASilentMemberStaysWithoutASubstitute) {
  auto Input = threeMembers();
  Input.m_Candidates[1].m_Reachable = false;
  EXPECT_EQ(planMembership(Input), std::nullopt);
  {
    SCOPED_TRACE("a substitute is added first, then the silent one goes");
    Input.m_Candidates.push_back(node("d", "y"));
    const auto Four = planMembership(Input);
    EXPECT_EQ(namesOf(Four),
              (std::set<std::string>{"a/1", "b/1", "c/1", "d/1"}));
    Input.m_Current = *Four;
    EXPECT_EQ(namesOf(planMembership(Input)),
              (std::set<std::string>{"a/1", "c/1", "d/1"}));
  }
}

TEST(MembershipPlanTest, AnEmptyDiskLosesItsPlaceAndGetsItBack) {
  auto Input = threeMembers();
  Input.m_Candidates[1].m_Identity = "b/2";
  const auto Two = planMembership(Input);
  EXPECT_EQ(namesOf(Two), (std::set<std::string>{"a/1", "c/1"}));
  Input.m_Current = *Two;
  EXPECT_EQ(namesOf(planMembership(Input)),
            (std::set<std::string>{"a/1", "c/1", "b/2"}));
}

TEST(MembershipPlanTest, ARetiringMemberIsReplaced) {
  auto Input = threeMembers();
  Input.m_Candidates[2].m_Retiring = true;
  Input.m_Candidates.push_back(node("d", "z"));
  Input.m_Current = planMembership(Input).value();
  EXPECT_EQ(namesOf(planMembership(Input)),
            (std::set<std::string>{"a/1", "b/1", "d/1"}));
}

} // namespace
} // namespace psp::consensus
