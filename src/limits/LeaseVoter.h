/// \file
/// A voter on the leases of the limiter roles in one data centre.
///
/// As in PaxosLease, the leases need no disk: a voter grants a shard to one
/// holder at a time, and after its start it grants nothing until every grant
/// that a previous run may have made has expired. Any two majorities of the
/// voters have a voter in common, so a shard has at most one holder.

#ifndef PSP_LIMITS_LEASEVOTER_H
#define PSP_LIMITS_LEASEVOTER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/limits.pb.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace psp::limits {

/// The holder of a lease, as granted by a voter or reported by a peer, and when
/// the lease expires.
struct LeaseRecord {
  base::InstanceId m_Holder;
  base::TimePoint m_ExpiresAt;

  auto operator<=>(const LeaseRecord &) const = default;
};

class LeaseVoter {
public:
  /// \p ClockDrift is the maximum relative error of any clock.
  LeaseVoter(std::uint32_t Shards, base::Duration LeaseDuration,
             double ClockDrift, base::TimePoint Start);

  /// Grants the lease to \p From, or renews it, unless the grant of another
  /// holder is in force. Such a refusal names that holder and the time left. A
  /// process that has restarted is another holder. Refuses all requests at
  /// first (see above), and those for an unknown shard.
  messages::LeaseReply onRequest(const base::InstanceId &From,
                                 const messages::LeaseAsk &Request,
                                 base::TimePoint Now);

  /// Ends the grant to \p From, unless it has been renewed since.
  void onRelease(const base::InstanceId &From,
                 const messages::LeaseRelease &Release);

  /// The holder of \p Shard's lease by this voter's grant, if it has not
  /// expired.
  std::optional<LeaseRecord> holder(std::uint32_t Shard,
                                    base::TimePoint Now) const;

private:
  struct Grant {
    base::InstanceId m_Holder;
    std::uint64_t m_Incarnation = 0;
    std::uint64_t m_RoundNumber = 0;
    base::TimePoint m_ExpiresAt;
  };

  base::Duration m_LeaseDuration;
  base::TimePoint m_NoGrantsBefore;
  std::vector<Grant> m_Grants; ///< By shard.
};

} // namespace psp::limits

#endif
