/// \file
/// The holder's side of the lease on one shard in one process: requests the
/// lease from the voters, counts their grants and tracks when the lease
/// expires.

#ifndef PSP_LIMITS_LEASEHOLDER_H
#define PSP_LIMITS_LEASEHOLDER_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

namespace psp::limits {

enum class LeasePhase {
  Idle,       ///< Does not hold the lease.
  Requesting, ///< Has requested the lease and has no majority yet.
  Holding,    ///< Holds the lease and renews it.
  Draining,   ///< Keeps the lease until its outstanding transfers are settled,
              ///< and makes no new ones.
  Stopped,    ///< Makes no further requests.
};

struct LeaseHolderOptions {
  base::Duration m_LeaseDuration{0};
  double m_ClockDrift = 0;
  std::size_t m_Majority = 1;
};

class LeaseHolder {
public:
  explicit LeaseHolder(LeaseHolderOptions Options);
  ~LeaseHolder();
  LeaseHolder(LeaseHolder &&) noexcept;
  LeaseHolder &operator=(LeaseHolder &&) noexcept;

  /// Starts a round of requests, to acquire or to renew the lease, and returns
  /// its number. The lease counts from \p Now, before the first request is
  /// sent.
  std::uint64_t beginRound(base::TimePoint Now);

  /// Counts a grant. Returns whether the lease was acquired by it.
  bool onGrant(const base::InstanceId &Voter, std::uint64_t RoundNumber,
               base::TimePoint Now);

  /// Ends a round that got no majority.
  void abandonRound();

  /// Ends the lease if it has expired at \p Now. Returns whether it did so.
  bool expire(base::TimePoint Now);

  /// Planned stop: starts no further rounds. A lease that is held begins to
  /// drain.
  void stop();

  /// Ends a draining lease, since all transfers under it are settled.
  void finishDraining();

  LeasePhase phase() const;

  /// Whether the lease is held at \p Now.
  bool holds(base::TimePoint Now) const;

  /// The time at which the lease expires unless it is renewed.
  base::TimePoint expiresAt() const { return m_ExpiresAt; }
  base::TimePoint roundStartedAt() const { return m_RoundStartedAt; }
  std::uint64_t roundNumber() const { return m_RoundNumber; }

private:
  class StateMachine;

  LeaseHolderOptions m_Options;
  std::unique_ptr<StateMachine> m_StateMachine;
  std::uint64_t m_RoundNumber = 0;
  std::set<base::InstanceId> m_GrantingVoters; ///< In the current round.
  base::TimePoint m_RoundStartedAt;
  base::TimePoint m_ExpiresAt;
};

} // namespace psp::limits

#endif
