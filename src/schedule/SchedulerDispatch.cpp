#include "schedule/Scheduler.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>

namespace psp::schedule {
namespace {

constexpr std::size_t RememberedDecisions = 256;

/// Costs assumed before any answer was seen, in seconds.
constexpr double AssumedPerToken = 0.01;
constexpr double AssumedPerPromptToken = 0.00005;

/// Costs learned longer ago than this say nothing any more.
constexpr double CostMemorySeconds = 30.0;

/// How often the mean costs of a route are worked out again.
constexpr base::Duration MeanCostsInterval = base::milliseconds(100);

/// A call whose retry would go to the endpoint that failed it waits this long.
constexpr base::Duration OtherEndpointDelay = base::milliseconds(50);

base::Duration fromSeconds(double Seconds) {
  return base::Duration(static_cast<base::Duration::rep>(Seconds * 1e6));
}

bool isLeftOut(const EndpointTarget *Target) {
  return Target->health().state() == HealthState::LeftOut;
}

bool hasRoomAnywhere(const Route &Target, CallClass Class,
                     base::TimePoint Time) {
  const auto &Targets = Target.targets();
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto *Each) {
    return Each->hasRoom(Class, Time);
  });
}

/// \p Own fades into \p Mean as it gets old, so that an endpoint that was slow
/// once is tried again.
double fadedCost(double Own, double Mean, double Age) {
  if (Own == 0.0)
    return Mean;
  const double Weight = std::max(0.0, 1.0 - Age / CostMemorySeconds);
  return Mean + Weight * (Own - Mean);
}

EndpointCosts meanCosts(const std::vector<EndpointTarget *> &Targets) {
  EndpointCosts Sum;
  double Tokens = 0.0;
  double Prompts = 0.0;
  for (const EndpointTarget *Each : Targets) {
    const EndpointCosts &Costs = Each->costs();
    Sum.m_PerToken += Costs.m_PerToken;
    Sum.m_PerPromptToken += Costs.m_PerPromptToken;
    Tokens += Costs.m_PerToken > 0.0 ? 1.0 : 0.0;
    Prompts += Costs.m_PerPromptToken > 0.0 ? 1.0 : 0.0;
  }
  Sum.m_PerToken = Tokens > 0.0 ? Sum.m_PerToken / Tokens : AssumedPerToken;
  Sum.m_PerPromptToken =
      Prompts > 0.0 ? Sum.m_PerPromptToken / Prompts : AssumedPerPromptToken;
  return Sum;
}

void refreshMeanCosts(Route &Target, base::TimePoint Time) {
  if (Time < Target.m_MeanCosts.m_LearnedAt + MeanCostsInterval)
    return;
  Target.m_MeanCosts = meanCosts(Target.targets());
  Target.m_MeanCosts.m_LearnedAt = Time;
}

} // namespace

std::vector<Dispatch> Scheduler::takeDispatches(base::TimePoint Time) {
  advance(Time);
  for (auto &[Service, Target] : m_Routes) {
    if (Target.m_Queue->size() == 0 && Target.m_Parked.empty())
      continue;
    for (EndpointTarget *Each : Target.m_Here)
      Each->advance(Time);
    for (EndpointTarget *Each : Target.m_Elsewhere)
      Each->advance(Time);
    Target.m_UseElsewhere =
        std::all_of(Target.m_Here.begin(), Target.m_Here.end(), isLeftOut);
    refreshMeanCosts(Target, Time);
    serveParked(Target, Time);
    serveQueue(Target, Time);
    refuseWithoutEndpoint(Target, Time);
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
  for (const auto &[Service, Each] : m_Routes) {
    for (const CallNumber Parked : Each.m_Parked) {
      const Call &Waiting = m_Calls.at(Parked);
      if (!Waiting.m_WaitOver)
        Consider(Waiting.m_WaitUntil);
    }
    if (Each.m_Queue->size() == 0)
      continue;
    if (Each.m_EmptySince)
      Consider(*Each.m_EmptySince + m_Options.m_NoEndpointGrace);
    for (const EndpointTarget *Target : Each.m_Here) {
      if (isLeftOut(Target))
        Consider(Target->health().probeTime());
    }
  }
  return Next;
}

void Scheduler::advance(base::TimePoint Time) {
  if (!m_Registry.expire(Time).empty())
    m_RoutesStale = true;
  if (m_RoutesStale)
    rebuildRoutes(Time);
  expireDeadlines(Time);
  requeueDelayed(Time);
}

void Scheduler::rebuildRoutes(base::TimePoint Time) {
  m_RoutesStale = false;
  for (auto &[Service, Each] : m_Routes) {
    Each.m_Here.clear();
    Each.m_Elsewhere.clear();
    Each.m_MeanCosts = {};
  }
  // An endpoint that has gone is kept while calls are in flight there, or
  // wait for it.
  std::erase_if(m_Targets, [Time](const auto &Each) {
    const EndpointTarget &Target = Each.second;
    return Target.window().outstanding() == 0 && Target.parked() == 0 &&
           !Target.endpoint().usable(Time);
  });
  for (const Endpoint &Each : m_Registry.usableEndpoints(Time)) {
    const bool Here = Each.m_DataCentre == m_Options.m_DataCentre;
    const bool Reachable =
        std::find(m_ReachableDataCentres.begin(), m_ReachableDataCentres.end(),
                  Each.m_DataCentre) != m_ReachableDataCentres.end();
    if (!Here && !Reachable)
      continue;
    EndpointTarget *Target = &m_Targets.at(Each.m_Id);
    for (const std::string &Service : Each.m_Services) {
      const auto Known = m_Routes.find(Service);
      if (Known == m_Routes.end())
        continue;
      Route &Way = Known->second;
      (Here ? Way.m_Here : Way.m_Elsewhere).push_back(Target);
    }
  }
}

void Scheduler::expireDeadlines(base::TimePoint Time) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Time) {
    const CallNumber Number = m_Deadlines.begin()->second;
    Route &Target = routeOf(m_Calls.at(Number).m_Call.m_Service);
    refuse(Number, base::ErrorKind::DeadlineExceeded, retryAfter(Target));
  }
}

void Scheduler::requeueDelayed(base::TimePoint Time) {
  while (!m_Delayed.empty() && m_Delayed.begin()->first <= Time) {
    Call &Next = m_Calls.at(m_Delayed.begin()->second);
    m_Delayed.erase(m_Delayed.begin());
    --routeOf(Next.m_Call.m_Service).m_Delayed;
    pushToQueue(Next, Time);
  }
}

void Scheduler::refuseWithoutEndpoint(Route &Target, base::TimePoint Time) {
  if (!Target.m_Here.empty() || !Target.m_Elsewhere.empty()) {
    Target.m_EmptySince.reset();
    return;
  }
  if (!Target.m_EmptySince)
    Target.m_EmptySince = Time;
  if (Time < *Target.m_EmptySince + m_Options.m_NoEndpointGrace)
    return;
  std::vector<CallNumber> Waiting(Target.m_Parked.begin(),
                                  Target.m_Parked.end());
  for (const QueuedCall &Each : Target.m_Queue->waiting())
    Waiting.push_back(Each.m_Call);
  for (const CallNumber Each : Waiting)
    refuse(Each, base::ErrorKind::NoEndpoint, m_Options.m_NoEndpointGrace);
}

void Scheduler::serveParked(Route &Target, base::TimePoint Time) {
  const std::deque<CallNumber> Waiting = Target.m_Parked;
  for (const CallNumber Number : Waiting) {
    Call &Next = m_Calls.at(Number);
    EndpointTarget &Wanted = m_Targets.at(Next.m_Endpoint);
    Next.m_WaitOver = Next.m_WaitOver || Time >= Next.m_WaitUntil ||
                      isLeftOut(&Wanted) || !Wanted.endpoint().usable(Time);
    if (!Next.m_WaitOver && !Wanted.hasRoom(Next.m_Call.m_Class, Time))
      continue;
    if (!hasRoomAnywhere(Target, Next.m_Call.m_Class, Time))
      continue;
    std::erase(Target.m_Parked, Number);
    Wanted.unpark();
    place(Target, Next, false, Time);
  }
}

void Scheduler::serveQueue(Route &Target, base::TimePoint Time) {
  while (Target.m_Queue->size() > 0) {
    const CallClass Class =
        Target.m_Queue->nextIsAlarm() ? CallClass::Alarm : CallClass::Normal;
    if (!hasRoomAnywhere(Target, Class, Time))
      return;
    const auto Next = Target.m_Queue->pop();
    Call &Chosen = m_Calls.at(Next->m_Call);
    const bool MayWait = Chosen.m_Call.m_Class != CallClass::Alarm;
    place(Target, Chosen, MayWait, Time);
  }
}

void Scheduler::place(Route &Target, Call &Next, bool MayWait,
                      base::TimePoint Time) {
  const Choice Chosen = choose(Target, Next, MayWait, Time);
  if (Chosen.m_Target == nullptr) {
    // Only the endpoint that failed this call has room.
    Target.m_Queue->correct(Next.m_Call.m_Organisation, -Next.m_Estimate);
    delay(Next, OtherEndpointDelay, Time);
  } else if (Chosen.m_HasRoom) {
    dispatch(Next, Chosen, Time);
  } else {
    park(Target, Next, Chosen, Time);
  }
}

const EndpointTarget *
Scheduler::knownTarget(const base::EndpointId &Endpoint) const {
  const auto Known = m_Targets.find(Endpoint);
  return Known == m_Targets.end() ? nullptr : &Known->second;
}

Scheduler::Choice Scheduler::choose(const Route &Target, const Call &Next,
                                    bool MayWait, base::TimePoint Time) {
  const HeldPrefix *Held = m_Programs.heldPrefix(Next.m_Call.m_Program);
  const EndpointTarget *Home =
      Held == nullptr ? nullptr : knownTarget(Held->m_Endpoint);
  const EndpointTarget *Avoided =
      Next.m_FailedAt.empty() || Target.targets().size() == 1
          ? nullptr
          : knownTarget(Next.m_FailedAt);
  bool Anywhere = false;
  m_Candidates.clear();
  for (const EndpointTarget *Each : Target.targets()) {
    const EndpointCosts &Costs = Each->costs();
    const double Age =
        std::chrono::duration<double>(Time - Costs.m_LearnedAt).count();
    RoutingCandidate Candidate{
        .m_HasRoom = Each->hasRoom(Next.m_Call.m_Class, Time),
        .m_Load = Each->load(),
        .m_Slots = Each->slots(),
        .m_SecondsPerToken =
            fadedCost(Costs.m_PerToken, Target.m_MeanCosts.m_PerToken, Age),
        .m_SecondsPerPromptToken = fadedCost(
            Costs.m_PerPromptToken, Target.m_MeanCosts.m_PerPromptToken, Age)};
    if (Each == Avoided)
      Candidate.m_HasRoom = false;
    else if (Each == Home &&
             (Candidate.m_HasRoom || (MayWait && !isLeftOut(Each))))
      Candidate.m_HeldTokens = Held->m_Tokens * Each->prefixHitShare();
    const double Window = Each->window().allowed();
    Candidate.m_SecondsToFreeSlot =
        Costs.m_PerCall / Window * (1.0 + Each->parked());
    Anywhere = Anywhere || Candidate.m_HasRoom;
    m_Candidates.push_back(Candidate);
  }
  if (!Anywhere)
    return {};
  const std::size_t Position = m_Policy->choose(
      {.m_PromptTokens = static_cast<double>(Next.m_Call.m_PromptTokens),
       .m_AnswerTokens = static_cast<double>(Next.m_Call.m_MaxTokens)},
      m_Candidates);
  const RoutingCandidate &Chosen = m_Candidates.at(Position);
  const bool HoldsPrefix = Chosen.m_HeldTokens > 0.0;
  return {.m_Target = Target.targets()[Position],
          .m_HasRoom = Chosen.m_HasRoom,
          .m_HeldTokens = Chosen.m_HeldTokens,
          .m_Reason = !Chosen.m_HasRoom ? DecisionReason::WaitsForPrefix
                      : HoldsPrefix     ? DecisionReason::HoldsPrefix
                                        : DecisionReason::Cheapest};
}

void Scheduler::dispatch(Call &Next, const Choice &Chosen,
                         base::TimePoint Time) {
  EndpointTarget &Target = *Chosen.m_Target;
  const Endpoint &Announced = Target.endpoint();
  base::checkInvariant(Announced.usable(Time),
                       "a call goes to an endpoint that has left");
  base::checkInvariant(Target.hasRoom(Next.m_Call.m_Class, Time),
                       "a call goes to an endpoint without room");
  note(Next, Chosen, Time);
  m_Deadlines.erase({Next.m_Call.m_Deadline, Next.m_Call.m_Call});
  --m_Queued;
  ++m_InFlight;
  ++Next.m_Attempts;
  Next.m_Phase = Phase::InFlight;
  Next.m_SentAt = Time;
  Next.m_Endpoint = Announced.m_Id;
  Next.m_LoadWhenSent = Target.load();
  Next.m_ExpectedHeld = std::min(
      Chosen.m_HeldTokens, static_cast<double>(Next.m_Call.m_PromptTokens));
  Target.noteSent();
  m_Programs.noteSent(Next.m_Call.m_Program, Announced.m_Id);
  m_Dispatches.push_back({.m_Call = Next.m_Call.m_Call,
                          .m_Endpoint = Announced.m_Id,
                          .m_Address = Announced.m_Address,
                          .m_ChecksFencing = Announced.m_ChecksFencing});
}

void Scheduler::park(Route &Target, Call &Next, const Choice &Chosen,
                     base::TimePoint Time) {
  note(Next, Chosen, Time);
  Next.m_Phase = Phase::Parked;
  Next.m_WaitOver = false;
  Next.m_Endpoint = Chosen.m_Target->endpoint().m_Id;
  // It waits no longer than computing the prefix elsewhere would take.
  const double Recompute = Chosen.m_HeldTokens *
                           Target.m_MeanCosts.m_PerPromptToken *
                           (1.0 + Chosen.m_Target->load());
  Next.m_WaitUntil =
      Time + std::min(m_Options.m_MaxAffinityWait, fromSeconds(Recompute));
  Target.m_Parked.push_back(Next.m_Call.m_Call);
  Chosen.m_Target->park();
}

void Scheduler::delay(Call &Next, base::Duration Length, base::TimePoint Time) {
  Next.m_Phase = Phase::Delayed;
  Next.m_WaitUntil = Time + Length;
  m_Delayed.emplace(Next.m_WaitUntil, Next.m_Call.m_Call);
  ++routeOf(Next.m_Call.m_Service).m_Delayed;
}

void Scheduler::note(const Call &Next, const Choice &Chosen,
                     base::TimePoint Time) {
  m_Decisions.push_back({.m_Call = Next.m_Call.m_Call,
                         .m_Program = Next.m_Call.m_Program,
                         .m_Endpoint = Chosen.m_Target->endpoint().m_Id,
                         .m_Reason = Chosen.m_Reason,
                         .m_Waited = Time - Next.m_EnqueuedAt,
                         .m_Attempt = Next.m_Attempts + 1});
  if (m_Decisions.size() > RememberedDecisions)
    m_Decisions.pop_front();
}

} // namespace psp::schedule
