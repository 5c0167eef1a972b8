/// \file
/// Waiting calls must be ordered by alarm first, then by the work charged to
/// their organisation, then by the attained work of their program with ageing.

#include "schedule/FairQueue.h"
#include "support/ScheduleSupport.h"

#include <gtest/gtest.h>

#include <map>

namespace psp::schedule {
namespace {

using support::at;

class FairQueueTest : public ::testing::Test {
protected:
  QueuedCall make(const std::string &Organisation, Work EstimatedWork,
                  Work AttainedWork = 0.0, double Seconds = 0.0) {
    return {.m_Call = ++m_LastCall,
            .m_Organisation = base::OrganisationId(Organisation),
            .m_Class = CallClass::Normal,
            .m_EstimatedWork = EstimatedWork,
            .m_AttainedWork = AttainedWork,
            .m_EnqueuedAt = at(Seconds),
            .m_ProgramStart = at(Seconds)};
  }

  FairQueue m_Queue{{.m_AgeingWorkPerSecond = 100.0}};
  CallNumber m_LastCall = 0;
};

TEST_F(FairQueueTest, AlarmsGoFirstInOrderOfArrival) {
  m_Queue.push(make("a", 1));
  auto First = make("b", 1);
  First.m_Class = CallClass::Alarm;
  m_Queue.push(First);
  auto Second = make("a", 1);
  Second.m_Class = CallClass::Alarm;
  m_Queue.push(Second);
  EXPECT_EQ(m_Queue.pop()->m_Call, 2U);
  EXPECT_EQ(m_Queue.pop()->m_Call, 3U);
  EXPECT_EQ(m_Queue.pop()->m_Call, 1U);
  EXPECT_FALSE(m_Queue.pop().has_value());
}

TEST_F(FairQueueTest, OrganisationsShareByWorkAndNotByCalls) {
  for (int I = 0; I < 300; ++I) {
    m_Queue.push(make("small", 10));
    m_Queue.push(make("large", 50));
  }
  std::map<std::string, Work> Served;
  for (int I = 0; I < 120; ++I) {
    const auto Next = m_Queue.pop();
    Served[Next->m_Organisation.str()] += Next->m_EstimatedWork;
  }
  EXPECT_LE(std::abs(Served["small"] - Served["large"]), 50.0);
}

TEST_F(FairQueueTest, IdlingEarnsNoCreditAndCorrectionsApply) {
  for (int I = 0; I < 10; ++I)
    m_Queue.push(make("busy", 100));
  for (int I = 0; I < 5; ++I)
    m_Queue.pop();
  {
    SCOPED_TRACE(
        "an organisation that joins gets its share from now on, and no more");
    for (int I = 0; I < 5; ++I)
      m_Queue.push(make("new", 100));
    std::map<std::string, int> Served;
    for (int I = 0; I < 6; ++I)
      ++Served[m_Queue.pop()->m_Organisation.str()];
    EXPECT_EQ(Served["new"], 3);
    EXPECT_EQ(Served["busy"], 3);
  }
  {
    SCOPED_TRACE("work beyond the estimate is charged afterwards");
    m_Queue.correct(base::OrganisationId("busy"), 1000);
    EXPECT_EQ(m_Queue.pop()->m_Organisation.str(), "new");
    EXPECT_EQ(m_Queue.pop()->m_Organisation.str(), "new");
    EXPECT_EQ(m_Queue.size(), 2U);
  }
}

TEST_F(FairQueueTest, LeastAttainedWorkGoesFirstWithAgeing) {
  m_Queue.push(make("a", 1, 1000, 0));
  m_Queue.push(make("a", 1, 0, 1));
  EXPECT_EQ(m_Queue.pop()->m_Call, 2U);
  {
    SCOPED_TRACE("programs that keep arriving can't starve it: ageing by 100 "
                 "work per second offsets its 1000 attained work in 10 s");
    int Served = 0;
    for (double Seconds = 2; m_Queue.size() > 0; ++Seconds) {
      m_Queue.push(make("a", 1, 0, Seconds));
      ++Served;
      if (m_Queue.pop()->m_Call == 1U)
        break;
    }
    EXPECT_LE(Served, 10);
  }
}

TEST_F(FairQueueTest, VictimIsTheLastCallOfTheLongestQueue) {
  for (int I = 0; I < 10; ++I)
    m_Queue.push(make("many", 1, 0, I));
  const auto NewCall = make("few", 1);
  EXPECT_EQ(m_Queue.victimFor(NewCall), CallNumber{10});
  EXPECT_FALSE(m_Queue.victimFor(make("many", 1)).has_value());
  EXPECT_TRUE(m_Queue.remove(10));
  EXPECT_FALSE(m_Queue.remove(10));
  EXPECT_EQ(m_Queue.size(), 9U);
  EXPECT_DOUBLE_EQ(m_Queue.totalWork(), 9.0);
}

} // namespace
} // namespace psp::schedule
