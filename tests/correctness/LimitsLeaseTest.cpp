/// \file
/// A shard has at most one limiter at a time: a holder that is isolated, is
/// frozen or has a slow clock stops before its successor starts, and restarted
/// voters honour the grants that they made before. Otherwise two limiters would
/// grant the same tokens.

#include "support/LimitsFleet.h"
#include "support/WindowCheck.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using testing::LimitsFleet;
using testing::ObservedDecision;
using testing::TrueTime;

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;
constexpr double RatePerSecond = 500;
constexpr double Burst = 4;
constexpr double ClockDrift = 0.02;

/// One data centre with three entry instances, one shard and one organisation
/// that always exceeds its rate at every instance.
class LimitsLease : public ::testing::Test {
protected:
  LimitsLease() {
    LimitOptions Limits;
    Limits.m_Shards = 1;
    Limits.m_ClockDrift = ClockDrift;
    Limits.m_LeaseDuration = 3000 * base::milliseconds(1);
    m_Fleet = std::make_unique<LimitsFleet>(
        testing::FleetOptions{.m_Seed = 11,
                              .m_Members = testing::makeMembers(1, 3, 0),
                              .m_Limits = Limits,
                              .m_Links = {}});
    for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
      m_Fleet->setRates(Instance, 1,
                        {{.m_Organisation = m_Organisation,
                          .m_RatePerSecond = RatePerSecond,
                          .m_Burst = Burst}});
  }

  std::size_t holder() const {
    for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
      if (m_Fleet->isUp(Instance) && !m_Fleet->limits(Instance)
                                          .heldLeases(m_Fleet->clock(Instance))
                                          .empty())
        return Instance;
    return m_Fleet->size();
  }

  /// The number of instances that hold the lease at this time.
  std::size_t holderCount() const {
    std::size_t Count = 0;
    for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
      if (m_Fleet->isUp(Instance))
        for (const HeldLease &Lease :
             m_Fleet->limits(Instance).heldLeases(m_Fleet->clock(Instance)))
          Count += Lease.m_Remaining.count() > 0 ? 1 : 0;
    return Count;
  }

  void runUntil(TrueTime End) {
    while (m_Fleet->now() < End) {
      m_Fleet->runUntil(m_Fleet->now() + Millisecond);
      for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
        m_Fleet->admit(Instance, m_Organisation, 100 * Millisecond);
      ASSERT_LE(holderCount(), 1U) << "at " << m_Fleet->now();
    }
  }

  void expectNoExcess() {
    std::vector<TrueTime> Admissions;
    for (const ObservedDecision &Observed : m_Fleet->takeDecisions())
      if (Observed.m_Decision.m_Admitted)
        Admissions.push_back(Observed.m_DecidedAt);
    EXPECT_GT(Admissions.size(), 1000U);
    EXPECT_LE(
        testing::worstExcess(Admissions, {{.m_From = 0,
                                           .m_RatePerSecond = RatePerSecond,
                                           .m_Burst = Burst}}),
        0.01);
  }

  base::OrganisationId m_Organisation{"lens-makers"};
  std::unique_ptr<LimitsFleet> m_Fleet;
};

TEST_F(LimitsLease, AnIsolatedHolderWithASlowClockStopsBeforeItsSuccessor) {
  m_Fleet->setClockRate(0, 1 - ClockDrift);
  m_Fleet->setClockRate(1, 1 + ClockDrift);
  m_Fleet->setClockRate(2, 1 + ClockDrift);
  // At first only the instance with the slow clock requests the lease.
  m_Fleet->setIsolated(1, true);
  runUntil(3200 * Millisecond);
  m_Fleet->setIsolated(1, false);
  m_Fleet->freeze(1, 900 * Millisecond);
  m_Fleet->freeze(2, 900 * Millisecond);
  runUntil(6 * Second);
  const std::size_t FirstHolder = holder();
  ASSERT_LT(FirstHolder, m_Fleet->size());
  m_Fleet->setIsolated(FirstHolder, true);
  runUntil(14 * Second);
  EXPECT_NE(holder(), FirstHolder) << "a successor took over";
  expectNoExcess();
}

TEST_F(LimitsLease, RestartedVotersHonourTheirGrants) {
  runUntil(6 * Second);
  const std::size_t FirstHolder = holder();
  ASSERT_LT(FirstHolder, m_Fleet->size());
  m_Fleet->setIsolated(FirstHolder, true);
  for (std::size_t Instance = 0; Instance < m_Fleet->size(); ++Instance)
    if (Instance != FirstHolder) {
      m_Fleet->crash(Instance);
      m_Fleet->start(Instance);
    }
  runUntil(14 * Second);
  EXPECT_NE(holder(), FirstHolder);
  expectNoExcess();
}

TEST_F(LimitsLease, AFrozenHolderGrantsNothingAfterItResumes) {
  runUntil(6 * Second);
  const std::size_t FirstHolder = holder();
  ASSERT_LT(FirstHolder, m_Fleet->size());
  m_Fleet->freeze(FirstHolder, 5 * Second);
  runUntil(14 * Second);
  EXPECT_NE(holder(), FirstHolder);
  expectNoExcess();
}

TEST_F(LimitsLease, APlannedStopWaitsForOutstandingGrants) {
  runUntil(6 * Second);
  const std::size_t FirstHolder = holder();
  ASSERT_LT(FirstHolder, m_Fleet->size());
  {
    SCOPED_TRACE("a frozen instance has tokens that it may still use");
    m_Fleet->freeze((FirstHolder + 1) % m_Fleet->size(), 2 * Second);
    runUntil(m_Fleet->now() + 5 * Millisecond);
    m_Fleet->release(FirstHolder);
    runUntil(m_Fleet->now() + 100 * Millisecond);
    EXPECT_FALSE(m_Fleet->limits(FirstHolder).isReleased());
  }
  {
    SCOPED_TRACE("the lease is handed over once these have expired");
    runUntil(m_Fleet->now() + 300 * Millisecond);
    EXPECT_TRUE(m_Fleet->limits(FirstHolder).isReleased());
    runUntil(8 * Second);
    EXPECT_NE(holder(), m_Fleet->size());
  }
  expectNoExcess();
}

} // namespace
} // namespace psp::limits
