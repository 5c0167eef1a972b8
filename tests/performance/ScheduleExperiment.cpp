/// \file
/// Compares queueing and routing policies, and shows the behaviour under
/// overload and the recovery from an outage. Prints a table, and writes CSV if
/// a path is given:
///   schedule_experiment [CSV-FILE]

#include "ScheduleModel.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace psp::schedule::model {
namespace {

constexpr std::array<std::uint64_t, 3> Seeds = {1, 2, 3};

const std::array<Deployment, 2> Deployments = {
    Deployment{.m_Name = "guild", .m_ClientDelayMs = 1.0},
    Deployment{.m_Name = "song-han",
               .m_ClientDelayMs = 3.0,
               .m_MeanPauseSeconds = 2.0,
               .m_MeanTurns = 8,
               .m_MeanPromptTokens = 1000}};

class Table {
public:
  explicit Table(const char *Path) {
    if (Path != nullptr)
      m_Csv.open(Path);
    m_Csv << "deployment,case,load,seed,p50_s,p99_s,worst_slowdown,"
             "recomputed_share,programs_per_s,tokens_per_s,alarm_p50_s,"
             "alarm_p99_s,notice_p99_s,small_slowdown,refusals,given_up\n";
    std::printf(
        "%-9s %-26s %5s %4s %7s %7s %7s %6s %7s %8s %7s %7s %7s %7s %7s %6s\n",
        "user", "case", "load", "seed", "p50 s", "p99 s", "worst", "recomp",
        "prog/s", "tokens/s", "alarm50", "alarm99", "notic99", "small",
        "refused", "lost");
  }

  void add(const Setup &Case, const Outcome &Measured) {
    std::printf("%-9s %-26s %5.2f %4llu %7.2f %7.2f %7.2f %6.3f %7.2f %8.0f "
                "%7.2f %7.2f %7.3f %7.2f %7llu %6llu\n",
                Case.m_Deployment.m_Name.c_str(), Case.m_Name.c_str(),
                Case.m_Load, static_cast<unsigned long long>(Case.m_Seed),
                Measured.m_P50, Measured.m_P99, Measured.m_WorstSlowdown,
                Measured.m_RecomputedShare, Measured.m_ProgramsPerSecond,
                Measured.m_TokensPerSecond, Measured.m_AlarmP50,
                Measured.m_AlarmP99, Measured.m_NoticeP99,
                Measured.m_SmallSlowdown,
                static_cast<unsigned long long>(Measured.m_Refusals),
                static_cast<unsigned long long>(Measured.m_AbandonedPrograms));
    std::fflush(stdout);
    m_Csv << Case.m_Deployment.m_Name << ',' << Case.m_Name << ','
          << Case.m_Load << ',' << Case.m_Seed << ',' << Measured.m_P50 << ','
          << Measured.m_P99 << ',' << Measured.m_WorstSlowdown << ','
          << Measured.m_RecomputedShare << ',' << Measured.m_ProgramsPerSecond
          << ',' << Measured.m_TokensPerSecond << ',' << Measured.m_AlarmP50
          << ',' << Measured.m_AlarmP99 << ',' << Measured.m_NoticeP99 << ','
          << Measured.m_SmallSlowdown << ',' << Measured.m_Refusals << ','
          << Measured.m_AbandonedPrograms << '\n';
  }

private:
  std::ofstream m_Csv;
};

void runSeeds(Table &Results, Setup Case) {
  for (const std::uint64_t Seed : Seeds) {
    Case.m_Seed = Seed;
    Results.add(Case, run(Case));
  }
}

void compareQueues(Table &Results, const Deployment &User, double Load) {
  Setup Case{.m_Deployment = User, .m_Load = Load};
  Case.m_Name = "queue fair";
  runSeeds(Results, Case);
  Case.m_Name = "queue fair call-age";
  Case.m_Queue.m_AgeFromProgramStart = false;
  runSeeds(Results, Case);
  Case.m_Name = "queue first-come";
  Case.m_Queue.m_Order = QueueOrder::Fifo;
  runSeeds(Results, Case);
  Case.m_Name = "queue round-robin";
  Case.m_Queue.m_Order = QueueOrder::RoundRobin;
  runSeeds(Results, Case);
}

void compareRouting(Table &Results, const Deployment &User) {
  Setup Case{.m_Deployment = User, .m_Load = 0.8};
  Case.m_Name = "route prefix-affinity";
  runSeeds(Results, Case);
  Case.m_Name = "route least-loaded";
  Case.m_Routing = RoutingStrategy::LeastLoaded;
  runSeeds(Results, Case);
  Case.m_Name = "route random-of-two";
  Case.m_Routing = RoutingStrategy::PowerOfTwoChoices;
  runSeeds(Results, Case);
}

void sweepLoad(Table &Results, const Deployment &User) {
  for (const double Load : {0.1, 0.5, 0.8, 1.0, 1.25, 1.5, 2.0})
    runSeeds(Results,
             {.m_Deployment = User, .m_Name = "load sweep", .m_Load = Load});
}

void showOutage(Table &Results, const Deployment &User) {
  for (const bool WithProtection : {true, false}) {
    const QueueOrder Order =
        WithProtection ? QueueOrder::Fair : QueueOrder::Fifo;
    const Setup Case{.m_Deployment = User,
                     .m_Name =
                         WithProtection ? "outage protected" : "outage bare",
                     .m_Queue = {.m_Order = Order},
                     .m_Load = 0.8,
                     .m_WithOutage = true,
                     .m_OverloadProtection = WithProtection};
    const Outcome Measured = run(Case);
    Results.add(Case, Measured);
    std::printf("  answer tokens/s in each 10 s (outage 60 to 70 s):");
    for (const double TokensPerSecond : Measured.m_TokensPerSecondByTime)
      std::printf(" %.0f", TokensPerSecond);
    std::printf("\n");
  }
}

} // namespace
} // namespace psp::schedule::model

int main(int Count, char **Arguments) {
  using namespace psp::schedule::model;
  Table Results(Count > 1 ? Arguments[1] : nullptr);
  for (const Deployment &User : Deployments) {
    compareQueues(Results, User, 1.1);
    compareQueues(Results, User, 2.0);
    compareRouting(Results, User);
    sweepLoad(Results, User);
    showOutage(Results, User);
  }
  return 0;
}
