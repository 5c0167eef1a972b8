#include "schedule/Scheduler.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {
namespace {

constexpr base::Duration MinRetryAfter = base::seconds(1);
constexpr base::Duration MaxRetryAfter = base::seconds(30);

/// Failed calls that are remembered for a retry.
constexpr std::size_t RememberedFailures = 1024;

Work estimate(const WaitingCall &Call) {
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
      m_RetryBudget(m_Options.m_RetryShare, m_Options.m_RetryReserve) {}

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
  base::checkInvariant(Added, "a call number was used twice");
  Call &New = Position->second;
  New.m_Call = Waiting;
  New.m_Estimate = estimate(Waiting);
  New.m_EnqueuedAt = Time;
  ++m_Queued;
  m_Deadlines.emplace(Waiting.m_Deadline, Waiting.m_Call);
  m_Programs.noteArrival(Waiting.m_Program, Time);
  pushToQueue(New, Time);
  Route &Target = routeOf(Waiting.m_Service);
  if (Waiting.m_Deadline <= Time) {
    refuse(Waiting.m_Call, base::ErrorKind::DeadlineExceeded, MinRetryAfter);
  } else if (refusedEarly(Target, Waiting, Time)) {
    refuse(Waiting.m_Call, base::ErrorKind::Overloaded, retryAfter(Target));
  } else if (m_Queued > m_Options.m_MaxQueuedCalls) {
    const QueuedCall Newcomer{.m_Call = Waiting.m_Call,
                              .m_Organisation = Waiting.m_Organisation,
                              .m_Class = Waiting.m_Class,
                              .m_EnqueuedAt = Time,
                              .m_ProgramStart = Time};
    const auto Victim = Target.m_Queue->victimFor(Newcomer);
    refuse(Victim.value_or(Waiting.m_Call), base::ErrorKind::Overloaded,
           retryAfter(Target));
  }
}

void Scheduler::remove(CallNumber Number) {
  const auto Known = m_Calls.find(Number);
  if (Known == m_Calls.end() || Known->second.m_Phase == Phase::InFlight)
    return;
  if (Known->second.m_Phase != Phase::Failed)
    unqueue(Known->second);
  else
    std::erase(m_Failed, Number);
  forget(Number);
}

std::vector<Refusal> Scheduler::takeRefusals(base::TimePoint Time) {
  expireDeadlines(Time);
  return std::exchange(m_Refusals, {});
}

std::vector<Release> Scheduler::takeReleases() {
  std::vector<Release> Result;
  for (const auto &Each : m_Programs.takeReleases()) {
    const Endpoint *Known = m_Registry.find(Each.m_Endpoint);
    if (Known != nullptr)
      Result.push_back({.m_Program = Each.m_Program,
                        .m_Endpoint = Each.m_Endpoint,
                        .m_Address = Known->m_Address});
  }
  return Result;
}

void Scheduler::firstByte(CallNumber Number, base::TimePoint Time) {
  const auto Known = m_Calls.find(Number);
  if (Known == m_Calls.end() || Known->second.m_Phase != Phase::InFlight)
    return;
  if (!Known->second.m_FirstByteAt)
    Known->second.m_FirstByteAt = Time;
}

void Scheduler::finished(CallNumber Number, CallResult Result,
                         std::uint64_t UsedTokens,
                         std::uint64_t RecomputedTokens, base::TimePoint Time) {
  const auto Known = m_Calls.find(Number);
  if (Known == m_Calls.end() || Known->second.m_Phase != Phase::InFlight)
    return;
  Call &Ended = Known->second;
  endInFlight(Ended, Result, UsedTokens, RecomputedTokens, Time);
  const bool Failed =
      Result != CallResult::Succeeded && Result != CallResult::Cancelled;
  if (Failed && Ended.m_Call.m_Repeatable && !Ended.m_FirstByteAt)
    rememberFailed(Number);
  else
    forget(Number);
}

bool Scheduler::retry(CallNumber Number, base::TimePoint Time) {
  const auto Known = m_Calls.find(Number);
  if (Known == m_Calls.end())
    return false;
  if (Known->second.m_Phase == Phase::InFlight)
    finished(Number, CallResult::Failed, 0, 0, Time);
  const auto Failed = m_Calls.find(Number);
  if (Failed == m_Calls.end() || Failed->second.m_Phase != Phase::Failed)
    return false;
  std::erase(m_Failed, Number);
  Call &Again = Failed->second;
  if (Time >= Again.m_Call.m_Deadline || !m_RetryBudget.take()) {
    forget(Number);
    return false;
  }
  ++m_Queued;
  m_Deadlines.emplace(Again.m_Call.m_Deadline, Number);
  const double Factor =
      static_cast<double>(1U << std::min(Again.m_Attempts, 6U));
  const double Seconds =
      std::chrono::duration<double>(m_Options.m_RetryDelay).count();
  delay(Again, fromSeconds(Seconds * Factor * (0.5 + nextRandom()) / 2), Time);
  return true;
}

void Scheduler::programEnded(const base::ProgramId &Program) {
  m_Programs.end(Program);
}

Route &Scheduler::routeOf(const std::string &Service) {
  const auto Known = m_Routes.find(Service);
  if (Known != m_Routes.end())
    return Known->second;
  m_RoutesStale = true;
  return m_Routes.emplace(Service, Route(m_Options.m_Queue)).first->second;
}

bool Scheduler::refusedEarly(const Route &Target, const WaitingCall &Waiting,
                             base::TimePoint Time) {
  const Work Capacity = Target.m_Drain.perSecond();
  const bool Alarm = Waiting.m_Class == CallClass::Alarm;
  // What a program under way has been given would be lost with it, so only a
  // program's first call is refused early.
  const bool UnderWay = m_Programs.attained(Waiting.m_Program) > 0.0;
  if (!m_Options.m_RefuseEarly || Alarm || UnderWay || Capacity <= 0.0)
    return false;
  const Work Ahead = Target.m_Queue->workAhead(Waiting.m_Organisation);
  return Time + fromSeconds(Ahead / Capacity) > Waiting.m_Deadline;
}

void Scheduler::refuse(CallNumber Number, base::ErrorKind Kind,
                       base::Duration RetryAfter) {
  Call &Refused = m_Calls.at(Number);
  base::checkInvariant(Refused.m_Phase != Phase::InFlight,
                       "a call was refused as not run after it was sent");
  unqueue(Refused);
  forget(Number);
  m_Refusals.push_back(
      {.m_Call = Number, .m_Kind = Kind, .m_RetryAfter = RetryAfter});
}

base::Duration Scheduler::retryAfter(const Route &Target) {
  const Work Capacity = Target.m_Drain.perSecond();
  if (Capacity <= 0.0)
    return MinRetryAfter;
  const Work Waiting = Target.m_Queue->totalWork();
  // Spread, so that those who were refused together don't return together.
  const double Seconds = Waiting / Capacity * (0.5 + nextRandom());
  return std::clamp(fromSeconds(Seconds), MinRetryAfter, MaxRetryAfter);
}

void Scheduler::unqueue(Call &Waiting) {
  const CallNumber Number = Waiting.m_Call.m_Call;
  Route &Target = routeOf(Waiting.m_Call.m_Service);
  switch (Waiting.m_Phase) {
  case Phase::Queued:
    base::checkInvariant(Target.m_Queue->remove(Number),
                         "a queued call was not in its queue");
    break;
  case Phase::Parked:
    std::erase(Target.m_Parked, Number);
    m_Targets.at(Waiting.m_Endpoint).unpark();
    Target.m_Queue->correct(Waiting.m_Call.m_Organisation, -Waiting.m_Estimate);
    break;
  case Phase::Delayed:
    m_Delayed.erase({Waiting.m_WaitUntil, Number});
    --Target.m_Delayed;
    break;
  case Phase::InFlight:
  case Phase::Failed:
    throw base::InternalError("a call that was sent isn't waiting");
  }
  m_Deadlines.erase({Waiting.m_Call.m_Deadline, Number});
  --m_Queued;
}

void Scheduler::pushToQueue(Call &Waiting, base::TimePoint Time) {
  Waiting.m_Phase = Phase::Queued;
  routeOf(Waiting.m_Call.m_Service)
      .m_Queue->push(
          {.m_Call = Waiting.m_Call.m_Call,
           .m_Organisation = Waiting.m_Call.m_Organisation,
           .m_Class = Waiting.m_Call.m_Class,
           .m_Work = Waiting.m_Estimate,
           .m_Attained = m_Programs.attained(Waiting.m_Call.m_Program),
           .m_EnqueuedAt = Time,
           .m_ProgramStart = m_Programs.start(Waiting.m_Call.m_Program)});
}

void Scheduler::forget(CallNumber Number) {
  const auto Known = m_Calls.find(Number);
  m_Programs.noteGone(Known->second.m_Call.m_Program);
  m_Calls.erase(Known);
}

void Scheduler::rememberFailed(CallNumber Number) {
  Call &Failed = m_Calls.at(Number);
  Failed.m_Phase = Phase::Failed;
  Failed.m_FailedAt = Failed.m_Endpoint;
  Failed.m_FirstByteAt.reset();
  m_Failed.push_back(Number);
  if (m_Failed.size() <= RememberedFailures)
    return;
  forget(m_Failed.front());
  m_Failed.pop_front();
}

void Scheduler::endInFlight(Call &Ended, CallResult Result,
                            std::uint64_t UsedTokens,
                            std::uint64_t RecomputedTokens,
                            base::TimePoint Time) {
  const WaitingCall &Asked = Ended.m_Call;
  EndpointTarget &Target = m_Targets.at(Ended.m_Endpoint);
  Route &Way = routeOf(Asked.m_Service);
  const auto Used = static_cast<double>(UsedTokens);
  const auto Prompt = static_cast<double>(Asked.m_PromptTokens);
  const auto Computed = static_cast<double>(RecomputedTokens);
  const double Answer = std::max(0.0, Used - Prompt);
  const Work Done = WorkPerCall + Answer + Computed * WorkPerPromptToken;
  --m_InFlight;
  switch (Result) {
  case CallResult::Succeeded:
    Target.noteSucceeded({.m_Sent = Ended.m_SentAt,
                          .m_FirstByte = Ended.m_FirstByteAt.value_or(Time),
                          .m_Ended = Time,
                          .m_AnswerTokens = Answer,
                          .m_ComputedPromptTokens = Computed,
                          .m_LoadWhenSent = Ended.m_LoadWhenSent});
    Target.notePrefixUse(Ended.m_ExpectedHeld, Prompt - Computed);
    m_Programs.noteHeld(Asked.m_Program, Ended.m_Endpoint, Used);
    Way.m_Drain.noteFinished(Done, Way.m_Queue->size() > 0, Time);
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
  Way.m_Queue->correct(Asked.m_Organisation, Done - Ended.m_Estimate);
  m_Programs.addWork(Asked.m_Program, Done);
  if (Target.window().outstanding() == 0 && !Target.endpoint().usable(Time))
    m_RoutesStale = true;
}

double Scheduler::nextRandom() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_Random);
}

} // namespace psp::schedule
