#include "gateway/RetryTime.h"

#include <algorithm>

namespace psp::gateway {

namespace {

/// A deployment that starts completely serves calls this long after its entry
/// instances are up: history nodes read their journals and elect a leader.
constexpr base::Duration FullStartupTime = base::milliseconds(1300);
/// Time until the balancer routes callers to another instance: two of its
/// probes. A caller waits at most a third of its deadline, which is about as
/// long.
constexpr base::Duration RerouteRetryDelay = base::milliseconds(1000);
/// Time of an election after half of the instances have detected the failure of
/// the leader.
constexpr base::Duration ElectionRetryDelay = base::milliseconds(400);

} // namespace

base::Duration remainingStartupTime(base::Duration Uptime) {
  return std::max(base::Duration(0), FullStartupTime - Uptime);
}

base::Duration retryDelayWithoutLeader(const HistoryStatus &Status) {
  if (const auto Remaining = remainingStartupTime(Status.m_Uptime);
      Remaining > base::Duration(0))
    return std::max(ElectionRetryDelay, Remaining);
  const bool CutOff = 2 * Status.m_ReachableNodes <= Status.m_HistoryNodes;
  return CutOff ? RerouteRetryDelay : ElectionRetryDelay;
}

} // namespace psp::gateway
