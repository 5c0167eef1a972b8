/// \file
/// In a fleet without faults every request within the rate is admitted, the
/// full burst is usable from any data centre, and all other requests are
/// refused.

#include "support/LimitsFleet.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using testing::LimitsFleet;
using testing::ObservedDecision;
using testing::TrueTime;

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;

class LimitsBasics : public ::testing::Test {
protected:
  void startFleet(std::size_t DataCentres, double Rate, double Burst) {
    m_Fleet = std::make_unique<LimitsFleet>(testing::FleetOptions{
        .m_Seed = 7,
        .m_Members = testing::makeMembers(DataCentres, 2, 1),
        .m_Limits = {},
        .m_Links = {}});
    for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
      m_Fleet->setRates(Instance, 1,
                        {{.m_Organisation = m_Organisation,
                          .m_RatePerSecond = Rate,
                          .m_Burst = Burst}});
  }

  /// Sends \p Count requests at once and returns how many were admitted.
  std::size_t admittedCount(std::size_t Instance, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Fleet->admit(Instance, m_Organisation, 5 * Second);
    m_Fleet->runUntil(m_Fleet->now() + Second / 2);
    std::size_t Admitted = 0;
    m_DecisionCount = 0;
    for (const ObservedDecision &Observed : m_Fleet->takeDecisions()) {
      ++m_DecisionCount;
      Admitted += Observed.m_Decision.m_Admitted ? 1 : 0;
    }
    return Admitted;
  }

  base::OrganisationId m_Organisation{"lens-makers"};
  std::unique_ptr<LimitsFleet> m_Fleet;
  std::size_t m_DecisionCount = 0;
};

TEST_F(LimitsBasics, OneDataCentreAdmitsTheBurstAndRefusesTheRest) {
  startFleet(1, 1, 10);
  m_Fleet->runUntil(20 * Second);
  {
    SCOPED_TRACE("the bucket is full, and both instances may use it");
    EXPECT_EQ(admittedCount(0, 4), 4U);
    EXPECT_EQ(admittedCount(1, 4), 4U);
  }
  {
    SCOPED_TRACE(
        "two or three tokens are left, and each request gets a decision");
    const std::size_t Admitted = admittedCount(0, 10);
    EXPECT_GE(Admitted, 2U);
    EXPECT_LE(Admitted, 3U);
    EXPECT_EQ(m_DecisionCount, 10U);
  }
}

TEST_F(LimitsBasics, ASmallBurstIsFullyUsableFromOneDataCentre) {
  startFleet(3, 2, 5);
  m_Fleet->runUntil(20 * Second);
  SCOPED_TRACE("five tokens are divided into three slices of five thirds each");
  EXPECT_EQ(admittedCount(0, 5), 5U);
}

TEST_F(LimitsBasics, ABurstBelowOneTokenInEachDataCentreIsUsable) {
  startFleet(3, 0.5, 2);
  m_Fleet->runUntil(20 * Second);
  EXPECT_EQ(admittedCount(4, 2), 2U);
}

TEST_F(LimitsBasics, APlannedStopHandsOverTheLimiters) {
  startFleet(1, 100, 100);
  m_Fleet->runUntil(20 * Second);
  m_Fleet->release(0);
  m_Fleet->runUntil(m_Fleet->now() + Second / 2);
  EXPECT_TRUE(m_Fleet->limits(0).isReleased());
  EXPECT_EQ(m_Fleet->limits(1).heldLeases(m_Fleet->clock(1)).size(), 4U);
  m_Fleet->crash(0);
  EXPECT_GE(admittedCount(1, 40), 40U);
}

} // namespace
} // namespace psp::limits
