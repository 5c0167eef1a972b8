#include "schedule/Scheduler.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {
namespace {

constexpr base::Duration MinRetryAfter = base::seconds(1);
constexpr base::Duration MaxRetryAfter = base::seconds(30);

/// Maximum number of failed calls that are retained for a retry.
constexpr std::size_t MaxRetainedFailures = 1024;

Work estimateWork(const WaitingCall &Call) {
  return WorkPerCall + static_cast<double>(Call.m_MaxTokens) +
         static_cast<double>(Call.m_PromptTokens) * WorkPerPromptToken;
}

base::Duration fromSeconds(double Seconds) {
  return base::Duration(static_cast<base::Duration::rep>(Seconds * 1e6));
}

} // namespace

Scheduler::Scheduler(SchedulerOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed),
      m_Policy(makeRoutingPolicy(m_Options.m_Routing, m_Options.m_Seed)),
      m_RetryBudget(m_Options.m_RetryShare, m_Options.m_RetryBurst) {}

void Scheduler::announce(const messages::EndpointState &State,
                         base::TimePoint Time) {
  const AnnounceResult Result = m_Registry.announce(State, Time);
  if (Result == AnnounceResult::Ignored)
    return;
  if (Result != AnnounceResult::Renewed)
    m_RoutesStale = true;
  const Endpoint &Announced =
      *m_Registry.find(base::EndpointId(State.endpoint()));
  const bool Joined = Result == AnnounceResult::Joined;
  if (Result == AnnounceResult::Left && !m_Targets.contains(Announced.m_Id))
    return;
  const auto Position = m_Targets
                            .try_emplace(Announced.m_Id, Announced,
                                         m_Options.m_Window, m_Options.m_Health)
                            .first;
  Position->second.announce(Announced, m_Options.m_ShareCount, Joined);
}

void Scheduler::setShareCount(std::uint32_t Count, base::TimePoint) {
  m_Options.m_ShareCount = std::max(1U, Count);
  for (auto &[Id, Target] : m_Targets)
    Target.setShareCount(m_Options.m_ShareCount);
}

void Scheduler::setReachableDataCentres(
    std::vector<base::DataCentreId> DataCentres) {
  m_ReachableDataCentres = std::move(DataCentres);
  m_RoutesStale = true;
}

void Scheduler::enqueue(const WaitingCall &Waiting, base::TimePoint Time) {
  m_RetryBudget.noteFirstAttempt();
  const auto [Position, Added] = m_Calls.try_emplace(Waiting.m_Call);
  base::checkInvariant(Added, "a call number is already in use");
  Call &New = Position->second;
  New.m_Request = Waiting;
  New.m_EstimatedWork = estimateWork(Waiting);
  New.m_EnqueuedAt = Time;
  ++m_Queued;
  m_Deadlines.emplace(Waiting.m_Deadline, Waiting.m_Call);
  m_Programs.noteCallArrived(Waiting.m_Program, Time);
  pushToQueue(New, Time);
  Route &ServiceRoute = routeOf(Waiting.m_Service);
  if (Waiting.m_Deadline <= Time) {
    refuse(Waiting.m_Call, base::ErrorKind::DeadlineExceeded, MinRetryAfter);
  } else if (shouldRefuseEarly(ServiceRoute, Waiting, Time)) {
    refuse(Waiting.m_Call, base::ErrorKind::Overloaded,
           retryAfter(ServiceRoute));
  } else if (m_Queued > m_Options.m_MaxQueuedCalls) {
    const QueuedCall NewCall{.m_Call = Waiting.m_Call,
                             .m_Organisation = Waiting.m_Organisation,
                             .m_Class = Waiting.m_Class,
                             .m_EnqueuedAt = Time,
                             .m_ProgramStart = Time};
    const auto Victim = ServiceRoute.m_Queue->victimFor(NewCall);
    refuse(Victim.value_or(Waiting.m_Call), base::ErrorKind::Overloaded,
           retryAfter(ServiceRoute));
  }
}

void Scheduler::remove(CallNumber Number) {
  const auto Position = m_Calls.find(Number);
  if (Position == m_Calls.end() || Position->second.m_Phase == Phase::InFlight)
    return;
  if (Position->second.m_Phase != Phase::Failed)
    removeWaiting(Position->second);
  else
    std::erase(m_Failed, Number);
  eraseCall(Number);
}

std::vector<Refusal> Scheduler::takeRefusals(base::TimePoint Time) {
  expireDeadlines(Time);
  return std::exchange(m_Refusals, {});
}

std::vector<Release> Scheduler::takeReleases() {
  std::vector<Release> Result;
  for (const auto &Pending : m_Programs.takeReleases()) {
    const Endpoint *Target = m_Registry.find(Pending.m_Endpoint);
    if (Target != nullptr)
      Result.push_back({.m_Program = Pending.m_Program,
                        .m_Endpoint = Pending.m_Endpoint,
                        .m_Address = Target->m_Address});
  }
  return Result;
}

void Scheduler::firstByte(CallNumber Number, base::TimePoint Time) {
  const auto Position = m_Calls.find(Number);
  if (Position == m_Calls.end() || Position->second.m_Phase != Phase::InFlight)
    return;
  if (!Position->second.m_FirstByteAt)
    Position->second.m_FirstByteAt = Time;
}

void Scheduler::finished(CallNumber Number, CallResult Result,
                         std::uint64_t UsedTokens,
                         std::uint64_t RecomputedTokens, base::TimePoint Time) {
  const auto Position = m_Calls.find(Number);
  if (Position == m_Calls.end() || Position->second.m_Phase != Phase::InFlight)
    return;
  Call &Ended = Position->second;
  completeInFlight(Ended, Result, UsedTokens, RecomputedTokens, Time);
  const bool Failed =
      Result != CallResult::Succeeded && Result != CallResult::Cancelled;
  if (Failed && Ended.m_Request.m_Repeatable && !Ended.m_FirstByteAt)
    retainFailed(Number);
  else
    eraseCall(Number);
}

bool Scheduler::retry(CallNumber Number, base::TimePoint Time) {
  const auto Position = m_Calls.find(Number);
  if (Position == m_Calls.end())
    return false;
  if (Position->second.m_Phase == Phase::InFlight)
    finished(Number, CallResult::Failed, 0, 0, Time);
  const auto FailedPosition = m_Calls.find(Number);
  if (FailedPosition == m_Calls.end() ||
      FailedPosition->second.m_Phase != Phase::Failed)
    return false;
  std::erase(m_Failed, Number);
  Call &Retried = FailedPosition->second;
  if (Time >= Retried.m_Request.m_Deadline || !m_RetryBudget.tryTake()) {
    eraseCall(Number);
    return false;
  }
  ++m_Queued;
  m_Deadlines.emplace(Retried.m_Request.m_Deadline, Number);
  const double Factor =
      static_cast<double>(1U << std::min(Retried.m_Attempts, 6U));
  const double Seconds =
      std::chrono::duration<double>(m_Options.m_RetryDelay).count();
  delay(Retried, fromSeconds(Seconds * Factor * (0.5 + nextRandom()) / 2),
        Time);
  return true;
}

void Scheduler::programEnded(const base::ProgramId &Program) {
  m_Programs.endProgram(Program);
}

Route &Scheduler::routeOf(const std::string &Service) {
  const auto Position = m_Routes.find(Service);
  if (Position != m_Routes.end())
    return Position->second;
  m_RoutesStale = true;
  return m_Routes.emplace(Service, Route(m_Options.m_Queue)).first->second;
}

bool Scheduler::shouldRefuseEarly(const Route &ServiceRoute,
                                  const WaitingCall &Waiting,
                                  base::TimePoint Time) {
  const Work WorkPerSecond = ServiceRoute.m_Throughput.workPerSecond();
  const bool Alarm = Waiting.m_Class == CallClass::Alarm;
  // Refusing a call of an active program would waste the work already done for
  // it, so only a program's first call is refused early.
  const bool HasAttainedWork = m_Programs.attainedWork(Waiting.m_Program) > 0.0;
  if (!m_Options.m_RefuseEarly || Alarm || HasAttainedWork ||
      WorkPerSecond <= 0.0)
    return false;
  const Work WorkAhead =
      ServiceRoute.m_Queue->queuedWorkAhead(Waiting.m_Organisation);
  return Time + fromSeconds(WorkAhead / WorkPerSecond) > Waiting.m_Deadline;
}

void Scheduler::refuse(CallNumber Number, base::ErrorKind Kind,
                       base::Duration RetryAfter) {
  Call &Refused = m_Calls.at(Number);
  base::checkInvariant(Refused.m_Phase != Phase::InFlight,
                       "a call was refused as not executed after it was sent");
  removeWaiting(Refused);
  eraseCall(Number);
  m_Refusals.push_back(
      {.m_Call = Number, .m_Kind = Kind, .m_RetryAfter = RetryAfter});
}

base::Duration Scheduler::retryAfter(const Route &ServiceRoute) {
  const Work WorkPerSecond = ServiceRoute.m_Throughput.workPerSecond();
  if (WorkPerSecond <= 0.0)
    return MinRetryAfter;
  const Work Waiting = ServiceRoute.m_Queue->totalWork();
  // Jitter prevents callers that were refused together from retrying together.
  const double Seconds = Waiting / WorkPerSecond * (0.5 + nextRandom());
  return std::clamp(fromSeconds(Seconds), MinRetryAfter, MaxRetryAfter);
}

void Scheduler::removeWaiting(Call &Waiting) {
  const CallNumber Number = Waiting.m_Request.m_Call;
  Route &ServiceRoute = routeOf(Waiting.m_Request.m_Service);
  switch (Waiting.m_Phase) {
  case Phase::Queued:
    base::checkInvariant(ServiceRoute.m_Queue->remove(Number),
                         "a queued call is missing from its queue");
    break;
  case Phase::Parked:
    std::erase(ServiceRoute.m_Parked, Number);
    m_Targets.at(Waiting.m_Endpoint).unpark();
    ServiceRoute.m_Queue->correct(Waiting.m_Request.m_Organisation,
                                  -Waiting.m_EstimatedWork);
    break;
  case Phase::Delayed:
    m_Delayed.erase({Waiting.m_WaitUntil, Number});
    --ServiceRoute.m_Delayed;
    break;
  case Phase::InFlight:
  case Phase::Failed:
    throw base::InternalError("a call that was sent isn't waiting");
  }
  m_Deadlines.erase({Waiting.m_Request.m_Deadline, Number});
  --m_Queued;
}

void Scheduler::pushToQueue(Call &Waiting, base::TimePoint Time) {
  Waiting.m_Phase = Phase::Queued;
  routeOf(Waiting.m_Request.m_Service)
      .m_Queue->push({.m_Call = Waiting.m_Request.m_Call,
                      .m_Organisation = Waiting.m_Request.m_Organisation,
                      .m_Class = Waiting.m_Request.m_Class,
                      .m_EstimatedWork = Waiting.m_EstimatedWork,
                      .m_AttainedWork =
                          m_Programs.attainedWork(Waiting.m_Request.m_Program),
                      .m_EnqueuedAt = Time,
                      .m_ProgramStart =
                          m_Programs.startTime(Waiting.m_Request.m_Program)});
}

void Scheduler::eraseCall(CallNumber Number) {
  const auto Position = m_Calls.find(Number);
  m_Programs.noteCallEnded(Position->second.m_Request.m_Program);
  m_Calls.erase(Position);
}

void Scheduler::retainFailed(CallNumber Number) {
  Call &Failed = m_Calls.at(Number);
  Failed.m_Phase = Phase::Failed;
  Failed.m_FailedAt = Failed.m_Endpoint;
  Failed.m_FirstByteAt.reset();
  m_Failed.push_back(Number);
  if (m_Failed.size() <= MaxRetainedFailures)
    return;
  eraseCall(m_Failed.front());
  m_Failed.pop_front();
}

void Scheduler::completeInFlight(Call &Ended, CallResult Result,
                                 std::uint64_t UsedTokens,
                                 std::uint64_t RecomputedTokens,
                                 base::TimePoint Time) {
  const WaitingCall &Request = Ended.m_Request;
  EndpointTarget &Target = m_Targets.at(Ended.m_Endpoint);
  Route &ServiceRoute = routeOf(Request.m_Service);
  const auto UsedTokenCount = static_cast<double>(UsedTokens);
  const auto PromptTokens = static_cast<double>(Request.m_PromptTokens);
  const auto ComputedTokens = static_cast<double>(RecomputedTokens);
  const double AnswerTokens = std::max(0.0, UsedTokenCount - PromptTokens);
  const Work FinishedWork =
      WorkPerCall + AnswerTokens + ComputedTokens * WorkPerPromptToken;
  --m_InFlight;
  switch (Result) {
  case CallResult::Succeeded:
    Target.noteSucceeded({.m_SentAt = Ended.m_SentAt,
                          .m_FirstByteAt = Ended.m_FirstByteAt.value_or(Time),
                          .m_EndedAt = Time,
                          .m_AnswerTokens = AnswerTokens,
                          .m_ComputedPromptTokens = ComputedTokens,
                          .m_LoadWhenSent = Ended.m_LoadWhenSent});
    Target.notePrefixUse(Ended.m_ExpectedCachedTokens,
                         PromptTokens - ComputedTokens);
    m_Programs.notePrefixCached(Request.m_Program, Ended.m_Endpoint,
                                UsedTokenCount);
    ServiceRoute.m_Throughput.noteFinished(
        FinishedWork, ServiceRoute.m_Queue->size() > 0, Time);
    break;
  case CallResult::Failed:
  case CallResult::Refused:
  case CallResult::TimedOut:
    Target.noteFailed(Time, nextRandom());
    break;
  case CallResult::Cancelled:
    Target.noteCancelled();
    break;
  }
  ServiceRoute.m_Queue->correct(Request.m_Organisation,
                                FinishedWork - Ended.m_EstimatedWork);
  m_Programs.addWork(Request.m_Program, FinishedWork);
  if (Target.window().outstanding() == 0 && !Target.endpoint().usable(Time))
    m_RoutesStale = true;
}

double Scheduler::nextRandom() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_Random);
}

} // namespace psp::schedule
