#include "schedule/SchedulerStatus.h"

#include "base/Error.h"
#include "schedule/Scheduler.h"

#include <algorithm>

namespace psp::schedule {

std::string_view decisionReasonName(DecisionReason Reason) {
  switch (Reason) {
  case DecisionReason::Cheapest:
    return "cheapest";
  case DecisionReason::HoldsPrefix:
    return "holds prefix";
  case DecisionReason::WaitsForPrefix:
    return "waits for prefix";
  }
  throw base::InternalError("expected a decision reason, found a number");
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
         .m_SecondsPerToken = Target.costs().m_PerToken,
         .m_PrefixHitShare = Target.prefixHitShare()});
  }
  std::sort(Result.m_Endpoints.begin(), Result.m_Endpoints.end(),
            [](const EndpointStatus &Left, const EndpointStatus &Right) {
              return Left.m_Endpoint < Right.m_Endpoint;
            });
  for (const auto &[Service, Each] : m_Routes) {
    Result.m_Routes.push_back({.m_Service = Service,
                               .m_Waiting = Each.m_Queue->size(),
                               .m_Parked = Each.m_Parked.size(),
                               .m_Delayed = Each.m_Delayed,
                               .m_Endpoints = Each.targets().size(),
                               .m_WorkPerSecond = Each.m_Drain.perSecond()});
  }
  return Result;
}

void Scheduler::verify() const {
  std::size_t Waiting = 0;
  std::size_t InFlight = 0;
  std::size_t Failed = 0;
  std::unordered_map<base::EndpointId, std::size_t> AtEndpoint;
  for (const auto &[Number, Each] : m_Calls) {
    switch (Each.m_Phase) {
    case Phase::Queued:
    case Phase::Parked:
    case Phase::Delayed:
      ++Waiting;
      break;
    case Phase::InFlight:
      ++InFlight;
      ++AtEndpoint[Each.m_Endpoint];
      break;
    case Phase::Failed:
      ++Failed;
      break;
    }
  }
  base::checkInvariant(Waiting == m_Queued, "waiting calls were miscounted");
  base::checkInvariant(Waiting == m_Deadlines.size(),
                       "a waiting call has no deadline entry");
  base::checkInvariant(InFlight == m_InFlight, "sent calls were miscounted");
  base::checkInvariant(Failed == m_Failed.size(),
                       "failed calls were miscounted");
  std::size_t InRoutes = 0;
  for (const auto &[Service, Each] : m_Routes)
    InRoutes += Each.m_Queue->size() + Each.m_Parked.size() + Each.m_Delayed;
  base::checkInvariant(InRoutes == m_Queued,
                       "a waiting call stands nowhere, or twice");
  for (const auto &[Id, Target] : m_Targets)
    base::checkInvariant(Target.window().outstanding() == AtEndpoint[Id],
                         "an endpoint's slots were miscounted");
}

} // namespace psp::schedule
