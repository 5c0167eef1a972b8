/// \file
/// The assignment of calls to endpoints without faults.

#include "support/ScheduleSupport.h"

#include <gtest/gtest.h>

namespace psp::schedule {
namespace {

using support::at;
using support::call;
using support::endpoint;
using support::leavingEndpoint;
using support::numbersOf;

class SchedulerTest : public ::testing::Test {
protected:
  /// Sends one call of \p Program and completes it 0.5 s after \p Seconds.
  Dispatch runOne(CallNumber Number, const std::string &Program,
                  double Seconds) {
    m_Scheduler.enqueue(call(Number, "o", Program), at(Seconds));
    const auto Sent = m_Scheduler.takeDispatches(at(Seconds));
    EXPECT_EQ(Sent.size(), 1U);
    m_Scheduler.firstByte(Number, at(Seconds + 0.1));
    m_Scheduler.finished(Number, CallResult::Succeeded, 200, 100,
                         at(Seconds + 0.5));
    m_Scheduler.verify();
    return Sent.front();
  }

  Scheduler m_Scheduler{support::options()};
};

TEST_F(SchedulerTest, ColdEndpointStartsWithTheInitialWindow) {
  m_Scheduler.announce(endpoint("e"), at(0));
  for (CallNumber I = 1; I <= 6; ++I)
    m_Scheduler.enqueue(call(I), at(0));
  EXPECT_EQ(numbersOf(m_Scheduler.takeDispatches(at(0))),
            (std::vector<CallNumber>{1, 2}));
  {
    SCOPED_TRACE("each answer widens the window by one, up to the slots "
                 "without the one that is reserved for alarms");
    m_Scheduler.finished(1, CallResult::Succeeded, 200, 100, at(1));
    EXPECT_EQ(m_Scheduler.takeDispatches(at(1)).size(), 2U);
    m_Scheduler.finished(2, CallResult::Succeeded, 200, 100, at(1));
    EXPECT_EQ(m_Scheduler.takeDispatches(at(1)).size(), 1U);
    EXPECT_EQ(m_Scheduler.callsInFlight(), 3U);
  }
  {
    SCOPED_TRACE("an alarm gets the reserved slot immediately");
    auto Alarm = call(7);
    Alarm.m_Class = CallClass::Alarm;
    m_Scheduler.enqueue(Alarm, at(1));
    EXPECT_EQ(numbersOf(m_Scheduler.takeDispatches(at(1))),
              std::vector<CallNumber>{7});
    EXPECT_EQ(m_Scheduler.callsInFlight(), 4U);
  }
  m_Scheduler.verify();
}

TEST_F(SchedulerTest, ProgramReturnsToTheEndpointWithItsPrefix) {
  m_Scheduler.announce(endpoint("e"), at(0));
  m_Scheduler.announce(endpoint("f"), at(0));
  m_Scheduler.enqueue(call(1, "o", "p"), at(0));
  m_Scheduler.enqueue(call(2, "o", "q"), at(0));
  const auto First = m_Scheduler.takeDispatches(at(0));
  ASSERT_EQ(First.size(), 2U);
  ASSERT_NE(First[0].m_Endpoint, First[1].m_Endpoint);
  for (const CallNumber Number : {1, 2}) {
    m_Scheduler.firstByte(Number, at(0.1));
    m_Scheduler.finished(Number, CallResult::Succeeded, 5000, 100, at(1));
  }
  {
    SCOPED_TRACE("regardless of their order, both return to their endpoints");
    for (CallNumber Number = 3; Number <= 4; ++Number) {
      auto Next = call(Number, "o", Number == 3 ? "q" : "p");
      Next.m_PromptTokens = 5100;
      m_Scheduler.enqueue(Next, at(1));
    }
    const auto Second = m_Scheduler.takeDispatches(at(1));
    ASSERT_EQ(Second.size(), 2U);
    EXPECT_EQ(Second[0].m_Endpoint, First[1].m_Endpoint);
    EXPECT_EQ(Second[1].m_Endpoint, First[0].m_Endpoint);
    EXPECT_EQ(m_Scheduler.status().m_Decisions.back().m_Reason,
              DecisionReason::PrefixCached);
  }
}

TEST_F(SchedulerTest, LeavingEndpointGetsNoNewCalls) {
  m_Scheduler.announce(endpoint("e"), at(0));
  m_Scheduler.enqueue(call(1), at(0));
  EXPECT_EQ(m_Scheduler.takeDispatches(at(0)).size(), 1U);
  m_Scheduler.announce(leavingEndpoint("e", 2), at(0));
  m_Scheduler.enqueue(call(2), at(0));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(0)).empty());
  {
    SCOPED_TRACE("its running call still succeeds, and waiting calls use "
                 "another endpoint");
    m_Scheduler.finished(1, CallResult::Succeeded, 200, 100, at(0.5));
    m_Scheduler.announce(endpoint("f"), at(0.5));
    const auto Sent = m_Scheduler.takeDispatches(at(0.5));
    ASSERT_EQ(Sent.size(), 1U);
    EXPECT_EQ(Sent.front().m_Endpoint.str(), "f");
  }
  m_Scheduler.verify();
}

TEST_F(SchedulerTest, RemoteEndpointsAreUsedOnlyWithoutLocalOnes) {
  m_Scheduler.announce(endpoint("far", 1, "b"), at(0));
  m_Scheduler.announce(endpoint("near", 1, "a"), at(0));
  m_Scheduler.setReachableDataCentres({base::DataCentreId("b")});
  EXPECT_EQ(runOne(1, "p", 0).m_Endpoint.str(), "near");
  m_Scheduler.announce(leavingEndpoint("near", 2), at(1));
  EXPECT_EQ(runOne(2, "p", 1).m_Endpoint.str(), "far");
  m_Scheduler.setReachableDataCentres({});
  m_Scheduler.enqueue(call(3), at(1));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(1)).empty());
}

TEST_F(SchedulerTest, TheWindowIsSharedBetweenInstances) {
  m_Scheduler.announce(endpoint("e"), at(0));
  m_Scheduler.setShareCount(4, at(0));
  auto Busy = endpoint("e", 2);
  Busy.set_running(4);
  m_Scheduler.announce(Busy, at(0));
  for (CallNumber I = 1; I <= 3; ++I)
    m_Scheduler.enqueue(call(I), at(0));
  EXPECT_EQ(m_Scheduler.takeDispatches(at(0)).size(), 1U);
}

TEST_F(SchedulerTest, MemoryOfAnEndedProgramIsReleasedAfterItsLastCall) {
  m_Scheduler.announce(endpoint("e"), at(0));
  runOne(1, "p", 0);
  m_Scheduler.enqueue(call(2, "o", "p"), at(1));
  ASSERT_EQ(m_Scheduler.takeDispatches(at(1)).size(), 1U);
  m_Scheduler.programEnded(base::ProgramId("p"));
  EXPECT_TRUE(m_Scheduler.takeReleases().empty());
  m_Scheduler.enqueue(call(3, "o", "p"), at(1));
  m_Scheduler.finished(2, CallResult::Cancelled, 0, 0, at(1.5));
  EXPECT_TRUE(m_Scheduler.takeReleases().empty());
  m_Scheduler.remove(3);
  const auto Releases = m_Scheduler.takeReleases();
  ASSERT_EQ(Releases.size(), 1U);
  EXPECT_EQ(Releases.front().m_Endpoint.str(), "e");
  EXPECT_EQ(m_Scheduler.status().m_Programs, 0U);
}

TEST_F(SchedulerTest, WaitingCallCanBeRemoved) {
  m_Scheduler.enqueue(call(1), at(0));
  m_Scheduler.remove(1);
  m_Scheduler.announce(endpoint("e"), at(0));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(0)).empty());
  EXPECT_TRUE(m_Scheduler.takeRefusals(at(0)).empty());
  m_Scheduler.verify();
}

} // namespace
} // namespace psp::schedule
