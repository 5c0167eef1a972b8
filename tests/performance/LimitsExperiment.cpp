/// \file
/// Compares policies for enforcing rates over a fleet by the number of requests
/// that they refuse although the organisation is within its rate. Runs the
/// decision code of the product in an event-driven simulation of time, links
/// and faults.
///
///   limits_experiment [SEEDS] [CSV-FILE]

#include "support/LimitPolicies.h"
#include "support/WindowCheck.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>

namespace psp::limits::testing {
namespace {

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;
constexpr TrueTime WarmUp = 10 * Second; ///< All buckets are full after it.
constexpr TrueTime FaultAt = 20 * Second;
constexpr TrueTime FaultDuration = 15 * Second;
constexpr TrueTime Duration = 45 * Second;
constexpr TrueTime RequestTimeout = 10 * Second;

struct Layout {
  std::string m_Name;
  std::vector<std::string> m_DataCentres;
  TrueTime m_RemoteDelay = 0; ///< One way.
};

struct Organisation {
  OrganisationRate m_Rate;
  double m_Load = 0;           ///< Requests as a multiple of the rate.
  std::size_t m_Home = 0;      ///< Data centre that gets most of its requests.
  double m_HomeFraction = 0.6; ///< Of the requests.
};

struct Arrival {
  TrueTime m_At = 0;
  std::size_t m_DataCentre = 0;
  std::size_t m_Organisation = 0;
  std::uint64_t m_Pick = 0; ///< Selects the instance.
};

struct Fault {
  std::string m_Name;
  std::size_t m_Cases = 1;
};

/// The result of one run, or the sum of several.
struct Outcome {
  std::uint64_t m_RequestCount = 0;
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_Refused = 0;
  /// Refused within the rate, of organisations with m_Load up to 1.
  std::uint64_t m_RefusedWithinRate = 0;
  /// Refused within the rate, of organisations with m_Load above 1.
  std::uint64_t m_RefusedWithinRateOverloaded = 0;
  /// Refused while the bucket of admissions held a token, of all organisations.
  std::uint64_t m_RefusedWithToken = 0;
  std::uint64_t m_Messages = 0;
  double m_WorstExcess = -1e9;
  std::vector<TrueTime> m_Waits;
};

std::vector<Member> membersOf(const Layout &TestLayout) {
  constexpr std::size_t Entries[] = {3, 2, 2};
  std::vector<Member> Members;
  for (std::size_t Position = 0; Position < TestLayout.m_DataCentres.size();
       ++Position)
    for (std::size_t I = 0; I <= Entries[Position]; ++I)
      Members.push_back(
          {.m_Instance = base::InstanceId(TestLayout.m_DataCentres[Position] +
                                          "-" + std::to_string(I)),
           .m_DataCentre =
               base::DataCentreId(TestLayout.m_DataCentres[Position]),
           .m_IsEntry = I < Entries[Position]});
  return Members;
}

std::vector<Organisation> makeOrganisations() {
  std::vector<Organisation> Result;
  const auto Add = [&](const char *Name, double Rate, double Burst,
                       double Load) {
    Result.push_back({.m_Rate = {.m_Organisation = base::OrganisationId(Name),
                                 .m_RatePerSecond = Rate,
                                 .m_Burst = Burst},
                      .m_Load = Load,
                      .m_Home = Result.size() % 3,
                      .m_HomeFraction = Result.size() % 2 == 0 ? 0.5 : 0.9});
  };
  Add("large-1", 60, 60, 0.9);
  Add("large-2", 40, 40, 0.8);
  Add("large-over", 30, 30, 4);
  Add("small-1", 6, 12, 0.8);
  Add("small-2", 5, 10, 0.8);
  Add("small-3", 3, 6, 0.7);
  Add("tiny-1", 2, 5, 0.7);
  Add("tiny-2", 1, 4, 0.6);
  return Result;
}

/// Requests arrive in batches (a program with sub-agents) at random times.
std::vector<Arrival> makeArrivals(const std::vector<Organisation> &All,
                                  std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<Arrival> Arrivals;
  for (std::size_t OrgIndex = 0; OrgIndex < All.size(); ++OrgIndex) {
    const Organisation &Sender = All[OrgIndex];
    constexpr double MeanBatchSize = 2.5;
    std::exponential_distribution<double> Gap(Sender.m_Rate.m_RatePerSecond *
                                              Sender.m_Load / MeanBatchSize);
    std::uniform_real_distribution<double> Chance(0, 1);
    std::uniform_int_distribution<int> BatchSize(1, 4);
    double AtSeconds = static_cast<double>(WarmUp) / Second;
    while ((AtSeconds += Gap(Random)) * Second < Duration) {
      const std::size_t DataCentre =
          Chance(Random) < Sender.m_HomeFraction
              ? Sender.m_Home
              : (Sender.m_Home + (Chance(Random) < 0.5 ? 1 : 2)) % 3;
      for (int I = BatchSize(Random); I > 0; --I)
        Arrivals.push_back({.m_At = static_cast<TrueTime>(AtSeconds * Second),
                            .m_DataCentre = DataCentre,
                            .m_Organisation = OrgIndex,
                            .m_Pick = Random()});
    }
  }
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_At < B.m_At; });
  return Arrivals;
}

/// Balances load: selects any live entry instance of the data centre.
std::size_t pickInstance(const LimitsFleet &Fleet, const Layout &TestLayout,
                         const Arrival &Request) {
  std::vector<std::size_t> Live;
  for (std::size_t Instance = 0; Instance < Fleet.size(); ++Instance)
    if (Fleet.isUp(Instance) && Fleet.member(Instance).m_IsEntry &&
        Fleet.member(Instance).m_DataCentre.str() ==
            TestLayout.m_DataCentres[Request.m_DataCentre])
      Live.push_back(Instance);
  return Live[Request.m_Pick % Live.size()];
}

/// Replays the decisions on buckets of the full rate and burst, and counts the
/// refusals at times at which such a bucket holds a token.
void countRefusals(const std::vector<Organisation> &All,
                   const std::vector<ObservedDecision> &Decisions,
                   Outcome &Total) {
  for (const Organisation &Sender : All) {
    const double Rate = Sender.m_Rate.m_RatePerSecond;
    const double Burst = Sender.m_Rate.m_Burst;
    double LevelAfterAll = Burst;      // Refused requests take a token, too.
    double LevelAfterAdmitted = Burst; // The bucket of admissions only.
    TrueTime Last = WarmUp;
    std::vector<TrueTime> Admissions;
    for (const ObservedDecision &Observed : Decisions) {
      if (Observed.m_Organisation != Sender.m_Rate.m_Organisation ||
          Observed.m_DecidedAt < WarmUp)
        continue;
      const double Accrued =
          static_cast<double>(Observed.m_DecidedAt - Last) * 1e-6 * Rate;
      Last = Observed.m_DecidedAt;
      LevelAfterAll = std::min(Burst, LevelAfterAll + Accrued);
      LevelAfterAdmitted = std::min(Burst, LevelAfterAdmitted + Accrued);
      if (Observed.m_Decision.m_Admitted) {
        ++Total.m_Admitted;
        LevelAfterAll -= 1;
        LevelAfterAdmitted -= 1;
        Admissions.push_back(Observed.m_DecidedAt);
        Total.m_Waits.push_back(Observed.m_DecidedAt - Observed.m_RequestedAt);
        continue;
      }
      ++Total.m_Refused;
      Total.m_RefusedWithToken += LevelAfterAdmitted >= 1 ? 1 : 0;
      if (LevelAfterAll < 1)
        continue;
      LevelAfterAll -= 1;
      ++(Sender.m_Load > 1 ? Total.m_RefusedWithinRateOverloaded
                           : Total.m_RefusedWithinRate);
    }
    Total.m_WorstExcess = std::max(
        Total.m_WorstExcess, worstExcess(Admissions, {{.m_From = 0,
                                                       .m_RatePerSecond = Rate,
                                                       .m_Burst = Burst}}));
  }
}

void scheduleFault(Policy &TestedPolicy, const Layout &TestLayout,
                   const Fault &TestFault, std::size_t CaseIndex) {
  LimitsFleet &Fleet = TestedPolicy.fleet();
  if (TestFault.m_Name == "instance lost") {
    std::vector<std::size_t> Entries;
    for (std::size_t Instance = 0; Instance < Fleet.size(); ++Instance)
      if (Fleet.member(Instance).m_IsEntry)
        Entries.push_back(Instance);
    const std::size_t Instance = Entries[CaseIndex];
    Fleet.schedule(FaultAt, [&Fleet, Instance] { Fleet.crash(Instance); });
    Fleet.schedule(FaultAt + FaultDuration,
                   [&Fleet, Instance] { Fleet.start(Instance); });
  }
  if (TestFault.m_Name == "data centre cut") {
    const base::DataCentreId Name(TestLayout.m_DataCentres[CaseIndex]);
    Fleet.schedule(FaultAt,
                   [&Fleet, Name] { Fleet.setPartitioned(Name, true); });
    Fleet.schedule(FaultAt + FaultDuration,
                   [&Fleet, Name] { Fleet.setPartitioned(Name, false); });
  }
}

using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const FleetOptions &Options)>;

void runOnce(const PolicyFactory &CreatePolicy, const Layout &TestLayout,
             const Fault &TestFault, std::size_t CaseIndex, std::uint64_t Seed,
             Outcome &Total) {
  const std::vector<Organisation> All = makeOrganisations();
  const auto TestedPolicy =
      CreatePolicy({.m_Seed = Seed,
                    .m_Members = membersOf(TestLayout),
                    .m_Limits = {},
                    .m_Links = {.m_LocalDelay = 150,
                                .m_RemoteDelay = TestLayout.m_RemoteDelay},
                    .m_MaxClockDrift = 0.0001});
  std::vector<OrganisationRate> Rates;
  Rates.reserve(All.size());
  for (const Organisation &Sender : All)
    Rates.push_back(Sender.m_Rate);
  TestedPolicy->setRates(Rates);
  scheduleFault(*TestedPolicy, TestLayout, TestFault, CaseIndex);
  for (const Arrival &Request : makeArrivals(All, Seed)) {
    TestedPolicy->fleet().runUntil(Request.m_At);
    TestedPolicy->admit(
        pickInstance(TestedPolicy->fleet(), TestLayout, Request),
        Rates[Request.m_Organisation].m_Organisation, RequestTimeout);
    Total.m_RequestCount += Request.m_At >= WarmUp ? 1 : 0;
  }
  TestedPolicy->fleet().runUntil(Duration + RequestTimeout);
  countRefusals(All, TestedPolicy->takeDecisions(), Total);
  Total.m_Messages += TestedPolicy->messages();
}

double percentile(std::vector<TrueTime> &Waits, double Quantile) {
  if (Waits.empty())
    return 0;
  const auto Index = static_cast<std::ptrdiff_t>(
      Quantile * static_cast<double>(Waits.size() - 1));
  std::nth_element(Waits.begin(), Waits.begin() + Index, Waits.end());
  return static_cast<double>(Waits[static_cast<std::size_t>(Index)]) / 1000;
}

FleetOptions withOneDataCentre(FleetOptions Options) {
  Options.m_ConfiguredMembers = Options.m_Members;
  for (Member &Configured : Options.m_ConfiguredMembers)
    Configured.m_DataCentre = base::DataCentreId("fleet");
  return Options;
}

struct NamedPolicy {
  std::string m_Name;
  PolicyFactory m_CreatePolicy;
};

std::vector<NamedPolicy> makePolicies() {
  return {
      {"slices with lending",
       [](const FleetOptions &Options) {
         return std::make_unique<LimiterPolicy>(Options);
       }},
      {"one owner",
       [](const FleetOptions &Options) {
         return std::make_unique<LimiterPolicy>(withOneDataCentre(Options));
       }},
      {"static, data centre",
       [](const FleetOptions &Options) {
         return std::make_unique<StaticPolicy>(Options, false);
       }},
      {"static, instance",
       [](const FleetOptions &Options) {
         return std::make_unique<StaticPolicy>(Options, true);
       }},
      {"leased by demand",
       [](const FleetOptions &Options) {
         return std::make_unique<DemandPolicy>(Options);
       }},
  };
}

void printRow(std::ostream &Csv, const Layout &TestLayout,
              const Fault &TestFault, const NamedPolicy &PolicyToPrint,
              std::size_t Runs, Outcome &Total) {
  const double RefusedPpm = 1e6 *
                            static_cast<double>(Total.m_RefusedWithinRate) /
                            static_cast<double>(Total.m_RequestCount);
  const double MessagesPerSecond =
      static_cast<double>(Total.m_Messages) /
      (static_cast<double>(Runs) *
       static_cast<double>(Duration + RequestTimeout) / Second);
  const double WaitP50 = percentile(Total.m_Waits, 0.5);
  const double WaitP99 = percentile(Total.m_Waits, 0.99);
  const double MaxWait = percentile(Total.m_Waits, 1);
  std::printf(
      "%-9s %-15s %-20s %8llu %8llu %8llu %8.0f %8llu %8llu %8.2f "
      "%6.2f %7.2f %7.1f %7.0f\n",
      TestLayout.m_Name.c_str(), TestFault.m_Name.c_str(),
      PolicyToPrint.m_Name.c_str(),
      static_cast<unsigned long long>(Total.m_RequestCount),
      static_cast<unsigned long long>(Total.m_Refused),
      static_cast<unsigned long long>(Total.m_RefusedWithinRate), RefusedPpm,
      static_cast<unsigned long long>(Total.m_RefusedWithinRateOverloaded),
      static_cast<unsigned long long>(Total.m_RefusedWithToken),
      Total.m_WorstExcess, WaitP50, WaitP99, MaxWait, MessagesPerSecond);
  std::fflush(stdout);
  Csv << TestLayout.m_Name << ',' << TestFault.m_Name << ",\""
      << PolicyToPrint.m_Name << "\"," << Total.m_RequestCount << ','
      << Total.m_Admitted << ',' << Total.m_Refused << ','
      << Total.m_RefusedWithinRate << ',' << Total.m_RefusedWithinRateOverloaded
      << ',' << Total.m_RefusedWithToken << ',' << Total.m_WorstExcess << ','
      << WaitP50 << ',' << WaitP99 << ',' << MaxWait << ',' << MessagesPerSecond
      << '\n';
}

void compare(std::uint64_t Seeds, std::ostream &Csv) {
  const Layout Layouts[] = {
      {"guild", {"brum-a", "stoke-b", "derby-c"}, 1500},
      {"song-han", {"haichau", "sontra", "lienchieu"}, 500}};
  const Fault Faults[] = {
      {"healthy", 1}, {"instance lost", 7}, {"data centre cut", 3}};
  std::printf("%-9s %-15s %-20s %8s %8s %8s %8s %8s %8s %8s %6s %7s %7s %7s\n",
              "layout", "fault", "policy", "offered", "refused", "inside",
              "ppm", "in-over", "w-token", "excess", "p50ms", "p99ms", "maxms",
              "msg/s");
  Csv << "layout,fault,policy,offered,admitted,refused,refused_inside,"
         "refused_inside_of_the_one_over,refused_with_token,worst_excess,"
         "wait_p50_ms,wait_p99_ms,wait_max_ms,messages_per_second\n";
  for (const Layout &TestLayout : Layouts)
    for (const Fault &TestFault : Faults)
      for (const NamedPolicy &Candidate : makePolicies()) {
        Outcome Total;
        for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
          for (std::size_t CaseIndex = 0; CaseIndex < TestFault.m_Cases;
               ++CaseIndex)
            runOnce(Candidate.m_CreatePolicy, TestLayout, TestFault, CaseIndex,
                    Seed, Total);
        printRow(Csv, TestLayout, TestFault, Candidate,
                 Seeds * TestFault.m_Cases, Total);
      }
}

} // namespace
} // namespace psp::limits::testing

int main(int Count, char **Arguments) {
  const std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 3;
  std::ofstream Csv;
  if (Count > 2)
    Csv.open(Arguments[2]);
  psp::limits::testing::compare(Seeds, Csv);
  return 0;
}
