/// \file
/// In a quiet fleet every request inside the rate is admitted, the burst is
/// usable as a whole from any data centre, and the rest is refused.

#include "support/LimitsFleet.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using testing::LimitsFleet;
using testing::SeenDecision;
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
    for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
      m_Fleet->setRates(Node, 1,
                        {{.m_Organisation = m_Organisation,
                          .m_RatePerSecond = Rate,
                          .m_Burst = Burst}});
  }

  /// Sends \p Count requests at once and returns how many were admitted.
  std::size_t admitted(std::size_t Node, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Fleet->admit(Node, m_Organisation, 5 * Second);
    m_Fleet->runUntil(m_Fleet->now() + Second / 2);
    std::size_t Admitted = 0;
    m_Decided = 0;
    for (const SeenDecision &Each : m_Fleet->takeDecisions()) {
      ++m_Decided;
      Admitted += Each.m_Decision.m_Admitted ? 1 : 0;
    }
    return Admitted;
  }

  base::OrganisationId m_Organisation{"lens-makers"};
  std::unique_ptr<LimitsFleet> m_Fleet;
  std::size_t m_Decided = 0;
};

TEST_F(LimitsBasics, OneDataCentreGivesItsBurstAndRefusesTheRest) {
  startFleet(1, 1, 10);
  m_Fleet->runUntil(20 * Second);
  {
    SCOPED_TRACE("the bucket is full, both instances may use it");
    EXPECT_EQ(admitted(0, 4), 4U);
    EXPECT_EQ(admitted(1, 4), 4U);
  }
  {
    SCOPED_TRACE("about three are left, and each request gets an answer");
    const std::size_t Admitted = admitted(0, 10);
    EXPECT_GE(Admitted, 2U);
    EXPECT_LE(Admitted, 3U);
    EXPECT_EQ(m_Decided, 10U);
  }
}

TEST_F(LimitsBasics, ASmallBurstIsUsableAsAWholeFromOneDataCentre) {
  startFleet(3, 2, 5);
  m_Fleet->runUntil(20 * Second);
  SCOPED_TRACE("five tokens lie in three slices of five thirds each");
  EXPECT_EQ(admitted(0, 5), 5U);
}

TEST_F(LimitsBasics, ABurstBelowOneTokenInEachDataCentreIsUsable) {
  startFleet(3, 0.5, 2);
  m_Fleet->runUntil(20 * Second);
  EXPECT_EQ(admitted(4, 2), 2U);
}

TEST_F(LimitsBasics, APlannedStopHandsTheLimitersOver) {
  startFleet(1, 100, 100);
  m_Fleet->runUntil(20 * Second);
  m_Fleet->release(0);
  m_Fleet->runUntil(m_Fleet->now() + Second / 2);
  EXPECT_TRUE(m_Fleet->limits(0).isReleased());
  EXPECT_EQ(m_Fleet->limits(1).heldLeases(m_Fleet->clock(1)).size(), 4U);
  m_Fleet->crash(0);
  EXPECT_GE(admitted(1, 40), 40U);
}

} // namespace
} // namespace psp::limits
