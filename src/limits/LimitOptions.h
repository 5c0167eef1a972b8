/// \file
/// Options and plain value types of the rate limits.

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
  bool m_IsEntry = true; ///< Ledgers only vote on leases.

  auto operator<=>(const Member &) const = default;
};

struct LimitOptions {
  base::InstanceId m_Self;
  base::DataCentreId m_DataCentre;
  bool m_IsEntry = true;
  std::vector<Member> m_Members; ///< All of the fleet, this process included.
  std::uint32_t m_Shards = 4;    ///< Number of limiters in each data centre.

  /// Duration of a lease on the limiter role.
  base::Duration m_LeaseDuration = base::milliseconds(1500);
  /// Maximum time between the request for a token and its use.
  base::Duration m_TokenValidity = base::milliseconds(250);
  /// Maximum time that a limiter lets a request wait for a token.
  base::Duration m_MaxLimiterWait = base::milliseconds(100);
  /// Maximum time that a request waits in its entry instance, for example while
  /// no limiter replies.
  base::Duration m_MaxClientWait = base::milliseconds(2500);
  /// A limiter that sends no reply within this time is skipped.
  base::Duration m_RequestTimeout = base::milliseconds(25);
  /// First pause after a lender had nothing to lend. It doubles each time, up
  /// to m_MaxBorrowBackOff.
  base::Duration m_InitialBorrowBackOff = base::milliseconds(10);
  base::Duration m_MaxBorrowBackOff = base::milliseconds(160);
  /// Maximum number of requests of one organisation that wait at one limiter.
  std::uint32_t m_MaxWaitingRequests = 512;
  /// Maximum number of voters in each data centre: an odd number.
  std::uint32_t m_MaxVoters = 5;
  /// Maximum relative error of a process's monotonic clock.
  double m_ClockDrift = 0.001;
  /// Distinguishes two runs of one process. Zero: taken from the start time.
  std::uint64_t m_Incarnation = 0;
};

/// The rate and burst, in tokens, of one organisation over the whole fleet.
struct OrganisationRate {
  base::OrganisationId m_Organisation;
  double m_RatePerSecond = 0;
  double m_Burst = 0;

  auto operator<=>(const OrganisationRate &) const = default;
};

/// The decision on one call of RateLimits::admit.
struct LimitDecision {
  std::uint64_t m_Ticket = 0;
  bool m_Admitted = false;
  base::Duration m_RetryAfter{0}; ///< When refused.

  auto operator<=>(const LimitDecision &) const = default;
};

/// Counts since the start of the process, for metrics and dumps.
struct LimitCounters {
  std::uint64_t m_Admitted = 0;       ///< Requests.
  std::uint64_t m_Refused = 0;        ///< Requests.
  std::uint64_t m_TokensGranted = 0;  ///< By the limiters of this process.
  std::uint64_t m_TokensExpired = 0;  ///< Unused before their validity ended.
  std::uint64_t m_TokensReturned = 0; ///< Returned to the limiter unused.
  std::uint64_t m_LoansRequested = 0;
  std::int64_t m_BorrowedMicroTokens = 0;
  std::int64_t m_LentMicroTokens = 0;
  std::uint64_t m_LeasesAcquired = 0;
  std::uint64_t m_LeasesLost = 0;
};

/// The time by the holder's own clock for which it may rely on a lease or grant
/// of \p Length, when its clock and the grantor's may both have a relative
/// error of \p Drift.
///
/// By a fast clock of the grantor, \p Length ends after Length / (1 + Drift) of
/// true time. A slow clock of the holder shows that time multiplied by
/// (1 - Drift).
inline base::Duration shortenedForDrift(base::Duration Length, double Drift) {
  const double Factor = (1 - Drift) / (1 + Drift);
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(Length.count()) * Factor));
}

/// The time that a process must wait by its own clock until \p Length has
/// passed by every other clock, when each may have a relative error of \p
/// Drift.
inline base::Duration lengthenedForDrift(base::Duration Length, double Drift) {
  const double Factor = (1 + Drift) / (1 - Drift);
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(Length.count()) * Factor) +
      1);
}

} // namespace psp::limits

#endif
