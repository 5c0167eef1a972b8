/// \file
/// One process's side of the lease of one shard: it asks the voters, counts
/// the grants and knows until when it holds the lease.

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
  Idle,     ///< Does not hold the lease.
  Asking,   ///< Has asked and has no majority yet.
  Holding,  ///< Holds it and renews it.
  Draining, ///< Holds it for what it granted before, and grants no more.
  Stopped,  ///< Will not ask again.
};

struct LeaseHolderOptions {
  base::Duration m_Lease{0};
  double m_ClockDrift = 0;
  std::size_t m_Majority = 1;
};

class LeaseHolder {
public:
  explicit LeaseHolder(LeaseHolderOptions Options);
  ~LeaseHolder();
  LeaseHolder(LeaseHolder &&) noexcept;
  LeaseHolder &operator=(LeaseHolder &&) noexcept;

  /// Starts to ask or to renew and returns the number of this round. The lease
  /// counts from \p Now, before the first ask leaves.
  std::uint64_t beginRound(base::TimePoint Now);

  /// Counts a grant. Returns whether this won the lease.
  bool onGrant(const base::InstanceId &Voter, std::uint64_t Number,
               base::TimePoint Now);

  /// Gives up a round that found no majority.
  void abandonRound();

  /// Notices that the lease has run out. Returns whether it just has.
  bool expire(base::TimePoint Now);

  /// Planned stop: no further rounds; a lease held now begins to drain.
  void stop();

  /// What was granted under the lease is settled.
  void finishDraining();

  LeasePhase phase() const;

  /// Whether the lease is held at \p Now.
  bool holds(base::TimePoint Now) const;

  /// The moment from which the lease is not held unless it is renewed.
  base::TimePoint end() const { return m_End; }
  base::TimePoint askedAt() const { return m_AskedAt; }
  std::uint64_t number() const { return m_Number; }

private:
  class Machine;

  LeaseHolderOptions m_Options;
  std::unique_ptr<Machine> m_Machine;
  std::uint64_t m_Number = 0;
  std::set<base::InstanceId> m_Grants; ///< Of the current round.
  base::TimePoint m_AskedAt;
  base::TimePoint m_End;
};

} // namespace psp::limits

#endif
