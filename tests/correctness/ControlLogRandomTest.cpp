// The control log under random faults. PSP_RUNS sets the number of runs and
// PSP_SEED the first seed; the trace of a failing run contains its seed.

#include "support/ControlSimulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace psp::tests {
namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

class ControlLogRandomTest : public testing::Test {
protected:
  void runMany(SimulationOptions Options, std::uint64_t Runs) {
    Runs = fromEnvironment("PSP_RUNS", Runs);
    std::uint64_t First = fromEnvironment("PSP_SEED", 1);
    for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed) {
      SCOPED_TRACE("seed " + std::to_string(Seed));
      Options.m_Seed = Seed;
      ControlSimulation Simulation(Options);
      ASSERT_NO_THROW(Simulation.run(base::seconds(20)));
      ASSERT_NO_THROW(Simulation.healAndCheck(base::seconds(20)));
      add(Simulation.counts());
    }
    std::cout << Runs << " runs from seed " << First << ": "
              << m_Total.m_Committed << " committed, " << m_Total.m_Terms
              << " terms, " << m_Total.m_Answers << " answers, "
              << m_Total.m_Resends << " resends, " << m_Total.m_Crashes
              << " crashes, " << m_Total.m_PowerLosses << " power losses, "
              << m_Total.m_Wipes << " wipes, " << m_Total.m_Partitions
              << " cuts, " << m_Total.m_Freezes << " freezes, "
              << m_Total.m_Checkpoints << " checkpoints\n";
  }

  void add(const SimulationCounts &Counts) {
    m_Total.m_Crashes += Counts.m_Crashes;
    m_Total.m_PowerLosses += Counts.m_PowerLosses;
    m_Total.m_Wipes += Counts.m_Wipes;
    m_Total.m_Partitions += Counts.m_Partitions;
    m_Total.m_Freezes += Counts.m_Freezes;
    m_Total.m_Answers += Counts.m_Answers;
    m_Total.m_Resends += Counts.m_Resends;
    m_Total.m_Checkpoints += Counts.m_Checkpoints;
    m_Total.m_Committed += Counts.m_Committed;
    m_Total.m_Terms += Counts.m_Terms;
  }

  SimulationCounts m_Total;
};

TEST_F(ControlLogRandomTest, ThreeVotersWithoutFaultsKeepOneLeader) {
  runMany({.m_Voters = 3, .m_Loss = 0, .m_Faults = false}, 3);
  EXPECT_GT(m_Total.m_Answers, 1000U);
}

TEST_F(ControlLogRandomTest, ThreeVoters) {
  runMany({.m_Voters = 3}, 20);
  EXPECT_GT(m_Total.m_Committed, 0U);
  EXPECT_GT(m_Total.m_Wipes, 0U);
}

TEST_F(ControlLogRandomTest, FiveVoters) {
  runMany({.m_Voters = 5}, 10);
  EXPECT_GT(m_Total.m_Committed, 0U);
  EXPECT_GT(m_Total.m_Wipes, 0U);
}

} // namespace
} // namespace psp::tests
