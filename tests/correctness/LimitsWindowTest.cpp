/// \file
/// Under faults of every kind no window of true time ever holds more
/// admissions of an organisation than its burst plus its rate times the
/// window's length, and every request gets exactly one decision.

#include "support/LimitsFleet.h"
#include "support/WindowCheck.h"

#include <gtest/gtest.h>

#include <cmath>

namespace psp::limits {
namespace {

using testing::Allowance;
using testing::LimitsFleet;
using testing::SeenDecision;
using testing::TrueTime;

constexpr TrueTime Millisecond = 1000;
constexpr TrueTime Second = 1000 * Millisecond;

/// Clocks are read in whole microseconds.
constexpr double Tolerance = 0.01;

/// A run with random faults, all drawn from one seed.
class FaultyRun {
public:
  struct Options {
    std::uint64_t m_Seed = 0;
    double m_Drift = 0.001;
    double m_FaultsPerSecond = 1.5;
    bool m_ChangeRates = true;
    /// Rates far above the bursts and slow links, so that tokens used a little
    /// too late or counted a little too short show.
    bool m_Tight = false;
    TrueTime m_Length = 14 * Second;
  };

  explicit FaultyRun(const Options &Setup)
      : m_Setup(Setup), m_Fleet(fleetOptions(Setup)),
        m_Random(Setup.m_Seed * 7919) {
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    m_Allowed.resize(Rates.size());
    m_Admissions.resize(Rates.size());
    for (std::size_t Which = 0; Which < Rates.size(); ++Which)
      m_Allowed[Which].push_back(allowance(0, Rates[Which]));
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node)
      m_Fleet.setRates(Node, 1, Rates);
  }

  void run() {
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node)
      if (m_Fleet.member(Node).m_IsEntry)
        offer(Node);
    m_Fleet.schedule(2 * Second, [this] { fault(); });
    if (m_Setup.m_ChangeRates)
      m_Fleet.schedule(6 * Second, [this] { changeRates(); });
    m_Fleet.runUntil(m_Setup.m_Length);
    for (const SeenDecision &Each : m_Fleet.takeDecisions())
      note(Each);
  }

  /// The worst excess of each organisation.
  std::vector<double> worst() const {
    std::vector<double> Worst;
    for (std::size_t Which = 0; Which < m_Allowed.size(); ++Which)
      Worst.push_back(
          testing::worstExcess(m_Admissions[Which], m_Allowed[Which]));
    return Worst;
  }

  std::size_t admitted() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Admissions)
      Sum += Each.size();
    return Sum;
  }
  std::size_t refused() const { return m_Refused; }

private:
  static testing::FleetOptions fleetOptions(const Options &Setup) {
    LimitOptions Limits;
    Limits.m_ClockDrift = Setup.m_Drift;
    Limits.m_Shards = 2;
    return {.m_Seed = Setup.m_Seed,
            .m_Members = testing::makeMembers(3, 2 + Setup.m_Seed % 2, 1),
            .m_Limits = Limits,
            .m_Links = {.m_LocalDelay = Setup.m_Tight ? 2000 : 300,
                        .m_RemoteDelay = Setup.m_Tight ? 8000 : 1500,
                        .m_Jitter = 6,
                        .m_Loss = 0.02,
                        .m_Doubling = 0.03},
            .m_Tick = 7 * Millisecond,
            .m_Drift = Setup.m_Drift};
  }

  std::vector<OrganisationRate> ratesOf(int Version) const {
    const double Factor = Version == 0 ? 1 : 0.4;
    const auto Rate = [&](const char *Name, double PerSecond, double Burst) {
      return OrganisationRate{.m_Organisation = base::OrganisationId(Name),
                              .m_RatePerSecond = PerSecond * Factor,
                              .m_Burst = std::ceil(Burst * Factor)};
    };
    if (m_Setup.m_Tight)
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

  /// Each organisation is silent for as long as its buckets need to fill, and
  /// then sends far more than its rate from everywhere.
  bool isBusy(std::size_t Which) const {
    constexpr TrueTime Phases[] = {2800 * Millisecond, 600 * Millisecond,
                                   700 * Millisecond};
    return m_Fleet.now() / Phases[Which] % 2 == 1;
  }

  /// Sends a clump of requests, and the next one some time later.
  void offer(std::size_t Node) {
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    const auto Which = static_cast<std::size_t>(between(0, 2));
    const double Clump = Rates[Which].m_RatePerSecond * 0.15 + 1;
    const TrueTime Count = between(1, static_cast<TrueTime>(2 * Clump));
    for (TrueTime I = 0; I < Count && isBusy(Which); ++I)
      m_Fleet.admit(Node, Rates[Which].m_Organisation, between(0, 3 * Second));
    for (const SeenDecision &Each : m_Fleet.takeDecisions())
      note(Each);
    m_Fleet.schedule(between(1, 60) * Millisecond,
                     [this, Node] { offer(Node); });
  }

  void note(const SeenDecision &Seen) {
    if (!Seen.m_Decision.m_Admitted) {
      ++m_Refused;
      return;
    }
    const std::vector<OrganisationRate> Rates = ratesOf(0);
    for (std::size_t Which = 0; Which < Rates.size(); ++Which)
      if (Rates[Which].m_Organisation == Seen.m_Organisation)
        m_Admissions[Which].push_back(Seen.m_At);
  }

  void fault() {
    const auto Node = static_cast<std::size_t>(
        between(0, static_cast<TrueTime>(m_Fleet.size()) - 1));
    switch (between(0, 4)) {
    case 0:
      m_Fleet.crash(Node);
      m_Fleet.schedule(between(1, 3000) * Millisecond,
                       [this, Node] { m_Fleet.start(Node); });
      break;
    case 1:
      m_Fleet.freeze(Node, between(20, 2500) * Millisecond);
      break;
    case 2:
      m_Fleet.setIsolated(Node, true);
      m_Fleet.schedule(between(100, 3000) * Millisecond,
                       [this, Node] { m_Fleet.setIsolated(Node, false); });
      break;
    case 3: {
      const base::DataCentreId Where = m_Fleet.member(Node).m_DataCentre;
      m_Fleet.setCut(Where, true);
      m_Fleet.schedule(between(100, 3000) * Millisecond,
                       [this, Where] { m_Fleet.setCut(Where, false); });
      break;
    }
    default:
      m_Fleet.release(Node);
      m_Fleet.schedule(between(300, 1000) * Millisecond, [this, Node] {
        m_Fleet.crash(Node);
        m_Fleet.start(Node);
      });
    }
    const auto Pause = static_cast<TrueTime>(static_cast<double>(Second) /
                                             m_Setup.m_FaultsPerSecond);
    m_Fleet.schedule(between(Pause / 2, 3 * Pause / 2), [this] { fault(); });
  }

  /// Lowers the rates, instance by instance, and raises them again later.
  void changeRates() {
    const int Version = m_Version == 0 ? 1 : 0;
    const std::vector<OrganisationRate> Next = ratesOf(Version);
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node)
      m_Fleet.schedule(between(0, 800) * Millisecond, [this, Node, Next] {
        m_Fleet.setRates(Node, m_Number, Next);
      });
    ++m_Number;
    m_Version = Version;
    // Either may hold until the last one has changed and what was granted
    // under the old one has run out.
    const TrueTime Changed = m_Fleet.now() + 1100 * Millisecond;
    const std::vector<OrganisationRate> Larger = ratesOf(0);
    for (std::size_t Which = 0; Which < Next.size(); ++Which) {
      m_Allowed[Which].push_back(allowance(m_Fleet.now(), Larger[Which]));
      m_Allowed[Which].push_back(allowance(Changed, Next[Which]));
    }
    m_Fleet.schedule(3 * Second, [this] { changeRates(); });
  }

  Options m_Setup;
  LimitsFleet m_Fleet;
  std::mt19937_64 m_Random;
  int m_Version = 0;
  std::uint64_t m_Number = 1;
  std::vector<std::vector<Allowance>> m_Allowed;   ///< By organisation.
  std::vector<std::vector<TrueTime>> m_Admissions; ///< By organisation.
  std::size_t m_Refused = 0;
};

class LimitsWindow : public ::testing::TestWithParam<std::uint64_t> {};

void expectWithinAllowance(const FaultyRun &Run) {
  std::string Seen = std::to_string(Run.admitted());
  for (const double Excess : Run.worst()) {
    EXPECT_LE(Excess, Tolerance);
    Seen += " " + std::to_string(Excess);
  }
  ::testing::Test::RecordProperty("admissions_and_worst_excess", Seen);
}

TEST(LimitsWindowQuiet, IsUsedUpToTheLastTokenInAQuietFleet) {
  FaultyRun Run({.m_Seed = 1,
                 .m_Drift = 0,
                 .m_FaultsPerSecond = 0.001,
                 .m_ChangeRates = false});
  Run.run();
  expectWithinAllowance(Run);
  for (const double Excess : Run.worst())
    EXPECT_GT(Excess, -2) << "the count from outside would notice little";
}

TEST_P(LimitsWindow, HoldsUnderFaultsAndChangesOfRate) {
  FaultyRun Run({.m_Seed = GetParam()});
  Run.run();
  expectWithinAllowance(Run);
  EXPECT_GT(Run.admitted(), 500U);
}

TEST_P(LimitsWindow, HoldsWithTinyBurstsSlowLinksAndBadClocks) {
  FaultyRun Run({.m_Seed = GetParam(),
                 .m_Drift = 0.03,
                 .m_FaultsPerSecond = 2.5,
                 .m_ChangeRates = false,
                 .m_Tight = true,
                 .m_Length = 10 * Second});
  Run.run();
  expectWithinAllowance(Run);
  EXPECT_GT(Run.admitted(), 300U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitsWindow,
                         ::testing::Range<std::uint64_t>(1, 13));

} // namespace
} // namespace psp::limits
