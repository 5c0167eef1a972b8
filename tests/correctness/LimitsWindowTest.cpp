/// \file
/// Under faults of all kinds no window of true time contains more admissions of
/// an organisation than its burst plus its rate times the window's length, and
/// every request gets exactly one decision.

#include "support/LimitsFleet.h"
#include "support/WindowCheck.h"

#include <gtest/gtest.h>

#include <cmath>

namespace psp::limits {
namespace {

using testing::Allowance;
using testing::LimitsFleet;
using testing::ObservedDecision;
using testing::TrueTime;

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;

/// The tolerated excess in admissions, since clocks are read in whole
/// microseconds.
constexpr double Tolerance = 0.01;

/// A simulation with random faults, which is determined by its seed.
class FaultyRun {
public:
  struct Options {
    std::uint64_t m_Seed = 0;
    double m_MaxClockDrift = 0.001;
    double m_FaultsPerSecond = 1.5;
    bool m_ChangeRates = true;
    /// Uses rates far above the bursts and slow links, so that the check
    /// detects tokens that are used slightly too late or counted slightly too
    /// short.
    bool m_TightLimits = false;
    TrueTime m_Duration = 14 * Second;
  };

  explicit FaultyRun(const Options &Setup)
      : m_Setup(Setup), m_Fleet(fleetOptions(Setup)),
        m_Random(Setup.m_Seed * 7919) {
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    m_Allowed.resize(Rates.size());
    m_Admissions.resize(Rates.size());
    for (std::size_t OrgIndex = 0; OrgIndex < Rates.size(); ++OrgIndex)
      m_Allowed[OrgIndex].push_back(allowance(0, Rates[OrgIndex]));
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance)
      m_Fleet.setRates(Instance, 1, Rates);
  }

  void run() {
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance)
      if (m_Fleet.member(Instance).m_IsEntry)
        sendBatch(Instance);
    m_Fleet.schedule(2 * Second, [this] { injectFault(); });
    if (m_Setup.m_ChangeRates)
      m_Fleet.schedule(6 * Second, [this] { changeRates(); });
    m_Fleet.runUntil(m_Setup.m_Duration);
    for (const ObservedDecision &Decision : m_Fleet.takeDecisions())
      record(Decision);
  }

  /// The maximum excess of each organisation.
  std::vector<double> worstExcesses() const {
    std::vector<double> Excesses;
    for (std::size_t OrgIndex = 0; OrgIndex < m_Allowed.size(); ++OrgIndex)
      Excesses.push_back(
          testing::worstExcess(m_Admissions[OrgIndex], m_Allowed[OrgIndex]));
    return Excesses;
  }

  std::size_t admitted() const {
    std::size_t Sum = 0;
    for (const auto &Admissions : m_Admissions)
      Sum += Admissions.size();
    return Sum;
  }
  std::size_t refused() const { return m_Refused; }

private:
  static testing::FleetOptions fleetOptions(const Options &Setup) {
    LimitOptions Limits;
    Limits.m_ClockDrift = Setup.m_MaxClockDrift;
    Limits.m_Shards = 2;
    return {.m_Seed = Setup.m_Seed,
            .m_Members = testing::makeMembers(3, 2 + Setup.m_Seed % 2, 1),
            .m_Limits = Limits,
            .m_Links = {.m_LocalDelay = Setup.m_TightLimits ? 2000 : 300,
                        .m_RemoteDelay = Setup.m_TightLimits ? 8000 : 1500,
                        .m_Jitter = 6,
                        .m_LossProbability = 0.02,
                        .m_DuplicateProbability = 0.03},
            .m_TickInterval = 7 * Millisecond,
            .m_MaxClockDrift = Setup.m_MaxClockDrift};
  }

  std::vector<OrganisationRate> ratesOf(int Version) const {
    const double Factor = Version == 0 ? 1 : 0.4;
    const auto Rate = [&](const char *Name, double PerSecond, double Burst) {
      return OrganisationRate{.m_Organisation = base::OrganisationId(Name),
                              .m_RatePerSecond = PerSecond * Factor,
                              .m_Burst = std::ceil(Burst * Factor)};
    };
    if (m_Setup.m_TightLimits)
      return {Rate("a-few", 20, 2), Rate("b-some", 150, 4),
              Rate("c-many", 300, 8)};
    return {Rate("a-few", 2, 5), Rate("b-some", 30, 12),
            Rate("c-many", 120, 60)};
  }

  static Allowance allowance(TrueTime From, const OrganisationRate &Rate) {
    return {.m_From = From,
            .m_RatePerSecond = Rate.m_RatePerSecond,
            .m_Burst = Rate.m_Burst};
  }

  TrueTime between(TrueTime Low, TrueTime High) {
    return std::uniform_int_distribution<TrueTime>(Low, High)(m_Random);
  }

  /// Each organisation is idle for as long as its buckets need to fill, and
  /// then sends far more than its rate to all entry instances.
  bool isBusy(std::size_t OrgIndex) const {
    constexpr TrueTime Phases[] = {2800 * Millisecond, 600 * Millisecond,
                                   700 * Millisecond};
    return m_Fleet.now() / Phases[OrgIndex] % 2 == 1;
  }

  /// Sends a batch of requests and schedules the next batch.
  void sendBatch(std::size_t Instance) {
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    const auto OrgIndex = static_cast<std::size_t>(between(0, 2));
    const double MeanBatch = Rates[OrgIndex].m_RatePerSecond * 0.15 + 1;
    const TrueTime Count = between(1, static_cast<TrueTime>(2 * MeanBatch));
    for (TrueTime I = 0; I < Count && isBusy(OrgIndex); ++I)
      m_Fleet.admit(Instance, Rates[OrgIndex].m_Organisation,
                    between(0, 3 * Second));
    for (const ObservedDecision &Decision : m_Fleet.takeDecisions())
      record(Decision);
    m_Fleet.schedule(between(1, 60) * Millisecond,
                     [this, Instance] { sendBatch(Instance); });
  }

  void record(const ObservedDecision &Observed) {
    if (!Observed.m_Decision.m_Admitted) {
      ++m_Refused;
      return;
    }
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    for (std::size_t OrgIndex = 0; OrgIndex < Rates.size(); ++OrgIndex)
      if (Rates[OrgIndex].m_Organisation == Observed.m_Organisation)
        m_Admissions[OrgIndex].push_back(Observed.m_DecidedAt);
  }

  void injectFault() {
    const auto Instance = static_cast<std::size_t>(
        between(0, static_cast<TrueTime>(m_Fleet.size()) - 1));
    switch (between(0, 4)) {
    case 0:
      m_Fleet.crash(Instance);
      m_Fleet.schedule(between(1, 3000) * Millisecond,
                       [this, Instance] { m_Fleet.start(Instance); });
      break;
    case 1:
      m_Fleet.freeze(Instance, between(20, 2500) * Millisecond);
      break;
    case 2:
      m_Fleet.setIsolated(Instance, true);
      m_Fleet.schedule(between(100, 3000) * Millisecond, [this, Instance] {
        m_Fleet.setIsolated(Instance, false);
      });
      break;
    case 3: {
      const base::DataCentreId DataCentre =
          m_Fleet.member(Instance).m_DataCentre;
      m_Fleet.setPartitioned(DataCentre, true);
      m_Fleet.schedule(between(100, 3000) * Millisecond, [this, DataCentre] {
        m_Fleet.setPartitioned(DataCentre, false);
      });
      break;
    }
    default:
      m_Fleet.release(Instance);
      m_Fleet.schedule(between(300, 1000) * Millisecond, [this, Instance] {
        m_Fleet.crash(Instance);
        m_Fleet.start(Instance);
      });
    }
    const auto MeanPause = static_cast<TrueTime>(static_cast<double>(Second) /
                                                 m_Setup.m_FaultsPerSecond);
    m_Fleet.schedule(between(MeanPause / 2, 3 * MeanPause / 2),
                     [this] { injectFault(); });
  }

  /// Lowers the rates, instance by instance, and raises them again later.
  void changeRates() {
    const int Version = m_Version == 0 ? 1 : 0;
    const std::vector<OrganisationRate> Next = ratesOf(Version);
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance)
      m_Fleet.schedule(between(0, 800) * Millisecond, [this, Instance, Next] {
        m_Fleet.setRates(Instance, m_ConfigurationNumber, Next);
      });
    ++m_ConfigurationNumber;
    m_Version = Version;
    // Either rate may apply until the last instance has changed and the tokens
    // granted under the old rate have expired.
    const TrueTime Changed = m_Fleet.now() + 1100 * Millisecond;
    const std::vector<OrganisationRate> Larger = ratesOf(0);
    for (std::size_t OrgIndex = 0; OrgIndex < Next.size(); ++OrgIndex) {
      m_Allowed[OrgIndex].push_back(allowance(m_Fleet.now(), Larger[OrgIndex]));
      m_Allowed[OrgIndex].push_back(allowance(Changed, Next[OrgIndex]));
    }
    m_Fleet.schedule(3 * Second, [this] { changeRates(); });
  }

  Options m_Setup;
  LimitsFleet m_Fleet;
  std::mt19937_64 m_Random;
  int m_Version = 0;
  std::uint64_t m_ConfigurationNumber = 1;
  std::vector<std::vector<Allowance>> m_Allowed;   ///< By organisation.
  std::vector<std::vector<TrueTime>> m_Admissions; ///< By organisation.
  std::size_t m_Refused = 0;
};

class LimitsWindow : public ::testing::TestWithParam<std::uint64_t> {};

void expectWithinAllowance(const FaultyRun &Simulation) {
  std::string Observed = std::to_string(Simulation.admitted());
  for (const double Excess : Simulation.worstExcesses()) {
    EXPECT_LE(Excess, Tolerance);
    Observed += " " + std::to_string(Excess);
  }
  ::testing::Test::RecordProperty("admissions_and_worst_excess", Observed);
}

TEST(LimitsWindowQuiet, AFleetWithoutFaultsUsesTheFullLimit) {
  FaultyRun Simulation({.m_Seed = 1,
                        .m_MaxClockDrift = 0,
                        .m_FaultsPerSecond = 0.001,
                        .m_ChangeRates = false});
  Simulation.run();
  expectWithinAllowance(Simulation);
  for (const double Excess : Simulation.worstExcesses())
    EXPECT_GT(Excess, -2)
        << "the limit is hardly used, so the check would detect little";
}

TEST_P(LimitsWindow, HoldsUnderFaultsAndChangesOfRate) {
  FaultyRun Simulation({.m_Seed = GetParam()});
  Simulation.run();
  expectWithinAllowance(Simulation);
  EXPECT_GT(Simulation.admitted(), 500U);
}

TEST_P(LimitsWindow, HoldsWithTinyBurstsSlowLinksAndBadClocks) {
  FaultyRun Simulation({.m_Seed = GetParam(),
                        .m_MaxClockDrift = 0.03,
                        .m_FaultsPerSecond = 2.5,
                        .m_ChangeRates = false,
                        .m_TightLimits = true,
                        .m_Duration = 10 * Second});
  Simulation.run();
  expectWithinAllowance(Simulation);
  EXPECT_GT(Simulation.admitted(), 300U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitsWindow,
                         ::testing::Range<std::uint64_t>(1, 13));

} // namespace
} // namespace psp::limits
