// One ledger is isolated from the others and reconnected while operators keep
// submitting. Guards against an election that the reconnected ledger causes,
// and against an uncommitted tail that stays in its log.

#include "support/ControlSimulation.h"

#include <gtest/gtest.h>

namespace psp::tests {
namespace {

using base::seconds;

class ControlLogCutTest : public testing::Test {
protected:
  ControlSimulation m_Simulation{
      {.m_Voters = 3, .m_Seed = 11, .m_Loss = 0, .m_Faults = false}};
};

TEST_F(ControlLogCutTest, FollowerReconnectsWithoutElection) {
  m_Simulation.run(seconds(3));
  std::size_t Leader = m_Simulation.leader();
  std::uint64_t Term = m_Simulation.voter(Leader).term();
  std::size_t Follower = (Leader + 1) % 3;
  {
    SCOPED_TRACE("while isolated it requests pre-votes, and its term stays");
    m_Simulation.isolate(Follower);
    m_Simulation.run(seconds(10));
    EXPECT_EQ(m_Simulation.voter(Follower).role(),
              control::RoleKind::PreCandidate);
    EXPECT_EQ(m_Simulation.voter(Follower).term(), Term);
  }
  {
    SCOPED_TRACE(
        "after reconnecting it follows the same leader in the same term");
    m_Simulation.reconnect(Follower);
    ASSERT_NO_THROW(m_Simulation.healAndCheck(seconds(3)));
    EXPECT_EQ(m_Simulation.leader(), Leader);
    EXPECT_EQ(m_Simulation.voter(Follower).term(), Term);
    EXPECT_EQ(m_Simulation.counts().m_Terms, Term);
  }
}

TEST_F(ControlLogCutTest, IsolatedLeaderStepsDownAndItsTailIsReplaced) {
  m_Simulation.run(seconds(3));
  std::size_t Old = m_Simulation.leader();
  std::uint64_t Committed = m_Simulation.voter(Old).commitIndex();
  {
    SCOPED_TRACE("the isolated leader steps down, another one commits");
    m_Simulation.isolate(Old);
    m_Simulation.run(seconds(5));
    EXPECT_FALSE(m_Simulation.voter(Old).isLeader());
    EXPECT_GT(m_Simulation.voter(Old).lastIndex(),
              m_Simulation.voter(Old).commitIndex())
        << "it accepted submissions that it could not commit";
    std::size_t New = m_Simulation.leader();
    EXPECT_NE(New, Old);
    EXPECT_GT(m_Simulation.voter(New).commitIndex(), Committed + 50);
  }
  {
    SCOPED_TRACE("after reconnecting it adopts what the others committed");
    m_Simulation.reconnect(Old);
    ASSERT_NO_THROW(m_Simulation.healAndCheck(seconds(5)));
  }
}

} // namespace
} // namespace psp::tests
