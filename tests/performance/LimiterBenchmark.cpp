/// \file
/// Measures admission decisions per second on one core: in the instance that
/// runs the limiter, for token requests of other instances, and for
/// organisations at many times their rate.

#include "limits/RateLimits.h"

#include <benchmark/benchmark.h>

#include <string>

namespace psp::limits {
namespace {

using base::microseconds;
using base::seconds;

const base::TimePoint Start{base::seconds(1000)};
constexpr std::size_t OrganisationCount = 580;

std::vector<OrganisationRate> makeRates(double RatePerSecond, double Burst) {
  std::vector<OrganisationRate> Rates;
  for (std::size_t I = 0; I < OrganisationCount; ++I)
    Rates.push_back(
        {.m_Organisation = base::OrganisationId("org-" + std::to_string(I)),
         .m_RatePerSecond = RatePerSecond,
         .m_Burst = Burst});
  return Rates;
}

/// A fleet of one instance, which runs the limiter of every shard.
class SingleInstance {
public:
  SingleInstance(double RatePerSecond, double Burst)
      : m_Rates(makeRates(RatePerSecond, Burst)), m_Limits(options(), Start) {
    m_Limits.setRates(1, m_Rates, Start);
    while (m_Now < Start + seconds(10)) {
      m_Now += microseconds(10'000);
      m_Limits.onTick(m_Now, m_Out);
    }
  }

  /// Makes one request for the next organisation in turn, one microsecond after
  /// the previous request. Returns the number of requests admitted in this
  /// step.
  std::int64_t admit() {
    m_Now += microseconds(1);
    ++m_Ticket;
    m_Limits.admit(m_Ticket,
                   m_Rates[m_Ticket % OrganisationCount].m_Organisation,
                   m_Now + seconds(1), m_Now, m_Out);
    if (m_Ticket % 5000 == 0)
      m_Limits.onTick(m_Now, m_Out);
    std::int64_t Admitted = 0;
    for (const LimitDecision &Decision : m_Limits.takeDecisions())
      Admitted += Decision.m_Admitted ? 1 : 0;
    return Admitted;
  }

private:
  static LimitOptions options() {
    LimitOptions Options;
    Options.m_Self = base::InstanceId("one");
    Options.m_DataCentre = base::DataCentreId("here");
    Options.m_Members = {{.m_Instance = Options.m_Self,
                          .m_DataCentre = Options.m_DataCentre,
                          .m_IsEntry = true}};
    return Options;
  }

  std::vector<OrganisationRate> m_Rates;
  RateLimits m_Limits;
  messages::Outbox m_Out;
  base::TimePoint m_Now = Start;
  std::uint64_t m_Ticket = 0;
};

void admitted(benchmark::State &State) {
  SingleInstance Instance(500'000, 500'000);
  std::int64_t Admitted = 0;
  for (auto Step : State)
    Admitted += Instance.admit();
  State.SetItemsProcessed(State.iterations());
  State.counters["admitted"] =
      static_cast<double>(Admitted) / static_cast<double>(State.iterations());
}
BENCHMARK(admitted);

void refusedAtManyTimesTheRate(benchmark::State &State) {
  SingleInstance Instance(100, 20);
  std::int64_t Admitted = 0;
  for (auto Step : State)
    Admitted += Instance.admit();
  State.SetItemsProcessed(State.iterations());
  State.counters["admitted"] =
      static_cast<double>(Admitted) / static_cast<double>(State.iterations());
}
BENCHMARK(refusedAtManyTimesTheRate);

void askOfAnotherInstance(benchmark::State &State) {
  LimitOptions Options;
  RateTable Rates(0, 1, 0);
  Rates.set(1, makeRates(500'000, 500'000));
  IdGenerator Ids(base::InstanceId("one"), 1);
  LimitCounters Counters;
  Limiter Target({.m_Options = Options,
                  .m_Rates = Rates,
                  .m_DataCentres = 1,
                  .m_OwnPosition = 0,
                  .m_Ids = Ids,
                  .m_Counters = Counters},
                 0, Start);
  Target.setLeaseExpiry(Start + seconds(1'000'000));
  base::TimePoint Now = Start + seconds(10);
  const base::InstanceId Requester("two");
  messages::TokenAsk Request;
  Request.set_needed(static_cast<std::uint32_t>(State.range(0)));
  Request.set_wait_us(100'000);
  std::uint64_t RequestId = 0;
  std::uint64_t GrantId = 0;
  std::uint64_t TokensGranted = 0;
  for (auto Step : State) {
    Now += microseconds(1);
    Request.set_request(++RequestId);
    Request.set_organisation("org-" +
                             std::to_string(RequestId % OrganisationCount));
    Request.clear_reports();
    auto &Report = *Request.add_reports();
    Report.set_grant(GrantId);
    Report.set_used(static_cast<std::uint64_t>(State.range(0)));
    Target.onRequest(Requester, Request, Now);
    for (const OutgoingTokenReply &Outgoing : Target.takeReplies()) {
      GrantId = Outgoing.m_Reply.grant();
      TokensGranted += Outgoing.m_Reply.granted();
    }
  }
  State.SetItemsProcessed(static_cast<std::int64_t>(TokensGranted));
}
BENCHMARK(askOfAnotherInstance)->Arg(1)->Arg(4)->Arg(8);

} // namespace
} // namespace psp::limits
