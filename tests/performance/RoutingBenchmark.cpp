/// \file
/// Time of one routing decision: a call is queued, dispatched and finished,
/// with programs that hold prefixes at their endpoints.

#include "support/ScheduleSupport.h"

#include <benchmark/benchmark.h>

namespace psp::schedule {
namespace {

using support::at;

constexpr std::uint64_t TokensOfPrompt = 5000;
constexpr std::uint64_t TokensOfAnswer = 100;

/// A scheduler with endpoints and programs that are under way.
class Fleet {
public:
  Fleet(std::int64_t Endpoints, std::int64_t Programs) {
    for (std::int64_t I = 0; I < Endpoints; ++I) {
      auto State = support::endpoint("endpoint-" + std::to_string(I));
      State.set_slots(64);
      State.set_remaining_ms(10000);
      m_Scheduler.announce(State, m_Time);
    }
    for (std::int64_t I = 0; I < Programs; ++I)
      m_Programs.push_back(
          support::call(0, "organisation-" + std::to_string(I % 580),
                        "program-" + std::to_string(I)));
    for (WaitingCall &Each : m_Programs)
      Each.m_PromptTokens = TokensOfPrompt;
    for (std::size_t I = 0; I < m_Programs.size(); ++I)
      runOne();
  }

  void runOne() {
    WaitingCall &Next = m_Programs[m_Last % m_Programs.size()];
    Next.m_Call = ++m_Last;
    m_Scheduler.enqueue(Next, m_Time);
    for (const Dispatch &Each : m_Scheduler.takeDispatches(m_Time)) {
      m_Scheduler.firstByte(Each.m_Call, m_Time);
      m_Scheduler.finished(Each.m_Call, CallResult::Succeeded,
                           TokensOfPrompt + TokensOfAnswer, TokensOfAnswer,
                           m_Time);
    }
  }

private:
  base::TimePoint m_Time = at(0);
  Scheduler m_Scheduler{support::options()};
  std::vector<WaitingCall> m_Programs;
  CallNumber m_Last = 0;
};

void routeOneCall(benchmark::State &State) {
  Fleet Fleet(State.range(0), State.range(1));
  for (auto Each : State) {
    (void)Each;
    Fleet.runOne();
  }
}

BENCHMARK(routeOneCall)
    ->Args({9, 100})
    ->Args({100, 10000})
    ->Args({300, 1000})
    ->Args({300, 10000})
    ->Args({300, 100000})
    ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace psp::schedule
