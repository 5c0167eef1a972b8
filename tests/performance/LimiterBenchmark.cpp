/// \file
/// Admission decisions a second on one core: at the limiter itself, for asks
/// of other instances, and for an organisation at many times its rate.

#include "limits/RateLimits.h"

#include <benchmark/benchmark.h>

#include <string>

namespace psp::limits {
namespace {

using base::microseconds;
using base::seconds;

const base::TimePoint Start{base::seconds(1000)};
constexpr std::size_t Organisations = 580;

std::vector<OrganisationRate> makeRates(double RatePerSecond, double Burst) {
  std::vector<OrganisationRate> Rates;
  for (std::size_t I = 0; I < Organisations; ++I)
    Rates.push_back(
        {.m_Organisation = base::OrganisationId("org-" + std::to_string(I)),
         .m_RatePerSecond = RatePerSecond,
         .m_Burst = Burst});
  return Rates;
}

/// A fleet of one instance, which is the limiter of every shard.
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

  /// One request a microsecond, over all organisations in turn. Returns how
  /// many were admitted in this step.
  std::int64_t admit() {
    m_Now += microseconds(1);
    ++m_Ticket;
    m_Limits.admit(m_Ticket, m_Rates[m_Ticket % Organisations].m_Organisation,
                   m_Now + seconds(1), m_Now, m_Out);
    if (m_Ticket % 5000 == 0)
      m_Limits.onTick(m_Now, m_Out);
    std::int64_t Admitted = 0;
    for (const LimitDecision &Each : m_Limits.takeDecisions())
      Admitted += Each.m_Admitted ? 1 : 0;
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
  IdSource Ids(base::InstanceId("one"), 1);
  LimitCounters Counters;
  Limiter Target({.m_Options = Options,
                  .m_Rates = Rates,
                  .m_DataCentres = 1,
                  .m_OwnPosition = 0,
                  .m_Ids = Ids,
                  .m_Counters = Counters},
                 0, Start);
  Target.setLeaseEnd(Start + seconds(1'000'000));
  base::TimePoint Now = Start + seconds(10);
  const base::InstanceId Asker("two");
  messages::TokenAsk Ask;
  Ask.set_needed(static_cast<std::uint32_t>(State.range(0)));
  Ask.set_wait_us(100'000);
  std::uint64_t Request = 0;
  std::uint64_t Grant = 0;
  std::uint64_t Granted = 0;
  for (auto Step : State) {
    Now += microseconds(1);
    Ask.set_request(++Request);
    Ask.set_organisation("org-" + std::to_string(Request % Organisations));
    Ask.clear_reports();
    auto &Report = *Ask.add_reports();
    Report.set_grant(Grant);
    Report.set_used(static_cast<std::uint64_t>(State.range(0)));
    Target.onAsk(Asker, Ask, Now);
    for (const TokenReplyTo &Each : Target.takeReplies()) {
      Grant = Each.m_Reply.grant();
      Granted += Each.m_Reply.granted();
    }
  }
  State.SetItemsProcessed(static_cast<std::int64_t>(Granted));
}
BENCHMARK(askOfAnotherInstance)->Arg(1)->Arg(4)->Arg(8);

} // namespace
} // namespace psp::limits
