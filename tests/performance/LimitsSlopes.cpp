/// \file
/// How the state, messages and processor time of the rate limits grow with
/// the number of organisations, instances and data centres. Prints CSV, one
/// size a line; every row is for one instance on average.
///
///   limits_slopes [SECONDS]

#include "support/LimitsFleet.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace psp::limits::testing {
namespace {

constexpr TrueTime Second = 1'000'000;
constexpr TrueTime WarmUp = 4 * Second;

/// A frame adds its head, and an envelope the two names.
constexpr double FrameBytes = 36 + 24;

/// Bytes in use by the allocator.
std::size_t bytesInUse() { return mallinfo2().uordblks; }

struct Size {
  std::size_t m_Organisations = 8;
  std::size_t m_DataCentres = 3;
  std::size_t m_Entries = 3;      ///< In each data centre.
  double m_RequestsPerSecond = 0; ///< At each entry instance.
};

std::vector<OrganisationRate> makeRates(const Size &Of) {
  const double Offered = Of.m_RequestsPerSecond *
                         static_cast<double>(Of.m_DataCentres * Of.m_Entries) /
                         static_cast<double>(Of.m_Organisations);
  std::vector<OrganisationRate> Rates;
  Rates.reserve(Of.m_Organisations);
  for (std::size_t I = 0; I < Of.m_Organisations; ++I)
    Rates.push_back(
        {.m_Organisation = base::OrganisationId("org-" + std::to_string(I)),
         .m_RatePerSecond = 1.3 * Offered + 1,
         .m_Burst = 1.3 * Offered + 10});
  return Rates;
}

/// Each instance's requests come at random times, over all organisations.
void offer(LimitsFleet &Fleet, const std::vector<OrganisationRate> &Rates,
           std::size_t Node, double PerSecond) {
  std::exponential_distribution<double> Gap(PerSecond);
  Fleet.schedule(static_cast<TrueTime>(Gap(Fleet.random()) * Second),
                 [&Fleet, &Rates, Node, PerSecond] {
                   const auto Which = Fleet.random()() % Rates.size();
                   Fleet.admit(Node, Rates[Which].m_Organisation, Second);
                   offer(Fleet, Rates, Node, PerSecond);
                 });
}

void measure(const Size &Of, TrueTime Length) {
  const std::size_t Before = bytesInUse();
  LimitsFleet Fleet(
      {.m_Seed = 1,
       .m_Members = makeMembers(Of.m_DataCentres, Of.m_Entries, 1),
       .m_Limits = {},
       .m_Links = {}});
  const std::vector<OrganisationRate> Rates = makeRates(Of);
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    Fleet.setRates(Node, 1, Rates);
  Fleet.runUntil(WarmUp);
  if (Of.m_RequestsPerSecond > 0)
    for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
      if (Fleet.member(Node).m_IsEntry)
        offer(Fleet, Rates, Node, Of.m_RequestsPerSecond);
  const std::uint64_t Messages = Fleet.messages();
  const std::uint64_t Bytes = Fleet.messageBytes();
  const std::clock_t Started = std::clock();
  Fleet.runUntil(WarmUp + Length);
  const double Used = static_cast<double>(std::clock() - Started) /
                      static_cast<double>(CLOCKS_PER_SEC);
  std::size_t Refused = 0;
  for (const SeenDecision &Each : Fleet.takeDecisions())
    Refused += Each.m_Decision.m_Admitted ? 0 : 1;
  const double Seconds = static_cast<double>(Length) / Second;
  const auto Instances = static_cast<double>(Of.m_DataCentres * Of.m_Entries);
  const double Sent = static_cast<double>(Fleet.messages() - Messages);
  const double Volume =
      static_cast<double>(Fleet.messageBytes() - Bytes) + FrameBytes * Sent;
  std::printf("%zu,%zu,%zu,%.0f,%.1f,%.2f,%.2f,%.2f,%zu\n", Of.m_Organisations,
              Of.m_DataCentres, Of.m_Entries, Of.m_RequestsPerSecond,
              static_cast<double>(bytesInUse() - Before) / Instances / 1024,
              Sent / Seconds / Instances, Volume / Seconds / Instances / 1024,
              100 * Used / Seconds / Instances, Refused);
  std::fflush(stdout);
}

void measureAll(TrueTime Length) {
  std::printf("organisations,data_centres,entries_each,requests_per_s_each,"
              "state_kb,messages_per_s,sent_kb_per_s,cpu_percent,refused\n");
  for (const double Load : {0.0, 20.0, 165.0}) {
    for (const std::size_t Organisations : {8, 80, 580})
      measure({Organisations, 3, 3, Load}, Length);
    for (const std::size_t Entries : {2, 8, 16})
      measure({80, 3, Entries, Load}, Length);
    for (const std::size_t DataCentres : {2, 6, 12})
      measure({80, DataCentres, 3, Load}, Length);
  }
}

} // namespace
} // namespace psp::limits::testing

int main(int Count, char **Arguments) {
  const long Seconds = Count > 1 ? std::strtol(Arguments[1], nullptr, 10) : 4;
  psp::limits::testing::measureAll(Seconds * 1'000'000);
  return 0;
}
