#include "schedule/SchedulerStatus.h"

#include "base/Error.h"
#include "schedule/Scheduler.h"

#include <algorithm>

namespace psp::schedule {

std::string_view decisionReasonName(DecisionReason Reason) {
  switch (Reason) {
  case DecisionReason::Cheapest:
    return "cheapest";
  case DecisionReason::PrefixCached:
    return "prefix cached";
  case DecisionReason::WaitForPrefix:
    return "wait for prefix";
  }
  throw base::InternalError(
      "expected a decision reason, found an unknown value");
}

SchedulerStatus Scheduler::status() const {
  SchedulerStatus Result{
      .m_Endpoints = {},
      .m_Routes = {},
      .m_Decisions = {m_Decisions.begin(), m_Decisions.end()},
      .m_Queued = m_Queued,
      .m_InFlight = m_InFlight,
      .m_Programs = m_Programs.size(),
      .m_RetriesTaken = m_RetryBudget.taken(),
      .m_RetriesDenied = m_RetryBudget.denied()};
  for (const auto &[Id, Target] : m_Targets) {
    const Endpoint &Announced = Target.endpoint();
    Result.m_Endpoints.push_back(
        {.m_Endpoint = Id,
         .m_DataCentre = Announced.m_DataCentre,
         .m_Health = Target.health().state(),
         .m_Usable = !Announced.m_Leaving,
         .m_Outstanding = Target.window().outstanding(),
         .m_Window = Target.window().allowed(),
         .m_Load = Target.load(),
         .m_SecondsPerToken = Target.costs().m_SecondsPerToken,
         .m_PrefixHitShare = Target.prefixHitShare()});
  }
  std::sort(Result.m_Endpoints.begin(), Result.m_Endpoints.end(),
            [](const EndpointStatus &Left, const EndpointStatus &Right) {
              return Left.m_Endpoint < Right.m_Endpoint;
            });
  for (const auto &[Service, ServiceRoute] : m_Routes) {
    Result.m_Routes.push_back(
        {.m_Service = Service,
         .m_Waiting = ServiceRoute.m_Queue->size(),
         .m_Parked = ServiceRoute.m_Parked.size(),
         .m_Delayed = ServiceRoute.m_Delayed,
         .m_Endpoints = ServiceRoute.targets().size(),
         .m_WorkPerSecond = ServiceRoute.m_Throughput.workPerSecond()});
  }
  return Result;
}

void Scheduler::verify() const {
  std::size_t Waiting = 0;
  std::size_t InFlight = 0;
  std::size_t Failed = 0;
  std::unordered_map<base::EndpointId, std::size_t> InFlightAtEndpoint;
  for (const auto &[Number, Current] : m_Calls) {
    switch (Current.m_Phase) {
    case Phase::Queued:
    case Phase::Parked:
    case Phase::Delayed:
      ++Waiting;
      break;
    case Phase::InFlight:
      ++InFlight;
      ++InFlightAtEndpoint[Current.m_Endpoint];
      break;
    case Phase::Failed:
      ++Failed;
      break;
    }
  }
  base::checkInvariant(Waiting == m_Queued,
                       "the number of waiting calls is wrong");
  base::checkInvariant(Waiting == m_Deadlines.size(),
                       "a waiting call has no deadline entry");
  base::checkInvariant(InFlight == m_InFlight,
                       "the number of calls in flight is wrong");
  base::checkInvariant(Failed == m_Failed.size(),
                       "the number of failed calls is wrong");
  std::size_t WaitingInRoutes = 0;
  for (const auto &[Service, ServiceRoute] : m_Routes)
    WaitingInRoutes += ServiceRoute.m_Queue->size() +
                       ServiceRoute.m_Parked.size() + ServiceRoute.m_Delayed;
  base::checkInvariant(WaitingInRoutes == m_Queued,
                       "a waiting call is in no route or in several");
  for (const auto &[Id, Target] : m_Targets)
    base::checkInvariant(
        Target.window().outstanding() == InFlightAtEndpoint[Id],
        "the number of calls outstanding at an endpoint is wrong");
}

} // namespace psp::schedule
