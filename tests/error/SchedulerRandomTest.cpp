/// \file
/// Randomised runs: endpoints join, leave, fail and answer late, announcements
/// arrive twice and out of order, and calls end in all possible ways. The
/// scheduler's internal invariants must hold after each step, and each call
/// must end exactly once.

#include "support/ScheduleSupport.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace psp::schedule {
namespace {

using support::at;

class SchedulerRandomTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
  struct FakeEndpoint {
    std::uint64_t m_Incarnation = 1;
    std::uint64_t m_Sequence = 0;
    bool m_Left = false;
    /// When it last sent an announcement.
    double m_LastAnnouncedSeconds = -100.0;
  };

  void SetUp() override {
    m_Scheduler.setReachableDataCentres({base::DataCentreId("b")});
  }

  std::uint64_t pick(std::uint64_t Count) { return m_Random() % Count; }

  void announceOne() {
    const std::string Name = "e" + std::to_string(pick(6));
    FakeEndpoint &Endpoint = m_Endpoints[Name];
    if (Endpoint.m_Left || pick(200) == 0) {
      ++Endpoint.m_Incarnation;
      Endpoint.m_Sequence = 0;
      Endpoint.m_Left = false;
    }
    auto State =
        support::endpoint(Name, ++Endpoint.m_Sequence, Name < "e4" ? "a" : "b");
    State.set_incarnation(Endpoint.m_Incarnation);
    State.set_running(static_cast<std::uint32_t>(pick(5)));
    if (pick(20) == 0) {
      State.set_leaving(true);
      Endpoint.m_Left = true;
    }
    Endpoint.m_LastAnnouncedSeconds = m_TimeSeconds;
    m_InTransit.push_back(State);
  }

  /// Delivers one announcement that is in transit, in any order. Some are lost
  /// and some are delivered twice.
  void deliverOne() {
    if (m_InTransit.empty())
      return;
    const std::size_t Chosen = pick(m_InTransit.size());
    const auto State = m_InTransit[Chosen];
    if (pick(4) != 0)
      m_InTransit.erase(m_InTransit.begin() +
                        static_cast<std::ptrdiff_t>(Chosen));
    if (pick(10) == 0)
      return;
    m_Scheduler.announce(State, at(m_TimeSeconds));
    if (State.leaving())
      m_DeliveredLeave.emplace(State.endpoint(), State.incarnation());
  }

  void enqueueOne() {
    WaitingCall New = support::call(++m_LastCall, "o" + std::to_string(pick(4)),
                                    "p" + std::to_string(pick(12)));
    New.m_Class = pick(20) == 0 ? CallClass::Alarm : CallClass::Normal;
    New.m_Repeatable = pick(4) != 0;
    New.m_PromptTokens = pick(20000);
    New.m_Deadline = at(m_TimeSeconds + static_cast<double>(pick(80)) / 10.0);
    m_Unfinished.emplace(New.m_Call, New.m_Repeatable);
    m_Scheduler.enqueue(New, at(m_TimeSeconds));
  }

  void endOne() {
    if (m_InFlight.empty())
      return;
    auto Position = m_InFlight.begin();
    std::advance(Position,
                 static_cast<std::ptrdiff_t>(pick(m_InFlight.size())));
    const CallNumber Number = *Position;
    const bool Streamed = pick(2) == 0;
    if (Streamed)
      m_Scheduler.firstByte(Number, at(m_TimeSeconds));
    m_InFlight.erase(Position);
    switch (pick(5)) {
    case 0:
      m_Scheduler.finished(Number, CallResult::TimedOut, 0, 0,
                           at(m_TimeSeconds));
      retryOne(Number, Streamed);
      break;
    case 1:
      retryOne(Number, Streamed);
      break;
    case 2:
      m_Scheduler.finished(Number, CallResult::Cancelled, 10, 5,
                           at(m_TimeSeconds));
      m_Unfinished.erase(Number);
      break;
    default:
      m_Scheduler.finished(Number, CallResult::Succeeded, 20100, pick(20000),
                           at(m_TimeSeconds));
      m_Unfinished.erase(Number);
      break;
    }
  }

  void retryOne(CallNumber Number, bool Streamed) {
    const bool IsRetried = m_Scheduler.retry(Number, at(m_TimeSeconds));
    if (IsRetried) {
      EXPECT_FALSE(Streamed);
      EXPECT_TRUE(m_Unfinished.at(Number));
    } else {
      m_Unfinished.erase(Number);
    }
  }

  void checkDecisions() {
    for (const Dispatch &Sent : m_Scheduler.takeDispatches(at(m_TimeSeconds))) {
      ASSERT_TRUE(m_Unfinished.contains(Sent.m_Call));
      ASSERT_TRUE(m_InFlight.insert(Sent.m_Call).second);
      const Endpoint *Target = m_Scheduler.endpoints().find(Sent.m_Endpoint);
      ASSERT_NE(Target, nullptr);
      EXPECT_FALSE(m_DeliveredLeave.contains(
          {Sent.m_Endpoint.str(), Target->m_Incarnation}));
    }
    for (const Refusal &Refused : m_Scheduler.takeRefusals(at(m_TimeSeconds))) {
      ASSERT_FALSE(m_InFlight.contains(Refused.m_Call));
      ASSERT_EQ(m_Unfinished.erase(Refused.m_Call), 1U);
    }
    m_Scheduler.takeReleases();
    m_Scheduler.verify();
    const auto Next = m_Scheduler.nextEvent();
    if (Next) {
      ASSERT_GT(*Next, at(m_TimeSeconds))
          << "an event loop that waits for this time would busy-wait";
    }
  }

  void step() {
    m_TimeSeconds += static_cast<double>(pick(100)) / 1000.0;
    switch (pick(8)) {
    case 0:
      announceOne();
      break;
    case 1:
    case 2:
      deliverOne();
      break;
    case 3:
    case 4:
      enqueueOne();
      break;
    case 5:
    case 6:
      endOne();
      break;
    case 7:
      if (pick(2) == 0)
        m_Scheduler.programEnded(
            base::ProgramId("p" + std::to_string(pick(12))));
      else
        m_Scheduler.setShareCount(static_cast<std::uint32_t>(1 + pick(3)),
                                  at(m_TimeSeconds));
      break;
    }
    checkDecisions();
  }

  /// Ends all calls and programs, and checks that nothing remains.
  void finishAll() {
    while (!m_InFlight.empty()) {
      const CallNumber Number = *m_InFlight.begin();
      m_InFlight.erase(m_InFlight.begin());
      m_Scheduler.finished(Number, CallResult::Cancelled, 0, 0,
                           at(m_TimeSeconds));
      m_Unfinished.erase(Number);
    }
    m_TimeSeconds += 100.0;
    checkDecisions();
    EXPECT_TRUE(m_Unfinished.empty());
    EXPECT_EQ(m_Scheduler.queuedCalls(), 0U);
    EXPECT_EQ(m_Scheduler.callsInFlight(), 0U);
    for (int I = 0; I < 12; ++I)
      m_Scheduler.programEnded(base::ProgramId("p" + std::to_string(I)));
    EXPECT_EQ(m_Scheduler.status().m_Programs, 0U);
  }

  std::mt19937_64 m_Random{GetParam()};
  Scheduler m_Scheduler{{.m_DataCentre = base::DataCentreId("a"),
                         .m_MaxQueuedCalls = 30,
                         .m_Seed = GetParam(),
                         .m_RetryShare = 0.3}};
  double m_TimeSeconds = 0.0;
  CallNumber m_LastCall = 0;
  std::map<std::string, FakeEndpoint> m_Endpoints;
  std::vector<messages::EndpointState> m_InTransit;
  std::set<std::pair<std::string, std::uint64_t>> m_DeliveredLeave;
  /// Calls that have not ended, and whether each is repeatable.
  std::map<CallNumber, bool> m_Unfinished;
  std::set<CallNumber> m_InFlight;
};

TEST_P(SchedulerRandomTest, EachCallEndsExactlyOnce) {
  for (int I = 0; I < 8000 && !HasFatalFailure(); ++I) {
    SCOPED_TRACE("step " + std::to_string(I));
    step();
  }
  finishAll();
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedulerRandomTest,
                         ::testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace psp::schedule
