/// \file
/// The behaviour of the scheduler when endpoints fail or are missing, and when
/// there are more calls than capacity.

#include "support/ScheduleSupport.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace psp::schedule {
namespace {

using support::at;
using support::call;
using support::endpoint;

class SchedulerFaultTest : public ::testing::Test {
protected:
  void announceAll(double Seconds) {
    ++m_Sequence;
    m_Scheduler.announce(endpoint("e", m_Sequence), at(Seconds));
    m_Scheduler.announce(endpoint("f", m_Sequence), at(Seconds));
  }

  Scheduler m_Scheduler{{.m_DataCentre = base::DataCentreId("a"),
                         .m_MaxQueuedCalls = 10,
                         .m_RetryShare = 0.1,
                         .m_RetryBurst = 2.0}};
  std::uint64_t m_Sequence = 0;
};

TEST_F(SchedulerFaultTest, RetryGoesToAnotherEndpoint) {
  announceAll(0);
  m_Scheduler.enqueue(call(1), at(0));
  const auto First = m_Scheduler.takeDispatches(at(0));
  ASSERT_EQ(First.size(), 1U);
  EXPECT_TRUE(m_Scheduler.retry(1, at(0.1)));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(0.1)).empty());
  const auto Second = m_Scheduler.takeDispatches(at(0.5));
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second.front().m_Endpoint, First.front().m_Endpoint);
  m_Scheduler.verify();
}

TEST_F(SchedulerFaultTest, StreamedOrNonRepeatableCallsAreNotRetried) {
  announceAll(0);
  auto Order = call(1);
  Order.m_Repeatable = false;
  m_Scheduler.enqueue(Order, at(0));
  m_Scheduler.enqueue(call(2), at(0));
  ASSERT_EQ(m_Scheduler.takeDispatches(at(0)).size(), 2U);
  m_Scheduler.firstByte(2, at(0.1));
  EXPECT_FALSE(m_Scheduler.retry(1, at(0.1)));
  EXPECT_FALSE(m_Scheduler.retry(2, at(0.1)));
  EXPECT_EQ(m_Scheduler.callsInFlight(), 0U);
  EXPECT_EQ(m_Scheduler.queuedCalls(), 0U);
  m_Scheduler.verify();
}

TEST_F(SchedulerFaultTest, RetriesStayWithinTheRetryBudget) {
  CallNumber Number = 0;
  unsigned Retries = 0;
  for (int I = 0; I < 200; ++I) {
    const double Seconds = I * 2.0;
    announceAll(Seconds);
    ++Number;
    auto Next = call(Number, "o", std::to_string(Number));
    Next.m_Deadline = at(Seconds + 3);
    m_Scheduler.enqueue(Next, at(Seconds));
    for (const Dispatch &Sent : m_Scheduler.takeDispatches(at(Seconds))) {
      m_Scheduler.finished(Sent.m_Call, CallResult::Failed, 0, 0, at(Seconds));
      if (m_Scheduler.retry(Sent.m_Call, at(Seconds)))
        ++Retries;
    }
    for (const Refusal &Refused : m_Scheduler.takeRefusals(at(Seconds)))
      EXPECT_EQ(Refused.m_Kind, base::ErrorKind::DeadlineExceeded);
    m_Scheduler.verify();
  }
  EXPECT_GT(Retries, 0U);
  EXPECT_LE(Retries, 2U + Number / 10);
}

TEST_F(SchedulerFaultTest, FailingEndpointIsEjectedAndProbed) {
  m_Scheduler.announce(endpoint("e", ++m_Sequence), at(0));
  for (CallNumber I = 1; I <= 3; ++I) {
    m_Scheduler.enqueue(call(I), at(0));
    ASSERT_EQ(m_Scheduler.takeDispatches(at(0)).size(), 1U);
    m_Scheduler.finished(I, CallResult::Failed, 0, 0, at(0));
  }
  m_Scheduler.enqueue(call(4), at(0));
  m_Scheduler.enqueue(call(5), at(0));
  {
    SCOPED_TRACE("after three consecutive failures it gets no calls during the "
                 "back-off");
    EXPECT_TRUE(m_Scheduler.takeDispatches(at(0.1)).empty());
    ASSERT_TRUE(m_Scheduler.nextEvent().has_value());
    EXPECT_LT(*m_Scheduler.nextEvent(), at(3));
  }
  {
    SCOPED_TRACE("then it gets one probe, and more calls after that succeeded");
    EXPECT_EQ(m_Scheduler.takeDispatches(at(2)).size(), 1U);
    m_Scheduler.finished(4, CallResult::Succeeded, 200, 100, at(2.5));
    EXPECT_EQ(m_Scheduler.takeDispatches(at(2.5)).size(), 1U);
  }
  m_Scheduler.verify();
}

TEST_F(SchedulerFaultTest, FullQueueRefusesImmediatelyAndFairly) {
  for (CallNumber I = 1; I <= 10; ++I)
    m_Scheduler.enqueue(call(I, "many"), at(0));
  EXPECT_TRUE(m_Scheduler.takeRefusals(at(0)).empty());
  {
    SCOPED_TRACE("one more call of the same organisation is itself refused");
    m_Scheduler.enqueue(call(11, "many"), at(0));
    const auto Refused = m_Scheduler.takeRefusals(at(0));
    ASSERT_EQ(Refused.size(), 1U);
    EXPECT_EQ(Refused.front().m_Call, 11U);
    EXPECT_EQ(Refused.front().m_Kind, base::ErrorKind::Overloaded);
    EXPECT_GE(Refused.front().m_RetryAfter, base::seconds(1));
  }
  {
    SCOPED_TRACE("a call of another organisation displaces the last one of "
                 "the longest queue");
    m_Scheduler.enqueue(call(12, "few"), at(0));
    const auto Refused = m_Scheduler.takeRefusals(at(0));
    ASSERT_EQ(Refused.size(), 1U);
    EXPECT_EQ(Refused.front().m_Call, 10U);
  }
  {
    SCOPED_TRACE("an alarm displaces a call too");
    auto Alarm = call(13, "many");
    Alarm.m_Class = CallClass::Alarm;
    m_Scheduler.enqueue(Alarm, at(0));
    const auto Refused = m_Scheduler.takeRefusals(at(0));
    ASSERT_EQ(Refused.size(), 1U);
    EXPECT_EQ(Refused.front().m_Call, 9U);
  }
  EXPECT_EQ(m_Scheduler.queuedCalls(), 10U);
  m_Scheduler.verify();
}

TEST_F(SchedulerFaultTest, CallWithoutEndpointIsRefusedAfterTheGracePeriod) {
  m_Scheduler.enqueue(call(1), at(0));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(0)).empty());
  EXPECT_TRUE(m_Scheduler.takeRefusals(at(0)).empty());
  EXPECT_EQ(m_Scheduler.nextEvent(), at(1));
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(1)).empty());
  const auto Refused = m_Scheduler.takeRefusals(at(1));
  ASSERT_EQ(Refused.size(), 1U);
  EXPECT_EQ(Refused.front().m_Kind, base::ErrorKind::NoEndpoint);
}

TEST_F(SchedulerFaultTest, CallPastItsDeadlineIsRefused) {
  auto Late = call(1);
  Late.m_Deadline = at(0);
  m_Scheduler.enqueue(Late, at(0));
  EXPECT_EQ(m_Scheduler.takeRefusals(at(0)).size(), 1U);
  auto Soon = call(2);
  Soon.m_Deadline = at(0.5);
  m_Scheduler.enqueue(Soon, at(0));
  announceAll(0.5);
  EXPECT_TRUE(m_Scheduler.takeDispatches(at(0.5)).empty());
  const auto Refused = m_Scheduler.takeRefusals(at(0.5));
  ASSERT_EQ(Refused.size(), 1U);
  EXPECT_EQ(Refused.front().m_Kind, base::ErrorKind::DeadlineExceeded);
}

TEST_F(SchedulerFaultTest, DuplicateCallNumberIsRejected) {
  m_Scheduler.enqueue(call(1), at(0));
  EXPECT_THROW(m_Scheduler.enqueue(call(1), at(0)), base::InternalError);
}

} // namespace
} // namespace psp::schedule
