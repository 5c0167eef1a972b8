// The choice of the engine for a turn, under the loads that its rules are made
// for.

#include "turns/EnginePlacement.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

using base::milliseconds;
using base::seconds;

class EnginePlacementTest : public testing::Test {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 9; ++Index) {
      fleet::EndpointState State;
      State.set_id("e" + std::to_string(Index));
      State.set_service("models");
      State.set_address("10.0.0." + std::to_string(Index) + ":80");
      State.set_slots(12);
      State.set_born(1);
      m_Directory.merge(State, false, m_Now);
    }
  }

  std::string place(const std::string &Turn, const std::string &Program,
                    const std::set<std::string> &Connected = {}) {
    messages::fleet::Request BeginRequest;
    for (const std::string &Endpoint : Connected)
      BeginRequest.add_connected(Endpoint);
    messages::fleet::BeginTurn &Begin = *BeginRequest.mutable_begin();
    Begin.set_turn(Turn);
    Begin.set_program(Program);
    Begin.set_service("models");
    Begin.set_prompt_prefix("p");
    return m_Placement.place(BeginRequest, m_Directory, m_Now);
  }

  void finish(const std::string &Turn, const std::string &Engine,
              std::uint32_t GapUs, bool Failed = false) {
    m_Placement.finish(
        Turn, {.m_Endpoint = Engine, .m_EventGapUs = GapUs, .m_Failed = Failed},
        m_Now);
  }

  /// Simulates turns that end in the order in which they began, some of which
  /// fail. Returns the number of turns that each engine got.
  std::map<std::string, int>
  simulateTurns(int Count, double FailedShare,
                const std::set<std::string> &Failing) {
    std::map<std::string, int> Counts;
    std::vector<std::pair<std::string, std::string>> Running;
    double FailuresDue = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const std::string Turn = "t" + std::to_string(Index);
      const std::string Engine = place(Turn, "p" + std::to_string(Index));
      ++Counts[Engine];
      Running.emplace_back(Turn, Engine);
      m_Now += milliseconds(5);
      if (Running.size() < 40)
        continue;
      const auto [Oldest, OldestEngine] = Running.front();
      Running.erase(Running.begin());
      FailuresDue += Failing.contains(OldestEngine) ? FailedShare : 0;
      finish(Oldest, OldestEngine, 30'000, FailuresDue >= 1);
      FailuresDue -= FailuresDue >= 1 ? 1 : 0;
    }
    return Counts;
  }

  EnginePlacement m_Placement;
  fleet::EndpointDirectory m_Directory;
  base::TimePoint m_Now{seconds(10)};
};

/// Load pattern: the turns of one instance arrive one by one at idle engines.
TEST_F(EnginePlacementTest, PrefersOpenConnectionsAmongSimilarEngines) {
  for (int Index = 0; Index < 9; ++Index) {
    const std::string Turn = "t" + std::to_string(Index);
    const std::string Engine =
        place(Turn, "p" + std::to_string(Index), {"e0", "e1", "e2", "e3"});
    EXPECT_LE(Engine, "e3");
    finish(Turn, Engine, 30'000);
  }
  {
    SCOPED_TRACE("a busy engine is not preferred");
    for (int Index = 0; Index < 4; ++Index)
      place("busy" + std::to_string(Index), "other", {"e0"});
    EXPECT_NE(place("next", "other program", {"e0"}), "e0");
  }
}

TEST_F(EnginePlacementTest, SpreadsProgramsByLoad) {
  for (const auto &[Engine, Count] : simulateTurns(900, 0, {}))
    EXPECT_NEAR(Count, 100, 40) << Engine;
}

TEST_F(EnginePlacementTest, KeepsAProgramOnTheEngineThatCachesItsTurns) {
  const std::string First = place("a", "p");
  finish("a", First, 30'000);
  EXPECT_EQ(place("b", "p"), First);
  {
    SCOPED_TRACE("a repeated request counts once");
    EXPECT_EQ(place("b", "p"), First);
    EXPECT_EQ(m_Placement.runningOn(First), 1U);
  }
}

TEST_F(EnginePlacementTest, EnginesThatFailOneTurnInTwentyStillGetTurns) {
  // Guards against avoiding five of nine engines for this failure rate, which
  // doubled the load of the other four.
  const std::set<std::string> Failing = {"e0", "e1", "e2", "e3", "e4"};
  int OnFailing = 0;
  for (const auto &[Engine, Count] : simulateTurns(1800, 0.05, Failing))
    OnFailing += Failing.contains(Engine) ? Count : 0;
  EXPECT_GT(OnFailing, 1800 * 5 / 9 / 3);
}

TEST_F(EnginePlacementTest, AnEngineThatFailsAllTurnsIsAvoided) {
  EXPECT_LT(simulateTurns(900, 1, {"e0"})["e0"], 30);
}

TEST_F(EnginePlacementTest, ASlowEngineGetsFewerTurns) {
  for (int Index = 0; Index < 9; ++Index)
    for (int Turn = 0; Turn < 5; ++Turn)
      finish("x", "e" + std::to_string(Index), Index == 3 ? 150'000 : 30'000);
  EXPECT_NE(place("a", "p"), "e3");
  EXPECT_LT(simulateTurns(90, 0, {})["e3"], 5);
}

TEST_F(EnginePlacementTest, TurnsWithoutReportsExpire) {
  const std::string Engine = place("a", "p");
  m_Now += seconds(7);
  m_Placement.expire(m_Now);
  EXPECT_EQ(m_Placement.runningOn(Engine), 0U);
}

/// Load pattern: a data centre is cut off, and its engines would still be
/// chosen until their missing announcements are noticed.
TEST_F(EnginePlacementTest, AnUnreachableEngineIsAvoidedTemporarily) {
  m_Placement.avoid("e3", m_Now);
  const auto Counts = simulateTurns(100, 0, {});
  EXPECT_FALSE(Counts.contains("e3"));
  {
    SCOPED_TRACE("it is chosen again afterwards");
    m_Now += seconds(2);
    EXPECT_TRUE(simulateTurns(300, 0, {}).contains("e3"));
  }
}

} // namespace
} // namespace psp::turns
