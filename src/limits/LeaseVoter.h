/// \file
/// A voter on the leases of the limiter roles in one data centre.
///
/// The leases need no disk (in the manner of PaxosLease): a voter grants a
/// shard to one holder at a time, and one that has just started grants nothing
/// until every promise that it may have forgotten has run out. Two majorities
/// of the voters share one, so a shard has at most one holder.

#ifndef PSP_LIMITS_LEASEVOTER_H
#define PSP_LIMITS_LEASEVOTER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/limits.pb.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace psp::limits {

/// Who holds a lease, as far as someone else knows, and until when.
struct KnownHolder {
  base::InstanceId m_Instance;
  base::TimePoint m_Until;

  auto operator<=>(const KnownHolder &) const = default;
};

class LeaseVoter {
public:
  /// \p ClockDrift is the largest relative error of any clock.
  LeaseVoter(std::uint32_t Shards, base::Duration Lease, double ClockDrift,
             base::TimePoint Start);

  /// Answers \p Ask of \p From.
  messages::LeaseReply onAsk(const base::InstanceId &From,
                             const messages::LeaseAsk &Ask,
                             base::TimePoint Now);

  /// \p From gives up what it was granted.
  void onRelease(const base::InstanceId &From,
                 const messages::LeaseRelease &Release);

  /// The holder of \p Shard's lease by this voter's promise.
  std::optional<KnownHolder> holder(std::uint32_t Shard,
                                    base::TimePoint Now) const;

private:
  struct Promise {
    base::InstanceId m_Holder;
    std::uint64_t m_Incarnation = 0;
    std::uint64_t m_Number = 0;
    base::TimePoint m_Until;
  };

  base::Duration m_Lease;
  base::TimePoint m_SilentUntil;
  std::vector<Promise> m_Promises; ///< By shard.
};

} // namespace psp::limits

#endif
