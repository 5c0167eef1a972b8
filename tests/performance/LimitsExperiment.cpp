/// \file
/// Compares ways of dividing rates over a fleet by the requests that they
/// refuse although the organisation is inside its rate. The decision code is
/// the product's; time, links and faults are driven by events.
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
constexpr TrueTime WarmUp = 10 * Second; ///< Until all buckets are full.
constexpr TrueTime FaultAt = 20 * Second;
constexpr TrueTime FaultLength = 15 * Second;
constexpr TrueTime Length = 45 * Second;
constexpr TrueTime Patience = 10 * Second;

struct Layout {
  std::string m_Name;
  std::vector<std::string> m_DataCentres;
  TrueTime m_RemoteDelay = 0; ///< One way.
};

struct Organisation {
  OrganisationRate m_Rate;
  double m_Load = 0;      ///< Offered, as a part of the rate.
  std::size_t m_Home = 0; ///< Data centre that gets most of its requests.
  double m_HomePart = 0.6;
};

struct Arrival {
  TrueTime m_At = 0;
  std::size_t m_DataCentre = 0;
  std::size_t m_Organisation = 0;
  std::uint64_t m_Pick = 0; ///< Chooses the instance.
};

struct Fault {
  std::string m_Name;
  std::size_t m_Cases = 1;
};

/// What one run, or the sum of several, gave.
struct Outcome {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_RefusedInside = 0; ///< Of organisations within their rate.
  std::uint64_t m_RefusedInsideOver = 0; ///< Of the one over its rate.
  std::uint64_t m_RefusedWithToken = 0;  ///< Without taking it; all.
  std::uint64_t m_Messages = 0;
  double m_WorstExcess = -1e9;
  std::vector<TrueTime> m_Waits;
};

std::vector<Member> membersOf(const Layout &Where) {
  constexpr std::size_t Entries[] = {3, 2, 2};
  std::vector<Member> Members;
  for (std::size_t D = 0; D < Where.m_DataCentres.size(); ++D)
    for (std::size_t I = 0; I <= Entries[D]; ++I)
      Members.push_back(
          {.m_Instance = base::InstanceId(Where.m_DataCentres[D] + "-" +
                                          std::to_string(I)),
           .m_DataCentre = base::DataCentreId(Where.m_DataCentres[D]),
           .m_IsEntry = I < Entries[D]});
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
                      .m_HomePart = Result.size() % 2 == 0 ? 0.5 : 0.9});
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

/// Requests come in clumps (a program with sub-agents), at random times.
std::vector<Arrival> makeArrivals(const std::vector<Organisation> &All,
                                  std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<Arrival> Arrivals;
  for (std::size_t Which = 0; Which < All.size(); ++Which) {
    const Organisation &Each = All[Which];
    constexpr double MeanClump = 2.5;
    std::exponential_distribution<double> Gap(Each.m_Rate.m_RatePerSecond *
                                              Each.m_Load / MeanClump);
    std::uniform_real_distribution<double> Chance(0, 1);
    std::uniform_int_distribution<int> Clump(1, 4);
    double At = static_cast<double>(WarmUp) / Second;
    while ((At += Gap(Random)) * Second < Length) {
      const std::size_t DataCentre =
          Chance(Random) < Each.m_HomePart
              ? Each.m_Home
              : (Each.m_Home + (Chance(Random) < 0.5 ? 1 : 2)) % 3;
      for (int I = Clump(Random); I > 0; --I)
        Arrivals.push_back({.m_At = static_cast<TrueTime>(At * Second),
                            .m_DataCentre = DataCentre,
                            .m_Organisation = Which,
                            .m_Pick = Random()});
    }
  }
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_At < B.m_At; });
  return Arrivals;
}

/// The balancer: any live entry instance of the data centre.
std::size_t pickInstance(const LimitsFleet &Fleet, const Layout &Where,
                         const Arrival &Each) {
  std::vector<std::size_t> Live;
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    if (Fleet.isUp(Node) && Fleet.member(Node).m_IsEntry &&
        Fleet.member(Node).m_DataCentre.str() ==
            Where.m_DataCentres[Each.m_DataCentre])
      Live.push_back(Node);
  return Live[Each.m_Pick % Live.size()];
}

/// Feeds one bucket of the whole rate with what was admitted, and counts the
/// refusals at moments at which it holds a token.
void countRefusals(const std::vector<Organisation> &All,
                   const std::vector<SeenDecision> &Seen, Outcome &Sum) {
  for (const Organisation &Each : All) {
    const double Rate = Each.m_Rate.m_RatePerSecond;
    const double Burst = Each.m_Rate.m_Burst;
    double Taking = Burst; // A refused request takes its token.
    double Keeping = Burst;
    TrueTime Last = WarmUp;
    std::vector<TrueTime> Admissions;
    for (const SeenDecision &One : Seen) {
      if (One.m_Organisation != Each.m_Rate.m_Organisation || One.m_At < WarmUp)
        continue;
      const double Accrued = static_cast<double>(One.m_At - Last) * 1e-6 * Rate;
      Last = One.m_At;
      Taking = std::min(Burst, Taking + Accrued);
      Keeping = std::min(Burst, Keeping + Accrued);
      if (One.m_Decision.m_Admitted) {
        ++Sum.m_Admitted;
        Taking -= 1;
        Keeping -= 1;
        Admissions.push_back(One.m_At);
        Sum.m_Waits.push_back(One.m_At - One.m_Asked);
        continue;
      }
      ++Sum.m_Refused;
      Sum.m_RefusedWithToken += Keeping >= 1 ? 1 : 0;
      if (Taking < 1)
        continue;
      Taking -= 1;
      ++(Each.m_Load > 1 ? Sum.m_RefusedInsideOver : Sum.m_RefusedInside);
    }
    Sum.m_WorstExcess = std::max(
        Sum.m_WorstExcess, worstExcess(Admissions, {{.m_From = 0,
                                                     .m_RatePerSecond = Rate,
                                                     .m_Burst = Burst}}));
  }
}

void scheduleFault(Policy &Subject, const Layout &Where, const Fault &Kind,
                   std::size_t Case) {
  LimitsFleet &Fleet = Subject.fleet();
  if (Kind.m_Name == "instance lost") {
    std::vector<std::size_t> Entries;
    for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
      if (Fleet.member(Node).m_IsEntry)
        Entries.push_back(Node);
    const std::size_t Node = Entries[Case];
    Fleet.schedule(FaultAt, [&Fleet, Node] { Fleet.crash(Node); });
    Fleet.schedule(FaultAt + FaultLength,
                   [&Fleet, Node] { Fleet.start(Node); });
  }
  if (Kind.m_Name == "data centre cut") {
    const base::DataCentreId Name(Where.m_DataCentres[Case]);
    Fleet.schedule(FaultAt, [&Fleet, Name] { Fleet.setCut(Name, true); });
    Fleet.schedule(FaultAt + FaultLength,
                   [&Fleet, Name] { Fleet.setCut(Name, false); });
  }
}

using MakePolicy =
    std::function<std::unique_ptr<Policy>(const FleetOptions &Options)>;

void runOnce(const MakePolicy &Make, const Layout &Where, const Fault &Kind,
             std::size_t Case, std::uint64_t Seed, Outcome &Sum) {
  const std::vector<Organisation> All = makeOrganisations();
  const auto Subject = Make(
      {.m_Seed = Seed,
       .m_Members = membersOf(Where),
       .m_Limits = {},
       .m_Links = {.m_LocalDelay = 150, .m_RemoteDelay = Where.m_RemoteDelay},
       .m_Drift = 0.0001});
  std::vector<OrganisationRate> Rates;
  Rates.reserve(All.size());
  for (const Organisation &Each : All)
    Rates.push_back(Each.m_Rate);
  Subject->setRates(Rates);
  scheduleFault(*Subject, Where, Kind, Case);
  for (const Arrival &Each : makeArrivals(All, Seed)) {
    Subject->fleet().runUntil(Each.m_At);
    Subject->admit(pickInstance(Subject->fleet(), Where, Each),
                   Rates[Each.m_Organisation].m_Organisation, Patience);
    Sum.m_Offered += Each.m_At >= WarmUp ? 1 : 0;
  }
  Subject->fleet().runUntil(Length + Patience);
  countRefusals(All, Subject->takeDecisions(), Sum);
  Sum.m_Messages += Subject->messages();
}

double percentile(std::vector<TrueTime> &Waits, double Part) {
  if (Waits.empty())
    return 0;
  const auto Place =
      static_cast<std::ptrdiff_t>(Part * static_cast<double>(Waits.size() - 1));
  std::nth_element(Waits.begin(), Waits.begin() + Place, Waits.end());
  return static_cast<double>(Waits[static_cast<std::size_t>(Place)]) / 1000;
}

FleetOptions toldOneDataCentre(FleetOptions Options) {
  Options.m_ToldMembers = Options.m_Members;
  for (Member &Each : Options.m_ToldMembers)
    Each.m_DataCentre = base::DataCentreId("fleet");
  return Options;
}

struct NamedPolicy {
  std::string m_Name;
  MakePolicy m_Make;
};

std::vector<NamedPolicy> makePolicies() {
  return {
      {"slices with lending",
       [](const FleetOptions &O) {
         return std::make_unique<LimiterPolicy>(O);
       }},
      {"one owner",
       [](const FleetOptions &O) {
         return std::make_unique<LimiterPolicy>(toldOneDataCentre(O));
       }},
      {"static, data centre",
       [](const FleetOptions &O) {
         return std::make_unique<StaticPolicy>(O, false);
       }},
      {"static, instance",
       [](const FleetOptions &O) {
         return std::make_unique<StaticPolicy>(O, true);
       }},
      {"leased by demand",
       [](const FleetOptions &O) { return std::make_unique<DemandPolicy>(O); }},
  };
}

void printRow(std::ostream &Csv, const Layout &Where, const Fault &Kind,
              const NamedPolicy &Name, std::size_t Runs, Outcome &Sum) {
  const double Share = 1e6 * static_cast<double>(Sum.m_RefusedInside) /
                       static_cast<double>(Sum.m_Offered);
  const double PerSecond = static_cast<double>(Sum.m_Messages) /
                           (static_cast<double>(Runs) *
                            static_cast<double>(Length + Patience) / Second);
  const double P50 = percentile(Sum.m_Waits, 0.5);
  const double P99 = percentile(Sum.m_Waits, 0.99);
  const double Longest = percentile(Sum.m_Waits, 1);
  std::printf("%-9s %-15s %-20s %8llu %8llu %8llu %8.0f %8llu %8llu %8.2f "
              "%6.2f %7.2f %7.1f %7.0f\n",
              Where.m_Name.c_str(), Kind.m_Name.c_str(), Name.m_Name.c_str(),
              static_cast<unsigned long long>(Sum.m_Offered),
              static_cast<unsigned long long>(Sum.m_Refused),
              static_cast<unsigned long long>(Sum.m_RefusedInside), Share,
              static_cast<unsigned long long>(Sum.m_RefusedInsideOver),
              static_cast<unsigned long long>(Sum.m_RefusedWithToken),
              Sum.m_WorstExcess, P50, P99, Longest, PerSecond);
  std::fflush(stdout);
  Csv << Where.m_Name << ',' << Kind.m_Name << ",\"" << Name.m_Name << "\","
      << Sum.m_Offered << ',' << Sum.m_Admitted << ',' << Sum.m_Refused << ','
      << Sum.m_RefusedInside << ',' << Sum.m_RefusedInsideOver << ','
      << Sum.m_RefusedWithToken << ',' << Sum.m_WorstExcess << ',' << P50 << ','
      << P99 << ',' << Longest << ',' << PerSecond << '\n';
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
  for (const Layout &Where : Layouts)
    for (const Fault &Kind : Faults)
      for (const NamedPolicy &Each : makePolicies()) {
        Outcome Sum;
        for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
          for (std::size_t Case = 0; Case < Kind.m_Cases; ++Case)
            runOnce(Each.m_Make, Where, Kind, Case, Seed, Sum);
        printRow(Csv, Where, Kind, Each, Seeds * Kind.m_Cases, Sum);
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
