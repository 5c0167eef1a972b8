/// \file
/// A shard has at most one limiter at a time: a holder that is cut off, frozen
/// or has a slow clock stops before its successor starts, and voters that were
/// restarted don't forget what they promised.

#include "support/LimitsFleet.h"
#include "support/WindowCheck.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using testing::LimitsFleet;
using testing::SeenDecision;
using testing::TrueTime;

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;
constexpr double Rate = 500;
constexpr double Burst = 4;
constexpr double Drift = 0.02;

/// One data centre with three entry instances, one shard and one organisation
/// that always sends too much everywhere.
class LimitsLease : public ::testing::Test {
protected:
  LimitsLease() {
    LimitOptions Limits;
    Limits.m_Shards = 1;
    Limits.m_ClockDrift = Drift;
    Limits.m_Lease = 3000 * base::milliseconds(1);
    m_Fleet = std::make_unique<LimitsFleet>(
        testing::FleetOptions{.m_Seed = 11,
                              .m_Members = testing::makeMembers(1, 3, 0),
                              .m_Limits = Limits,
                              .m_Links = {}});
    for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
      m_Fleet->setRates(Node, 1,
                        {{.m_Organisation = m_Organisation,
                          .m_RatePerSecond = Rate,
                          .m_Burst = Burst}});
  }

  std::size_t holder() const {
    for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
      if (m_Fleet->isUp(Node) &&
          !m_Fleet->limits(Node).heldLeases(m_Fleet->clock(Node)).empty())
        return Node;
    return m_Fleet->size();
  }

  /// The number of instances that have a limiter at this moment.
  std::size_t holders() const {
    std::size_t Count = 0;
    for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
      if (m_Fleet->isUp(Node))
        for (const HeldLease &Each :
             m_Fleet->limits(Node).heldLeases(m_Fleet->clock(Node)))
          Count += Each.m_Remaining.count() > 0 ? 1 : 0;
    return Count;
  }

  void runUntil(TrueTime End) {
    while (m_Fleet->now() < End) {
      m_Fleet->runUntil(m_Fleet->now() + Millisecond);
      for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
        m_Fleet->admit(Node, m_Organisation, 100 * Millisecond);
      ASSERT_LE(holders(), 1U) << "at " << m_Fleet->now();
    }
  }

  void expectNoExcess() {
    std::vector<TrueTime> Admissions;
    for (const SeenDecision &Each : m_Fleet->takeDecisions())
      if (Each.m_Decision.m_Admitted)
        Admissions.push_back(Each.m_At);
    EXPECT_GT(Admissions.size(), 1000U);
    EXPECT_LE(testing::worstExcess(
                  Admissions,
                  {{.m_From = 0, .m_RatePerSecond = Rate, .m_Burst = Burst}}),
              0.01);
  }

  base::OrganisationId m_Organisation{"lens-makers"};
  std::unique_ptr<LimitsFleet> m_Fleet;
};

TEST_F(LimitsLease, AnIsolatedHolderWithASlowClockStopsBeforeItsSuccessor) {
  m_Fleet->setClockRate(0, 1 - Drift);
  m_Fleet->setClockRate(1, 1 + Drift);
  m_Fleet->setClockRate(2, 1 + Drift);
  // Only the slow one asks at first.
  m_Fleet->setIsolated(1, true);
  runUntil(3200 * Millisecond);
  m_Fleet->setIsolated(1, false);
  m_Fleet->freeze(1, 900 * Millisecond);
  m_Fleet->freeze(2, 900 * Millisecond);
  runUntil(6 * Second);
  const std::size_t First = holder();
  ASSERT_LT(First, m_Fleet->size());
  m_Fleet->setIsolated(First, true);
  runUntil(14 * Second);
  EXPECT_NE(holder(), First) << "a successor took over";
  expectNoExcess();
}

TEST_F(LimitsLease, RestartedVotersDoNotForgetTheirPromise) {
  runUntil(6 * Second);
  const std::size_t First = holder();
  ASSERT_LT(First, m_Fleet->size());
  m_Fleet->setIsolated(First, true);
  for (std::size_t Node = 0; Node < m_Fleet->size(); ++Node)
    if (Node != First) {
      m_Fleet->crash(Node);
      m_Fleet->start(Node);
    }
  runUntil(14 * Second);
  EXPECT_NE(holder(), First);
  expectNoExcess();
}

TEST_F(LimitsLease, AFrozenHolderGivesNothingWhenItGoesOn) {
  runUntil(6 * Second);
  const std::size_t First = holder();
  ASSERT_LT(First, m_Fleet->size());
  m_Fleet->freeze(First, 5 * Second);
  runUntil(14 * Second);
  EXPECT_NE(holder(), First);
  expectNoExcess();
}

TEST_F(LimitsLease, APlannedStopWaitsForWhatWasGranted) {
  runUntil(6 * Second);
  const std::size_t First = holder();
  ASSERT_LT(First, m_Fleet->size());
  {
    SCOPED_TRACE("an instance stands still with tokens that it may still use");
    m_Fleet->freeze((First + 1) % m_Fleet->size(), 2 * Second);
    runUntil(m_Fleet->now() + 5 * Millisecond);
    m_Fleet->release(First);
    runUntil(m_Fleet->now() + 100 * Millisecond);
    EXPECT_FALSE(m_Fleet->limits(First).isReleased());
  }
  {
    SCOPED_TRACE("once these have run out the lease is handed over");
    runUntil(m_Fleet->now() + 300 * Millisecond);
    EXPECT_TRUE(m_Fleet->limits(First).isReleased());
    runUntil(8 * Second);
    EXPECT_NE(holder(), m_Fleet->size());
  }
  expectNoExcess();
}

} // namespace
} // namespace psp::limits
