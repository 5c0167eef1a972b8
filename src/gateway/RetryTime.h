/// \file
/// Delays after which callers should retry while this instance can't serve
/// turns.

#ifndef PSP_GATEWAY_RETRYTIME_H
#define PSP_GATEWAY_RETRYTIME_H

#include "base/Time.h"

#include <cstddef>

namespace psp::gateway {

/// Time until an endpoint has announced itself, or a slot is free.
inline constexpr base::Duration EndpointRetryDelay = base::milliseconds(250);

/// Until endpoints may have loaded other weights.
inline constexpr base::Duration WeightsRetryDelay = base::seconds(1);

/// Until an operator has taken an evacuated data centre back.
inline constexpr base::Duration EvacuatedRetryDelay = base::seconds(1);

/// For a held request that another call is trying.
inline constexpr base::Duration MinHoldRetryDelay = base::seconds(1);

/// State of the history nodes as seen by an instance that has no history
/// leader.
struct HistoryStatus {
  base::Duration m_Uptime{0};       ///< Since this instance started.
  std::size_t m_HistoryNodes = 0;   ///< All that are known.
  std::size_t m_ReachableNodes = 0; ///< Of those, with an open connection.
};

/// Retry delay for callers while no history leader is known. Load patterns:
/// everything restarts after a power cut, and callers that retry too early use
/// up their few attempts before any instance can serve them; one data centre is
/// cut off, and the balancer moves its callers elsewhere; a leader fails, and
/// an election takes a fraction of a second.
base::Duration retryDelayWithoutLeader(const HistoryStatus &Status);

/// How much longer a deployment that starts completely may take until it serves
/// calls, given the \p Uptime of this instance; zero after that time. Load
/// pattern: power returns for all processes, and rejected callers would use up
/// their few attempts in the fraction of a second before a leader is elected,
/// so their calls wait for it at this instance instead.
base::Duration remainingStartupTime(base::Duration Uptime);

} // namespace psp::gateway

#endif
