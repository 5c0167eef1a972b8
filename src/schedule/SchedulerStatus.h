/// \file
/// The state of the scheduler that is shown to operators.

#ifndef PSP_SCHEDULE_SCHEDULERSTATUS_H
#define PSP_SCHEDULE_SCHEDULERSTATUS_H

#include "schedule/Calls.h"
#include "schedule/EndpointHealth.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace psp::schedule {

/// Why a call was assigned to its endpoint.
enum class DecisionReason {
  Cheapest,     ///< Its answer is expected to be complete there first.
  PrefixCached, ///< As Cheapest, and the endpoint has the prefix cached.
  WaitForPrefix ///< It waits for the endpoint that has the prefix cached.
};

std::string_view decisionReasonName(DecisionReason Reason);

/// One decision. The latest ones are retained.
struct Decision {
  CallNumber m_Call = 0;
  base::ProgramId m_Program;
  base::EndpointId m_Endpoint;
  DecisionReason m_Reason = DecisionReason::Cheapest;
  base::Duration m_Waited{};
  std::uint32_t m_Attempt = 0;
};

struct EndpointStatus {
  base::EndpointId m_Endpoint;
  base::DataCentreId m_DataCentre;
  HealthState m_Health = HealthState::Healthy;
  bool m_Usable = false;
  std::uint32_t m_Outstanding = 0;
  std::uint32_t m_Window = 0;
  double m_Load = 0.0;
  double m_SecondsPerToken = 0.0;
  double m_PrefixHitShare = 1.0;
};

struct RouteStatus {
  std::string m_Service;
  std::size_t m_Waiting = 0; ///< Calls in the queue.
  /// Calls that wait for the endpoint that has their prefix cached.
  std::size_t m_Parked = 0;
  std::size_t m_Delayed = 0; ///< Calls that wait for their retry.
  std::size_t m_Endpoints = 0;
  Work m_WorkPerSecond = 0.0; ///< Throughput while calls wait; zero if unknown.
};

struct SchedulerStatus {
  std::vector<EndpointStatus> m_Endpoints;
  std::vector<RouteStatus> m_Routes;
  std::vector<Decision> m_Decisions; ///< Oldest first.
  std::size_t m_Queued = 0;
  std::size_t m_InFlight = 0;
  std::size_t m_Programs = 0;
  std::uint64_t m_RetriesTaken = 0;
  std::uint64_t m_RetriesDenied = 0;
};

} // namespace psp::schedule

#endif
