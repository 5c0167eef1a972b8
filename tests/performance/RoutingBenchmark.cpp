/// \file
/// Measures the time of one routing decision: a call is queued, dispatched and
/// finished while programs have prefixes cached at their endpoints.

#include "support/ScheduleSupport.h"

#include <benchmark/benchmark.h>

namespace psp::schedule {
namespace {

using support::at;

constexpr std::uint64_t PromptTokens = 5000;
constexpr std::uint64_t AnswerTokens = 100;

/// A scheduler with endpoints and active programs.
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
    for (WaitingCall &ProgramCall : m_Programs)
      ProgramCall.m_PromptTokens = PromptTokens;
    for (std::size_t I = 0; I < m_Programs.size(); ++I)
      runOneCall();
  }

  void runOneCall() {
    WaitingCall &Next = m_Programs[m_LastCall % m_Programs.size()];
    Next.m_Call = ++m_LastCall;
    m_Scheduler.enqueue(Next, m_Time);
    for (const Dispatch &Sent : m_Scheduler.takeDispatches(m_Time)) {
      m_Scheduler.firstByte(Sent.m_Call, m_Time);
      m_Scheduler.finished(Sent.m_Call, CallResult::Succeeded,
                           PromptTokens + AnswerTokens, AnswerTokens, m_Time);
    }
  }

private:
  base::TimePoint m_Time = at(0);
  Scheduler m_Scheduler{support::options()};
  std::vector<WaitingCall> m_Programs;
  CallNumber m_LastCall = 0;
};

void routeOneCall(benchmark::State &State) {
  Fleet Fleet(State.range(0), State.range(1));
  for (auto Iteration : State) {
    (void)Iteration;
    Fleet.runOneCall();
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
