/// \file
/// The endpoints that serve one service and the calls that wait for them.

#ifndef PSP_SCHEDULE_ROUTE_H
#define PSP_SCHEDULE_ROUTE_H

#include "schedule/CallQueue.h"
#include "schedule/EndpointTarget.h"
#include "schedule/ThroughputEstimator.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace psp::schedule {

struct Route {
  explicit Route(const QueueOptions &Options)
      : m_Queue(makeCallQueue(Options)) {}

  /// Endpoints to choose from: those of the own data centre, or those of other
  /// data centres when no local one can be used.
  const std::vector<EndpointTarget *> &targets() const {
    return m_UseRemote ? m_RemoteTargets : m_LocalTargets;
  }

  std::vector<EndpointTarget *> m_LocalTargets;
  std::vector<EndpointTarget *> m_RemoteTargets;
  bool m_UseRemote = false;
  /// Since when no endpoint, local or remote, serves it.
  std::optional<base::TimePoint> m_NoEndpointSince;
  std::unique_ptr<CallQueue> m_Queue;
  /// Calls that wait for one particular endpoint.
  std::deque<CallNumber> m_Parked;
  ThroughputEstimator m_Throughput;
  EndpointCosts m_MeanCosts; ///< Over the endpoints whose costs are known.
  std::size_t m_Delayed = 0; ///< Number of calls that wait for their retry.
};

} // namespace psp::schedule

#endif
