/// \file
/// The way to one service: the endpoints that offer it and the calls that
/// wait for them.

#ifndef PSP_SCHEDULE_ROUTE_H
#define PSP_SCHEDULE_ROUTE_H

#include "schedule/CallQueue.h"
#include "schedule/DrainMeter.h"
#include "schedule/EndpointTarget.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace psp::schedule {

struct Route {
  explicit Route(const QueueOptions &Options)
      : m_Queue(makeCallQueue(Options)) {}

  /// Endpoints to choose from: those here, or else those elsewhere.
  const std::vector<EndpointTarget *> &targets() const {
    return m_UseElsewhere ? m_Elsewhere : m_Here;
  }

  std::vector<EndpointTarget *> m_Here;
  std::vector<EndpointTarget *> m_Elsewhere;
  bool m_UseElsewhere = false;
  std::optional<base::TimePoint> m_EmptySince; ///< No endpoint anywhere.
  std::unique_ptr<CallQueue> m_Queue;
  std::deque<CallNumber> m_Parked; ///< Waiting for one certain endpoint.
  DrainMeter m_Drain;
  EndpointCosts m_MeanCosts; ///< Of the endpoints with known costs.
  std::size_t m_Delayed = 0; ///< Calls that wait for their retry.
};

} // namespace psp::schedule

#endif
