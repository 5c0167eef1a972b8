/// \file
/// The scheduling decisions of one entry instance: which waiting call is sent
/// to which endpoint and when, and which call is refused.
///
/// The scheduler does no I/O and reads no clock. Callers report events together
/// with the time, and fetch the resulting decisions:
/// \code
///   Scheduler.enqueue(Call, Now);
///   for (const Dispatch &Next : Scheduler.takeDispatches(Now))
///     send(Next);
///   for (const Refusal &Next : Scheduler.takeRefusals(Now))
///     answer(Next);
///   wakeAt(Scheduler.nextEvent());
/// \endcode

#ifndef PSP_SCHEDULE_SCHEDULER_H
#define PSP_SCHEDULE_SCHEDULER_H

#include "schedule/CallQueue.h"
#include "schedule/Calls.h"
#include "schedule/EndpointTarget.h"
#include "schedule/ProgramTracker.h"
#include "schedule/RetryBudget.h"
#include "schedule/Route.h"
#include "schedule/RoutingPolicy.h"
#include "schedule/SchedulerStatus.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::schedule {

struct SchedulerOptions {
  base::DataCentreId m_DataCentre{};
  std::size_t m_MaxQueuedCalls = 2000;
  std::uint64_t m_Seed = 1;
  double m_RetryShare = 0.1;  ///< Retries per first attempt.
  double m_RetryBurst = 10.0; ///< Maximum of unused retries that accumulate.
  /// Entry instances of the data centre that share each endpoint's slots.
  std::uint32_t m_ShareCount = 1;
  QueueOptions m_Queue{};
  RoutingStrategy m_Routing = RoutingStrategy::PrefixAffinity;
  WindowOptions m_Window{};
  HealthOptions m_Health{};
  /// How long a call waits while no endpoint serves it.
  base::Duration m_NoEndpointGrace = base::seconds(1);
  base::Duration m_RetryDelay = base::milliseconds(50);
  /// Maximum time that a call waits for the endpoint that has its prefix
  /// cached.
  base::Duration m_MaxAffinityWait = base::seconds(2);
  /// Refuses a call on arrival if it isn't expected to be sent by its deadline.
  bool m_RefuseEarly = true;
};

class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);

  /// \name Commands
  /// @{

  /// Applies an endpoint's announcement, which may also be that it leaves.
  /// Throws UserError when a mandatory field is missing.
  void announce(const messages::EndpointState &State, base::TimePoint Time);

  void setShareCount(std::uint32_t Count, base::TimePoint Time);

  /// Other data centres, whose endpoints are used while there is no usable
  /// local one.
  void setReachableDataCentres(std::vector<base::DataCentreId> DataCentres);

  /// Queues a call or refuses it at once; see takeRefusals().
  void enqueue(const WaitingCall &Call, base::TimePoint Time);

  /// Removes a call whose caller has disconnected. Has no effect if the call no
  /// longer waits.
  void remove(CallNumber Call);

  /// Calls to be sent now. Each occupies a slot until finished() or retry().
  std::vector<Dispatch> takeDispatches(base::TimePoint Time);

  /// Calls that were refused before they were sent.
  std::vector<Refusal> takeRefusals(base::TimePoint Time);

  /// Endpoints that should free the memory of an ended program.
  std::vector<Release> takeReleases();

  /// The first byte of the answer has arrived.
  void firstByte(CallNumber Call, base::TimePoint Time);

  /// A sent call has ended and its slot is free. \p UsedTokens counts the
  /// tokens of prompt and answer, \p RecomputedTokens the prompt tokens that
  /// the endpoint had to compute.
  void finished(CallNumber Call, CallResult Result, std::uint64_t UsedTokens,
                std::uint64_t RecomputedTokens, base::TimePoint Time);

  /// Queues a failed call again, for another endpoint. Called instead of
  /// finished() or after it. Returns false if the call may not be repeated, a
  /// byte of its answer has arrived, its deadline has passed, or the retry
  /// budget is exhausted; the call has then ended as failed.
  bool retry(CallNumber Call, base::TimePoint Time);

  /// The program has ended or was abandoned.
  void programEnded(const base::ProgramId &Program);

  /// @}
  /// \name Queries
  /// @{

  const EndpointRegistry &endpoints() const { return m_Registry; }

  /// When takeDispatches() must be called at the latest if nothing else
  /// happens. After a call of takeDispatches(), the result is later than the
  /// time passed to it.
  std::optional<base::TimePoint> nextEvent() const;

  std::size_t queuedCalls() const { return m_Queued; }
  std::size_t callsInFlight() const { return m_InFlight; }

  /// The state shown to operators.
  SchedulerStatus status() const;

  /// Throws InternalError when counters and containers are inconsistent. For
  /// randomised tests: takes time proportional to the number of calls.
  void verify() const;

  /// @}

private:
  enum class Phase { Queued, Parked, Delayed, InFlight, Failed };

  struct Call {
    WaitingCall m_Request;
    Phase m_Phase = Phase::Queued;
    Work m_EstimatedWork = 0.0;
    /// Prompt tokens expected in the endpoint's cache.
    double m_ExpectedCachedTokens = 0.0;
    double m_LoadWhenSent = 0.0;
    std::uint32_t m_Attempts = 0;
    base::TimePoint m_EnqueuedAt;
    base::TimePoint m_SentAt;
    std::optional<base::TimePoint> m_FirstByteAt;
    /// End of the wait of a parked or delayed call.
    base::TimePoint m_WaitUntil;
    /// Parked, but may now be sent to any endpoint.
    bool m_MayUseAnyEndpoint = false;
    /// Where the call is in flight, or which endpoint it is parked for.
    base::EndpointId m_Endpoint;
    base::EndpointId m_FailedAt; ///< Empty if it has not failed yet.
  };

  struct Choice {
    EndpointTarget *m_Target = nullptr;
    bool m_CanAccept = false;
    double m_CachedTokens = 0.0;
    DecisionReason m_Reason = DecisionReason::Cheapest;
  };

  // Scheduler.cpp: events of calls.
  Route &routeOf(const std::string &Service);
  bool shouldRefuseEarly(const Route &ServiceRoute, const WaitingCall &Call,
                         base::TimePoint Time);
  void refuse(CallNumber Number, base::ErrorKind Kind,
              base::Duration RetryAfter);
  base::Duration retryAfter(const Route &ServiceRoute);
  void removeWaiting(Call &Waiting);
  void pushToQueue(Call &Waiting, base::TimePoint Time);
  void eraseCall(CallNumber Number);
  void retainFailed(CallNumber Number);
  void completeInFlight(Call &Ended, CallResult Result,
                        std::uint64_t UsedTokens,
                        std::uint64_t RecomputedTokens, base::TimePoint Time);
  double nextRandom();

  // SchedulerDispatch.cpp: assignment of calls to endpoints.
  void advance(base::TimePoint Time);
  void rebuildRoutes(base::TimePoint Time);
  void expireDeadlines(base::TimePoint Time);
  void requeueDelayed(base::TimePoint Time);
  void refuseWithoutEndpoint(Route &ServiceRoute, base::TimePoint Time);
  void serveParked(Route &ServiceRoute, base::TimePoint Time);
  void serveQueue(Route &ServiceRoute, base::TimePoint Time);
  void assign(Route &ServiceRoute, Call &Next, bool MayWait,
              base::TimePoint Time);
  const EndpointTarget *findTarget(const base::EndpointId &Endpoint) const;
  Choice choose(const Route &ServiceRoute, const Call &Next, bool MayWait,
                base::TimePoint Time);
  void dispatch(Call &Next, const Choice &Chosen, base::TimePoint Time);
  void park(Route &ServiceRoute, Call &Next, const Choice &Chosen,
            base::TimePoint Time);
  void delay(Call &Next, base::Duration Length, base::TimePoint Time);
  void recordDecision(const Call &Next, const Choice &Chosen,
                      base::TimePoint Time);

  SchedulerOptions m_Options;
  std::mt19937_64 m_Random;
  EndpointRegistry m_Registry;
  std::unordered_map<base::EndpointId, EndpointTarget> m_Targets;
  std::vector<base::DataCentreId> m_ReachableDataCentres;
  bool m_RoutesStale = false;
  std::map<std::string, Route> m_Routes;
  std::unique_ptr<RoutingPolicy> m_Policy;
  ProgramTracker m_Programs;
  RetryBudget m_RetryBudget;
  std::unordered_map<CallNumber, Call> m_Calls;
  /// Of waiting calls.
  std::set<std::pair<base::TimePoint, CallNumber>> m_Deadlines;
  std::set<std::pair<base::TimePoint, CallNumber>> m_Delayed;
  /// Calls that may still be retried, oldest first.
  std::deque<CallNumber> m_Failed;
  std::size_t m_Queued = 0; ///< Number of queued, parked and delayed calls.
  std::size_t m_InFlight = 0;
  std::vector<Dispatch> m_Dispatches;
  std::vector<Refusal> m_Refusals;
  std::deque<Decision> m_Decisions;
  std::vector<RoutingCandidate> m_Candidates; ///< Reused to avoid allocations.
};

} // namespace psp::schedule

#endif
