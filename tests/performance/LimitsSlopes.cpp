/// \file
/// Measures how the state, the messages and the processor time of the rate
/// limits grow with the number of organisations, instances and data centres.
/// Prints CSV with one size per row. The values are averages per instance,
/// except the number of refused requests, which is that of the whole fleet.
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

/// Bytes that each message adds: the header of the frame, and the two names in
/// the envelope.
constexpr double FrameBytes = 36 + 24;

/// Heap memory in use, in bytes.
std::size_t bytesInUse() { return mallinfo2().uordblks; }

struct Size {
  std::size_t m_Organisations = 8;
  std::size_t m_DataCentres = 3;
  std::size_t m_EntriesPerDataCentre = 3;
  double m_RequestsPerSecond = 0; ///< To each entry instance.
};

std::vector<OrganisationRate> makeRates(const Size &Scale) {
  const double RequestsPerSecond =
      Scale.m_RequestsPerSecond *
      static_cast<double>(Scale.m_DataCentres * Scale.m_EntriesPerDataCentre) /
      static_cast<double>(Scale.m_Organisations);
  std::vector<OrganisationRate> Rates;
  Rates.reserve(Scale.m_Organisations);
  for (std::size_t I = 0; I < Scale.m_Organisations; ++I)
    Rates.push_back(
        {.m_Organisation = base::OrganisationId("org-" + std::to_string(I)),
         .m_RatePerSecond = 1.3 * RequestsPerSecond + 1,
         .m_Burst = 1.3 * RequestsPerSecond + 10});
  return Rates;
}

/// Sends requests of random organisations to one instance at random times.
void sendRequests(LimitsFleet &Fleet,
                  const std::vector<OrganisationRate> &Rates,
                  std::size_t Instance, double RequestsPerSecond) {
  std::exponential_distribution<double> Gap(RequestsPerSecond);
  Fleet.schedule(static_cast<TrueTime>(Gap(Fleet.random()) * Second),
                 [&Fleet, &Rates, Instance, RequestsPerSecond] {
                   const auto OrgIndex = Fleet.random()() % Rates.size();
                   Fleet.admit(Instance, Rates[OrgIndex].m_Organisation,
                               Second);
                   sendRequests(Fleet, Rates, Instance, RequestsPerSecond);
                 });
}

void measure(const Size &Scale, TrueTime Duration) {
  const std::size_t BytesBefore = bytesInUse();
  LimitsFleet Fleet({.m_Seed = 1,
                     .m_Members = makeMembers(Scale.m_DataCentres,
                                              Scale.m_EntriesPerDataCentre, 1),
                     .m_Limits = {},
                     .m_Links = {}});
  const std::vector<OrganisationRate> Rates = makeRates(Scale);
  for (std::size_t Instance = 0; Instance < Fleet.size(); ++Instance)
    Fleet.setRates(Instance, 1, Rates);
  Fleet.runUntil(WarmUp);
  if (Scale.m_RequestsPerSecond > 0)
    for (std::size_t Instance = 0; Instance < Fleet.size(); ++Instance)
      if (Fleet.member(Instance).m_IsEntry)
        sendRequests(Fleet, Rates, Instance, Scale.m_RequestsPerSecond);
  const std::uint64_t MessagesBefore = Fleet.messages();
  const std::uint64_t MessageBytesBefore = Fleet.messageBytes();
  const std::clock_t CpuStart = std::clock();
  Fleet.runUntil(WarmUp + Duration);
  const double CpuSeconds = static_cast<double>(std::clock() - CpuStart) /
                            static_cast<double>(CLOCKS_PER_SEC);
  std::size_t Refused = 0;
  for (const ObservedDecision &Observed : Fleet.takeDecisions())
    Refused += Observed.m_Decision.m_Admitted ? 0 : 1;
  const double Seconds = static_cast<double>(Duration) / Second;
  const auto InstanceCount =
      static_cast<double>(Scale.m_DataCentres * Scale.m_EntriesPerDataCentre);
  const double MessagesSent =
      static_cast<double>(Fleet.messages() - MessagesBefore);
  const double BytesSent =
      static_cast<double>(Fleet.messageBytes() - MessageBytesBefore) +
      FrameBytes * MessagesSent;
  std::printf("%zu,%zu,%zu,%.0f,%.1f,%.2f,%.2f,%.2f,%zu\n",
              Scale.m_Organisations, Scale.m_DataCentres,
              Scale.m_EntriesPerDataCentre, Scale.m_RequestsPerSecond,
              static_cast<double>(bytesInUse() - BytesBefore) / InstanceCount /
                  1024,
              MessagesSent / Seconds / InstanceCount,
              BytesSent / Seconds / InstanceCount / 1024,
              100 * CpuSeconds / Seconds / InstanceCount, Refused);
  std::fflush(stdout);
}

void measureAll(TrueTime Duration) {
  std::printf("organisations,data_centres,entries_each,requests_per_s_each,"
              "state_kb,messages_per_s,sent_kb_per_s,cpu_percent,refused\n");
  for (const double Load : {0.0, 20.0, 165.0}) {
    for (const std::size_t Organisations : {8, 80, 580})
      measure({Organisations, 3, 3, Load}, Duration);
    for (const std::size_t Entries : {2, 8, 16})
      measure({80, 3, Entries, Load}, Duration);
    for (const std::size_t DataCentres : {2, 6, 12})
      measure({80, DataCentres, 3, Load}, Duration);
  }
}

} // namespace
} // namespace psp::limits::testing

int main(int Count, char **Arguments) {
  const long Seconds = Count > 1 ? std::strtol(Arguments[1], nullptr, 10) : 4;
  psp::limits::testing::measureAll(Seconds * 1'000'000);
  return 0;
}
