/// \file
/// The scheduling decisions of one entry instance: which waiting call goes
/// to which endpoint and when, and which is refused.
///
/// The scheduler is pure. It is told what happens, with the time, and what it
/// decides is taken out:
/// \code
///   Scheduler.enqueue(Call, Now);
///   for (const Dispatch &Each : Scheduler.takeDispatches(Now))
///     send(Each);
///   for (const Refusal &Each : Scheduler.takeRefusals(Now))
///     answer(Each);
///   wakeAt(Scheduler.nextEvent());
/// \endcode

#ifndef PSP_SCHEDULE_SCHEDULER_H
#define PSP_SCHEDULE_SCHEDULER_H

#include "schedule/CallQueue.h"
#include "schedule/Calls.h"
#include "schedule/EndpointTarget.h"
#include "schedule/ProgramTable.h"
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
  double m_RetryShare = 0.1;    ///< Retries for each first attempt.
  double m_RetryReserve = 10.0; ///< Retries that can be saved up.
  /// Entry instances that share each endpoint's window in the data centre.
  std::uint32_t m_ShareCount = 1;
  QueueOptions m_Queue{};
  RoutingOrder m_Routing = RoutingOrder::PrefixAffinity;
  WindowOptions m_Window{};
  HealthOptions m_Health{};
  /// How long a call waits for the first endpoint of its service.
  base::Duration m_NoEndpointGrace = base::seconds(1);
  base::Duration m_RetryDelay = base::milliseconds(50);
  /// Longest wait for the endpoint that holds the prefix.
  base::Duration m_MaxAffinityWait = base::seconds(2);
  /// Refuses a call at once that isn't expected to be sent by its deadline.
  bool m_RefuseEarly = true;
};

class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);

  /// \name Commands
  /// @{

  /// Takes in what an endpoint announced, its leaving included. Throws
  /// UserError when a mandatory field is missing.
  void announce(const messages::EndpointState &State, base::TimePoint Time);

  void setShareCount(std::uint32_t Count, base::TimePoint Time);

  /// Data centres whose endpoints are used while there is none here.
  void setReachableDataCentres(std::vector<base::DataCentreId> DataCentres);

  /// Queues a call, or refuses it at once: see takeRefusals().
  void enqueue(const WaitingCall &Call, base::TimePoint Time);

  /// The caller is gone while the call was waiting. Nothing happens when the
  /// call isn't waiting any more.
  void remove(CallNumber Call);

  /// Calls to be sent now. Each takes a slot until finished() or retry().
  std::vector<Dispatch> takeDispatches(base::TimePoint Time);

  /// Calls that were given up before they were sent.
  std::vector<Refusal> takeRefusals(base::TimePoint Time);

  /// Endpoints that are to forget a program.
  std::vector<Release> takeReleases();

  /// The first byte of the answer has arrived.
  void firstByte(CallNumber Call, base::TimePoint Time);

  /// A call that was sent has ended: its slot is free. \p UsedTokens counts
  /// prompt and answer, \p RecomputedTokens those of the prompt that the
  /// endpoint had to compute.
  void finished(CallNumber Call, CallResult Result, std::uint64_t UsedTokens,
                std::uint64_t RecomputedTokens, base::TimePoint Time);

  /// Queues a failed call once more, for another endpoint. Called in place of
  /// finished() or after it. False when the call may not be repeated, has
  /// streamed a byte, is past its deadline, or the retry budget is spent; the
  /// call has then ended as failed.
  bool retry(CallNumber Call, base::TimePoint Time);

  /// The program has ended or was given up.
  void programEnded(const base::ProgramId &Program);

  /// @}
  /// \name Queries
  /// @{

  const EndpointRegistry &endpoints() const { return m_Registry; }

  /// When takeDispatches() has something to do at the latest, if nothing else
  /// happens. After it was called with some time, this is later than that.
  std::optional<base::TimePoint> nextEvent() const;

  std::size_t queuedCalls() const { return m_Queued; }
  std::size_t callsInFlight() const { return m_InFlight; }

  /// Everything an operator may ask for.
  SchedulerStatus status() const;

  /// Throws InternalError when the parts disagree. For randomised runs; takes
  /// time in proportion to the calls.
  void verify() const;

  /// @}

private:
  enum class Phase { Queued, Parked, Delayed, InFlight, Failed };

  struct Call {
    WaitingCall m_Call;
    Phase m_Phase = Phase::Queued;
    Work m_Estimate = 0.0;
    double m_ExpectedHeld = 0.0; ///< Prompt tokens expected at the endpoint.
    double m_LoadWhenSent = 0.0;
    std::uint32_t m_Attempts = 0;
    base::TimePoint m_EnqueuedAt;
    base::TimePoint m_SentAt;
    std::optional<base::TimePoint> m_FirstByteAt;
    base::TimePoint m_WaitUntil; ///< Of a parked or delayed call.
    bool m_WaitOver = false;     ///< Parked, but may go anywhere now.
    base::EndpointId m_Endpoint; ///< Parked for or in flight at.
    base::EndpointId m_FailedAt; ///< Empty: it has not failed yet.
  };

  struct Choice {
    EndpointTarget *m_Target = nullptr;
    bool m_HasRoom = false;
    double m_HeldTokens = 0.0;
    DecisionReason m_Reason = DecisionReason::Cheapest;
  };

  // Scheduler.cpp: what happens to calls.
  Route &routeOf(const std::string &Service);
  bool refusedEarly(const Route &Target, const WaitingCall &Call,
                    base::TimePoint Time);
  void refuse(CallNumber Number, base::ErrorKind Kind,
              base::Duration RetryAfter);
  base::Duration retryAfter(const Route &Target);
  void unqueue(Call &Target);
  void pushToQueue(Call &Target, base::TimePoint Time);
  void forget(CallNumber Number);
  void rememberFailed(CallNumber Number);
  void endInFlight(Call &Target, CallResult Result, std::uint64_t UsedTokens,
                   std::uint64_t RecomputedTokens, base::TimePoint Time);
  double nextRandom();

  // SchedulerDispatch.cpp: which call goes where.
  void advance(base::TimePoint Time);
  void rebuildRoutes(base::TimePoint Time);
  void expireDeadlines(base::TimePoint Time);
  void requeueDelayed(base::TimePoint Time);
  void refuseWithoutEndpoint(Route &Target, base::TimePoint Time);
  void serveParked(Route &Target, base::TimePoint Time);
  void serveQueue(Route &Target, base::TimePoint Time);
  void place(Route &Target, Call &Next, bool MayWait, base::TimePoint Time);
  const EndpointTarget *knownTarget(const base::EndpointId &Endpoint) const;
  Choice choose(const Route &Target, const Call &Next, bool MayWait,
                base::TimePoint Time);
  void dispatch(Call &Next, const Choice &Chosen, base::TimePoint Time);
  void park(Route &Target, Call &Next, const Choice &Chosen,
            base::TimePoint Time);
  void delay(Call &Next, base::Duration Length, base::TimePoint Time);
  void note(const Call &Next, const Choice &Chosen, base::TimePoint Time);

  SchedulerOptions m_Options;
  std::mt19937_64 m_Random;
  EndpointRegistry m_Registry;
  std::unordered_map<base::EndpointId, EndpointTarget> m_Targets;
  std::vector<base::DataCentreId> m_ReachableDataCentres;
  bool m_RoutesStale = false;
  std::map<std::string, Route> m_Routes;
  std::unique_ptr<RoutingPolicy> m_Policy;
  ProgramTable m_Programs;
  RetryBudget m_RetryBudget;
  std::unordered_map<CallNumber, Call> m_Calls;
  std::set<std::pair<base::TimePoint, CallNumber>> m_Deadlines; ///< Waiting.
  std::set<std::pair<base::TimePoint, CallNumber>> m_Delayed;
  std::deque<CallNumber> m_Failed; ///< May still be retried, oldest first.
  std::size_t m_Queued = 0;        ///< Queued, parked or delayed.
  std::size_t m_InFlight = 0;
  std::vector<Dispatch> m_Dispatches;
  std::vector<Refusal> m_Refusals;
  std::deque<Decision> m_Decisions;
  std::vector<RoutingCandidate> m_Candidates; ///< Kept for its memory.
};

} // namespace psp::schedule

#endif
