#include "schedule/Scheduler.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>

namespace psp::schedule {
namespace {

constexpr std::size_t MaxRetainedDecisions = 256;

/// Costs assumed before the first answer.
constexpr double AssumedSecondsPerToken = 0.01;
constexpr double AssumedSecondsPerPromptToken = 0.00005;

/// Costs measured longer ago than this no longer count.
constexpr double CostRetentionSeconds = 30.0;

/// How often the mean costs of a route are recalculated.
constexpr base::Duration MeanCostsInterval = base::milliseconds(100);

/// Delay of a call when only the endpoint that failed it can accept it.
constexpr base::Duration OtherEndpointDelay = base::milliseconds(50);

base::Duration fromSeconds(double Seconds) {
  return base::Duration(static_cast<base::Duration::rep>(Seconds * 1e6));
}

bool isEjected(const EndpointTarget *Target) {
  return Target->health().state() == HealthState::Ejected;
}

bool anyCanAccept(const Route &ServiceRoute, CallClass Class,
                  base::TimePoint Time) {
  const auto &Targets = ServiceRoute.targets();
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto *Target) {
    return Target->canAccept(Class, Time);
  });
}

/// \p Own decays towards \p Mean with age, so that an endpoint that was slow
/// once is tried again.
double decayedCost(double Own, double Mean, double AgeSeconds) {
  if (Own == 0.0)
    return Mean;
  const double Weight = std::max(0.0, 1.0 - AgeSeconds / CostRetentionSeconds);
  return Mean + Weight * (Own - Mean);
}

EndpointCosts meanCosts(const std::vector<EndpointTarget *> &Targets) {
  EndpointCosts Sum;
  double KnownTokenCosts = 0.0;
  double KnownPromptCosts = 0.0;
  for (const EndpointTarget *Target : Targets) {
    const EndpointCosts &Costs = Target->costs();
    Sum.m_SecondsPerToken += Costs.m_SecondsPerToken;
    Sum.m_SecondsPerPromptToken += Costs.m_SecondsPerPromptToken;
    KnownTokenCosts += Costs.m_SecondsPerToken > 0.0 ? 1.0 : 0.0;
    KnownPromptCosts += Costs.m_SecondsPerPromptToken > 0.0 ? 1.0 : 0.0;
  }
  Sum.m_SecondsPerToken = KnownTokenCosts > 0.0
                              ? Sum.m_SecondsPerToken / KnownTokenCosts
                              : AssumedSecondsPerToken;
  Sum.m_SecondsPerPromptToken =
      KnownPromptCosts > 0.0 ? Sum.m_SecondsPerPromptToken / KnownPromptCosts
                             : AssumedSecondsPerPromptToken;
  return Sum;
}

void refreshMeanCosts(Route &ServiceRoute, base::TimePoint Time) {
  if (Time < ServiceRoute.m_MeanCosts.m_UpdatedAt + MeanCostsInterval)
    return;
  ServiceRoute.m_MeanCosts = meanCosts(ServiceRoute.targets());
  ServiceRoute.m_MeanCosts.m_UpdatedAt = Time;
}

} // namespace

std::vector<Dispatch> Scheduler::takeDispatches(base::TimePoint Time) {
  advance(Time);
  for (auto &[Service, ServiceRoute] : m_Routes) {
    if (ServiceRoute.m_Queue->size() == 0 && ServiceRoute.m_Parked.empty())
      continue;
    for (EndpointTarget *Target : ServiceRoute.m_LocalTargets)
      Target->advance(Time);
    for (EndpointTarget *Target : ServiceRoute.m_RemoteTargets)
      Target->advance(Time);
    ServiceRoute.m_UseRemote =
        std::all_of(ServiceRoute.m_LocalTargets.begin(),
                    ServiceRoute.m_LocalTargets.end(), isEjected);
    refreshMeanCosts(ServiceRoute, Time);
    serveParked(ServiceRoute, Time);
    serveQueue(ServiceRoute, Time);
    refuseWithoutEndpoint(ServiceRoute, Time);
  }
  return std::exchange(m_Dispatches, {});
}

std::optional<base::TimePoint> Scheduler::nextEvent() const {
  std::optional<base::TimePoint> Next;
  const auto Consider = [&Next](base::TimePoint Candidate) {
    if (!Next || Candidate < *Next)
      Next = Candidate;
  };
  if (!m_Deadlines.empty())
    Consider(m_Deadlines.begin()->first);
  if (!m_Delayed.empty())
    Consider(m_Delayed.begin()->first);
  for (const auto &[Service, ServiceRoute] : m_Routes) {
    for (const CallNumber Parked : ServiceRoute.m_Parked) {
      const Call &Waiting = m_Calls.at(Parked);
      if (!Waiting.m_MayUseAnyEndpoint)
        Consider(Waiting.m_WaitUntil);
    }
    if (ServiceRoute.m_Queue->size() == 0)
      continue;
    if (ServiceRoute.m_NoEndpointSince)
      Consider(*ServiceRoute.m_NoEndpointSince + m_Options.m_NoEndpointGrace);
    for (const EndpointTarget *Target : ServiceRoute.m_LocalTargets) {
      if (isEjected(Target))
        Consider(Target->health().probeTime());
    }
  }
  return Next;
}

void Scheduler::advance(base::TimePoint Time) {
  if (!m_Registry.expireLeases(Time).empty())
    m_RoutesStale = true;
  if (m_RoutesStale)
    rebuildRoutes(Time);
  expireDeadlines(Time);
  requeueDelayed(Time);
}

void Scheduler::rebuildRoutes(base::TimePoint Time) {
  m_RoutesStale = false;
  for (auto &[Service, ServiceRoute] : m_Routes) {
    ServiceRoute.m_LocalTargets.clear();
    ServiceRoute.m_RemoteTargets.clear();
    ServiceRoute.m_MeanCosts = {};
  }
  // An endpoint that has left is kept while calls are in flight at it or parked
  // for it.
  std::erase_if(m_Targets, [Time](const auto &Item) {
    const EndpointTarget &Target = Item.second;
    return Target.window().outstanding() == 0 && Target.parked() == 0 &&
           !Target.endpoint().usable(Time);
  });
  for (const Endpoint &Available : m_Registry.usableEndpoints(Time)) {
    const bool IsLocal = Available.m_DataCentre == m_Options.m_DataCentre;
    const bool IsReachable =
        std::find(m_ReachableDataCentres.begin(), m_ReachableDataCentres.end(),
                  Available.m_DataCentre) != m_ReachableDataCentres.end();
    if (!IsLocal && !IsReachable)
      continue;
    EndpointTarget *Target = &m_Targets.at(Available.m_Id);
    for (const std::string &Service : Available.m_Services) {
      const auto Position = m_Routes.find(Service);
      if (Position == m_Routes.end())
        continue;
      Route &ServiceRoute = Position->second;
      (IsLocal ? ServiceRoute.m_LocalTargets : ServiceRoute.m_RemoteTargets)
          .push_back(Target);
    }
  }
}

void Scheduler::expireDeadlines(base::TimePoint Time) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Time) {
    const CallNumber Number = m_Deadlines.begin()->second;
    Route &ServiceRoute = routeOf(m_Calls.at(Number).m_Request.m_Service);
    refuse(Number, base::ErrorKind::DeadlineExceeded, retryAfter(ServiceRoute));
  }
}

void Scheduler::requeueDelayed(base::TimePoint Time) {
  while (!m_Delayed.empty() && m_Delayed.begin()->first <= Time) {
    Call &Next = m_Calls.at(m_Delayed.begin()->second);
    m_Delayed.erase(m_Delayed.begin());
    --routeOf(Next.m_Request.m_Service).m_Delayed;
    pushToQueue(Next, Time);
  }
}

void Scheduler::refuseWithoutEndpoint(Route &ServiceRoute,
                                      base::TimePoint Time) {
  if (!ServiceRoute.m_LocalTargets.empty() ||
      !ServiceRoute.m_RemoteTargets.empty()) {
    ServiceRoute.m_NoEndpointSince.reset();
    return;
  }
  if (!ServiceRoute.m_NoEndpointSince)
    ServiceRoute.m_NoEndpointSince = Time;
  if (Time < *ServiceRoute.m_NoEndpointSince + m_Options.m_NoEndpointGrace)
    return;
  std::vector<CallNumber> Waiting(ServiceRoute.m_Parked.begin(),
                                  ServiceRoute.m_Parked.end());
  for (const QueuedCall &Queued : ServiceRoute.m_Queue->waiting())
    Waiting.push_back(Queued.m_Call);
  for (const CallNumber Number : Waiting)
    refuse(Number, base::ErrorKind::NoEndpoint, m_Options.m_NoEndpointGrace);
}

void Scheduler::serveParked(Route &ServiceRoute, base::TimePoint Time) {
  const std::deque<CallNumber> Waiting = ServiceRoute.m_Parked;
  for (const CallNumber Number : Waiting) {
    Call &Next = m_Calls.at(Number);
    EndpointTarget &Wanted = m_Targets.at(Next.m_Endpoint);
    Next.m_MayUseAnyEndpoint = Next.m_MayUseAnyEndpoint ||
                               Time >= Next.m_WaitUntil || isEjected(&Wanted) ||
                               !Wanted.endpoint().usable(Time);
    if (!Next.m_MayUseAnyEndpoint &&
        !Wanted.canAccept(Next.m_Request.m_Class, Time))
      continue;
    if (!anyCanAccept(ServiceRoute, Next.m_Request.m_Class, Time))
      continue;
    std::erase(ServiceRoute.m_Parked, Number);
    Wanted.unpark();
    assign(ServiceRoute, Next, false, Time);
  }
}

void Scheduler::serveQueue(Route &ServiceRoute, base::TimePoint Time) {
  while (ServiceRoute.m_Queue->size() > 0) {
    const CallClass Class = ServiceRoute.m_Queue->nextIsAlarm()
                                ? CallClass::Alarm
                                : CallClass::Normal;
    if (!anyCanAccept(ServiceRoute, Class, Time))
      return;
    const auto Popped = ServiceRoute.m_Queue->pop();
    Call &Next = m_Calls.at(Popped->m_Call);
    const bool MayWait = Next.m_Request.m_Class != CallClass::Alarm;
    assign(ServiceRoute, Next, MayWait, Time);
  }
}

void Scheduler::assign(Route &ServiceRoute, Call &Next, bool MayWait,
                       base::TimePoint Time) {
  const Choice Chosen = choose(ServiceRoute, Next, MayWait, Time);
  if (Chosen.m_Target == nullptr) {
    // Only the endpoint that failed this call can accept a call.
    ServiceRoute.m_Queue->correct(Next.m_Request.m_Organisation,
                                  -Next.m_EstimatedWork);
    delay(Next, OtherEndpointDelay, Time);
  } else if (Chosen.m_CanAccept) {
    dispatch(Next, Chosen, Time);
  } else {
    park(ServiceRoute, Next, Chosen, Time);
  }
}

const EndpointTarget *
Scheduler::findTarget(const base::EndpointId &Endpoint) const {
  const auto Position = m_Targets.find(Endpoint);
  return Position == m_Targets.end() ? nullptr : &Position->second;
}

Scheduler::Choice Scheduler::choose(const Route &ServiceRoute, const Call &Next,
                                    bool MayWait, base::TimePoint Time) {
  const CachedPrefix *Cached =
      m_Programs.cachedPrefix(Next.m_Request.m_Program);
  const EndpointTarget *PrefixEndpoint =
      Cached == nullptr ? nullptr : findTarget(Cached->m_Endpoint);
  const EndpointTarget *FailedTarget =
      Next.m_FailedAt.empty() || ServiceRoute.targets().size() == 1
          ? nullptr
          : findTarget(Next.m_FailedAt);
  bool AnyAccepts = false;
  m_Candidates.clear();
  for (const EndpointTarget *Target : ServiceRoute.targets()) {
    const EndpointCosts &Costs = Target->costs();
    const double AgeSeconds =
        std::chrono::duration<double>(Time - Costs.m_UpdatedAt).count();
    RoutingCandidate Candidate{
        .m_CanAccept = Target->canAccept(Next.m_Request.m_Class, Time),
        .m_Load = Target->load(),
        .m_Slots = Target->slots(),
        .m_SecondsPerToken =
            decayedCost(Costs.m_SecondsPerToken,
                        ServiceRoute.m_MeanCosts.m_SecondsPerToken, AgeSeconds),
        .m_SecondsPerPromptToken = decayedCost(
            Costs.m_SecondsPerPromptToken,
            ServiceRoute.m_MeanCosts.m_SecondsPerPromptToken, AgeSeconds)};
    if (Target == FailedTarget)
      Candidate.m_CanAccept = false;
    else if (Target == PrefixEndpoint &&
             (Candidate.m_CanAccept || (MayWait && !isEjected(Target))))
      Candidate.m_CachedTokens = Cached->m_Tokens * Target->prefixHitShare();
    const double Window = Target->window().allowed();
    Candidate.m_SecondsToFreeSlot =
        Costs.m_SecondsPerCall / Window * (1.0 + Target->parked());
    AnyAccepts = AnyAccepts || Candidate.m_CanAccept;
    m_Candidates.push_back(Candidate);
  }
  if (!AnyAccepts)
    return {};
  const std::size_t Position = m_Policy->choose(
      {.m_PromptTokens = static_cast<double>(Next.m_Request.m_PromptTokens),
       .m_AnswerTokens = static_cast<double>(Next.m_Request.m_MaxTokens)},
      m_Candidates);
  const RoutingCandidate &Chosen = m_Candidates.at(Position);
  const bool PrefixCached = Chosen.m_CachedTokens > 0.0;
  return {.m_Target = ServiceRoute.targets()[Position],
          .m_CanAccept = Chosen.m_CanAccept,
          .m_CachedTokens = Chosen.m_CachedTokens,
          .m_Reason = !Chosen.m_CanAccept ? DecisionReason::WaitForPrefix
                      : PrefixCached      ? DecisionReason::PrefixCached
                                          : DecisionReason::Cheapest};
}

void Scheduler::dispatch(Call &Next, const Choice &Chosen,
                         base::TimePoint Time) {
  EndpointTarget &Target = *Chosen.m_Target;
  const Endpoint &Announced = Target.endpoint();
  base::checkInvariant(Announced.usable(Time),
                       "a call is sent to an endpoint that has left");
  base::checkInvariant(Target.canAccept(Next.m_Request.m_Class, Time),
                       "a call is sent to an endpoint that can't accept it");
  recordDecision(Next, Chosen, Time);
  m_Deadlines.erase({Next.m_Request.m_Deadline, Next.m_Request.m_Call});
  --m_Queued;
  ++m_InFlight;
  ++Next.m_Attempts;
  Next.m_Phase = Phase::InFlight;
  Next.m_SentAt = Time;
  Next.m_Endpoint = Announced.m_Id;
  Next.m_LoadWhenSent = Target.load();
  Next.m_ExpectedCachedTokens =
      std::min(Chosen.m_CachedTokens,
               static_cast<double>(Next.m_Request.m_PromptTokens));
  Target.noteSent();
  m_Programs.noteCallSent(Next.m_Request.m_Program, Announced.m_Id);
  m_Dispatches.push_back({.m_Call = Next.m_Request.m_Call,
                          .m_Endpoint = Announced.m_Id,
                          .m_Address = Announced.m_Address,
                          .m_ChecksFencing = Announced.m_ChecksFencing});
}

void Scheduler::park(Route &ServiceRoute, Call &Next, const Choice &Chosen,
                     base::TimePoint Time) {
  recordDecision(Next, Chosen, Time);
  Next.m_Phase = Phase::Parked;
  Next.m_MayUseAnyEndpoint = false;
  Next.m_Endpoint = Chosen.m_Target->endpoint().m_Id;
  // It waits no longer than recomputing the prefix at another endpoint would
  // take.
  const double RecomputeSeconds =
      Chosen.m_CachedTokens * ServiceRoute.m_MeanCosts.m_SecondsPerPromptToken *
      (1.0 + Chosen.m_Target->load());
  Next.m_WaitUntil = Time + std::min(m_Options.m_MaxAffinityWait,
                                     fromSeconds(RecomputeSeconds));
  ServiceRoute.m_Parked.push_back(Next.m_Request.m_Call);
  Chosen.m_Target->park();
}

void Scheduler::delay(Call &Next, base::Duration Length, base::TimePoint Time) {
  Next.m_Phase = Phase::Delayed;
  Next.m_WaitUntil = Time + Length;
  m_Delayed.emplace(Next.m_WaitUntil, Next.m_Request.m_Call);
  ++routeOf(Next.m_Request.m_Service).m_Delayed;
}

void Scheduler::recordDecision(const Call &Next, const Choice &Chosen,
                               base::TimePoint Time) {
  m_Decisions.push_back({.m_Call = Next.m_Request.m_Call,
                         .m_Program = Next.m_Request.m_Program,
                         .m_Endpoint = Chosen.m_Target->endpoint().m_Id,
                         .m_Reason = Chosen.m_Reason,
                         .m_Waited = Time - Next.m_EnqueuedAt,
                         .m_Attempt = Next.m_Attempts + 1});
  if (m_Decisions.size() > MaxRetainedDecisions)
    m_Decisions.pop_front();
}

} // namespace psp::schedule
