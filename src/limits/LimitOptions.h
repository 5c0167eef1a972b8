/// \file
/// Options and plain values of the rate limits.

#ifndef PSP_LIMITS_LIMITOPTIONS_H
#define PSP_LIMITS_LIMITOPTIONS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace psp::limits {

/// One process of the fleet.
struct Member {
  base::InstanceId m_Instance;
  base::DataCentreId m_DataCentre;
  bool m_IsEntry = true; ///< Ledgers vote on leases and hold none.

  auto operator<=>(const Member &) const = default;
};

struct LimitOptions {
  base::InstanceId m_Self;
  base::DataCentreId m_DataCentre;
  bool m_IsEntry = true;
  std::vector<Member> m_Members; ///< The whole fleet, this process included.
  std::uint32_t m_Shards = 4;    ///< Limiters in each data centre.

  /// Length of a lease of the limiter role.
  base::Duration m_Lease = base::milliseconds(1500);
  /// Longest time between asking for a token and using it.
  base::Duration m_HoldTime = base::milliseconds(250);
  /// Longest time that a limiter lets a request wait for a token.
  base::Duration m_LoanWait = base::milliseconds(100);
  /// Longest time that a request waits while no limiter answers.
  base::Duration m_MaxWait = base::milliseconds(2500);
  /// A limiter that is silent for this long is passed over.
  base::Duration m_AskTimeout = base::milliseconds(25);
  /// First pause after a lender had nothing to lend; doubles each time.
  base::Duration m_BorrowBackOff = base::milliseconds(10);
  base::Duration m_MaxBorrowBackOff = base::milliseconds(160);
  /// Requests of one organisation that may wait at one limiter.
  std::uint32_t m_MaxWaiting = 512;
  /// Voters in each data centre: an odd number.
  std::uint32_t m_MaxVoters = 5;
  /// Largest relative error of a process's monotonic clock.
  double m_ClockDrift = 0.001;
  /// Tells two runs of one process apart; zero: taken from the start time.
  std::uint64_t m_Incarnation = 0;
};

/// The rate and burst of one organisation over the whole fleet.
struct OrganisationRate {
  base::OrganisationId m_Organisation;
  double m_RatePerSecond = 0;
  double m_Burst = 0;

  auto operator<=>(const OrganisationRate &) const = default;
};

/// The answer to one RateLimits::admit.
struct LimitDecision {
  std::uint64_t m_Ticket = 0;
  bool m_Admitted = false;
  base::Duration m_RetryAfter{0}; ///< When refused.

  auto operator<=>(const LimitDecision &) const = default;
};

/// What happened since the start, for metrics and dumps.
struct LimitCounters {
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Granted = 0;  ///< Tokens granted by limiters here.
  std::uint64_t m_Dropped = 0;  ///< Tokens that came too late to be used.
  std::uint64_t m_Returned = 0; ///< Tokens handed back unused.
  std::uint64_t m_BorrowAsks = 0;
  std::int64_t m_BorrowedMicro = 0; ///< In millionths of a token.
  std::int64_t m_LentMicro = 0;     ///< In millionths of a token.
  std::uint64_t m_LeasesWon = 0;
  std::uint64_t m_LeasesLost = 0;
};

/// How long the holder of a promise made for \p Length may count on it by its
/// own clock, when its clock and the promiser's may both be wrong by \p Drift.
///
/// A fast clock of the promiser ends \p Length after Length / (1 + Drift); a
/// slow clock of the holder then shows that time multiplied by (1 - Drift).
inline base::Duration shortened(base::Duration Length, double Drift) {
  const double Factor = (1 - Drift) / (1 + Drift);
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(Length.count()) * Factor));
}

/// How long a process must wait by its own clock until \p Length has passed
/// by every other clock.
inline base::Duration lengthened(base::Duration Length, double Drift) {
  const double Factor = (1 + Drift) / (1 - Drift);
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(Length.count()) * Factor) +
      1);
}

} // namespace psp::limits

#endif
