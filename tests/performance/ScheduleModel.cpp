#include "ScheduleModel.h"

#include "bench/BatchEngine.h"
#include "bench/PrefixCache.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

namespace psp::schedule::model {
namespace {

constexpr double RunSeconds = 180.0;
constexpr double WarmUpSeconds = 30.0;
/// Programs that start later are not measured.
constexpr double LastStartSeconds = 150.0;
constexpr unsigned DataCentres = 3;
constexpr unsigned EntriesPerDataCentre = 3;
constexpr unsigned ModelsPerDataCentre = 3;
constexpr unsigned OrderWorkersPerDataCentre = 2;
constexpr std::uint64_t CacheTokens = 60000;
constexpr double CallDeadlineSeconds = 20.0;
constexpr unsigned MaxAttempts = 4; ///< Attempts of one turn by its caller.
constexpr double OutageStartSeconds = 60.0;
constexpr double OutageEndSeconds = 70.0;
constexpr double AlarmsPerSecond = 2.0;
/// Programs per second that saturate the model workers, for programs of six
/// turns and the prompts below.
constexpr double CapacityProgramsPerSecond = 7.0;
constexpr std::array<double, 8> OrganisationWeights = {8, 6, 4, 1, 1, 1, 1, 1};
constexpr unsigned HeavyOrganisation = 7;
constexpr double HeavyFactor = 5.0;

base::TimePoint at(double Seconds) {
  return base::TimePoint(
      base::Duration(std::llround((Seconds + 1000.0) * 1e6)));
}
double secondsOf(base::TimePoint Time) {
  return std::chrono::duration<double>(Time.time_since_epoch()).count() -
         1000.0;
}

struct Program {
  base::ProgramId m_Id;
  unsigned m_Organisation = 0;
  unsigned m_Entry = 0;
  unsigned m_TurnsLeft = 0;
  unsigned m_Attempts = 0;
  bool m_Alarm = false;
  bool m_Notice = false;    ///< An alarm that is sent to a notice worker.
  bool m_OrderNext = false; ///< The next call is sent to an order worker.
  std::vector<bench::Prefix> m_Prefixes;
  std::uint64_t m_PromptTokens = 0;
  /// Prompt tokens that earlier turns contained.
  std::uint64_t m_SeenTokens = 0;
  std::uint64_t m_AnswerTokens = 0;
  double m_StartSeconds = 0.0;
  double m_PausedSeconds = 0.0;
  double m_IdealSeconds = 0.0; ///< Without any other load.
};

struct Call {
  std::size_t m_Program = 0;
  std::size_t m_Worker = 0;
  std::uint64_t m_ComputedTokens = 0;
  bool m_HasStarted = false;
  bool m_IsAbandoned = false; ///< The caller no longer waits for it.
};

struct Worker {
  messages::EndpointState m_State;
  bench::BatchEngine m_Engine;
  bench::PrefixCache m_Cache{CacheTokens};
  bool m_IsStepping = false;
  std::uint32_t m_Running = 0; ///< Reported with the next announcement.
  std::uint32_t m_Waiting = 0;
};

struct Entry {
  Scheduler m_Scheduler;
  base::TimePoint m_WakeTime;
};

struct Event {
  double m_Time = 0.0;
  std::uint64_t m_Sequence = 0;
  std::function<void()> m_Action;
  bool operator<(const Event &Other) const {
    return m_Time != Other.m_Time ? m_Time > Other.m_Time
                                  : m_Sequence > Other.m_Sequence;
  }
};

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0.0;
  std::sort(Values.begin(), Values.end());
  const auto Position =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[Position];
}

class Model {
public:
  explicit Model(const Setup &Configuration)
      : m_Setup(Configuration), m_Random(Configuration.m_Seed) {
    makeWorkers();
    for (unsigned I = 0; I < DataCentres * EntriesPerDataCentre; ++I)
      m_Entries.push_back(makeEntry(I));
  }

  Outcome run() {
    for (std::size_t I = 0; I < m_Workers.size(); ++I)
      after(0.0, [this, I] { announce(I); });
    after(0.1, [this] { startProgram(); });
    after(0.1, [this] { startAlarm(); });
    while (!m_Events.empty() && m_Events.top().m_Time < RunSeconds) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_NowSeconds = Next.m_Time;
      Next.m_Action();
    }
    return outcome();
  }

private:
  std::string dataCentreName(unsigned Number) const {
    return "dc" + std::to_string(Number);
  }

  Entry makeEntry(unsigned Number) {
    SchedulerOptions Options{
        .m_DataCentre =
            base::DataCentreId(dataCentreName(Number / EntriesPerDataCentre)),
        .m_MaxQueuedCalls = m_Setup.m_OverloadProtection ? 2000U : 1000000U,
        .m_Seed = m_Setup.m_Seed + Number,
        .m_RetryShare = m_Setup.m_OverloadProtection ? 0.1 : 100.0,
        .m_ShareCount = EntriesPerDataCentre,
        .m_Queue = m_Setup.m_Queue,
        .m_Routing = m_Setup.m_Routing,
        .m_Window = m_Setup.m_Window,
        .m_RefuseEarly = m_Setup.m_OverloadProtection};
    return {.m_Scheduler = Scheduler(Options), .m_WakeTime = {}};
  }

  void makeWorkers() {
    for (unsigned I = 0; I < DataCentres; ++I) {
      for (unsigned J = 0; J < ModelsPerDataCentre; ++J)
        addWorker(I, "chat", {});
      for (unsigned J = 0; J < OrderWorkersPerDataCentre; ++J)
        addWorker(I, "order",
                  {.m_TokenTime = base::milliseconds(20), .m_Slots = 4});
    }
  }

  void addWorker(unsigned DataCentre, const std::string &Service,
                 const bench::BatchEngineOptions &Options) {
    messages::EndpointState State;
    State.set_endpoint("w" + std::to_string(m_Workers.size()));
    State.set_data_centre(dataCentreName(DataCentre));
    State.set_address("127.0.0.1:1");
    State.add_services(Service);
    State.set_incarnation(1);
    State.set_remaining_ms(3000);
    State.set_slots(static_cast<std::uint32_t>(Options.m_Slots));
    m_Workers.push_back(
        {.m_State = State, .m_Engine = bench::BatchEngine(Options)});
  }

  void after(double Seconds, std::function<void()> Action) {
    m_Events.push({.m_Time = m_NowSeconds + Seconds,
                   .m_Sequence = ++m_LastEventSequence,
                   .m_Action = std::move(Action)});
  }

  double exponential(double Mean) {
    return std::exponential_distribution<double>(1.0 / Mean)(m_Random);
  }
  std::uint64_t randomBetween(std::uint64_t Min, std::uint64_t Max) {
    return std::uniform_int_distribution<std::uint64_t>(Min, Max)(m_Random);
  }
  bool inOutage() const {
    return m_Setup.m_WithOutage && m_NowSeconds >= OutageStartSeconds &&
           m_NowSeconds < OutageEndSeconds;
  }

  /// Reports the load of one second ago to all entry instances.
  void announce(std::size_t Number) {
    Worker &Sender = m_Workers[Number];
    Sender.m_State.set_sequence(Sender.m_State.sequence() + 1);
    Sender.m_State.set_running(Sender.m_Running);
    Sender.m_State.set_waiting(Sender.m_Waiting);
    Sender.m_Running = static_cast<std::uint32_t>(Sender.m_Engine.running());
    Sender.m_Waiting = static_cast<std::uint32_t>(Sender.m_Engine.waiting());
    for (Entry &Receiver : m_Entries) {
      Receiver.m_Scheduler.announce(Sender.m_State, at(m_NowSeconds));
      processDecisions(Receiver);
    }
    after(1.0, [this, Number] { announce(Number); });
  }

  double weight(unsigned Organisation) const {
    const bool Heavy =
        m_Setup.m_HeavyOrganisation && Organisation == HeavyOrganisation;
    return OrganisationWeights[Organisation] * (Heavy ? HeavyFactor : 1.0);
  }

  unsigned pickOrganisation() {
    double Sum = 0.0;
    for (unsigned I = 0; I < OrganisationWeights.size(); ++I)
      Sum += weight(I);
    double Remaining =
        std::uniform_real_distribution<double>(0.0, Sum)(m_Random);
    for (unsigned I = 0; I < OrganisationWeights.size(); ++I) {
      Remaining -= weight(I);
      if (Remaining < 0.0)
        return I;
    }
    return 0;
  }

  void startProgram() {
    const double Rate = CapacityProgramsPerSecond * m_Setup.m_Load;
    after(exponential(1.0 / Rate), [this] { startProgram(); });
    const unsigned Mean = m_Setup.m_Deployment.m_MeanTurns;
    Program New;
    New.m_Organisation = pickOrganisation();
    New.m_TurnsLeft = static_cast<unsigned>(randomBetween(1, 2 * Mean - 1));
    start(std::move(New),
          randomBetween(m_Setup.m_Deployment.m_MeanPromptTokens / 2,
                        m_Setup.m_Deployment.m_MeanPromptTokens * 3 / 2));
  }

  void startAlarm() {
    after(exponential(1.0 / AlarmsPerSecond), [this] { startAlarm(); });
    Program New;
    New.m_Alarm = true;
    New.m_OrderNext = randomBetween(0, 1) == 0;
    New.m_Notice = New.m_OrderNext;
    New.m_TurnsLeft = 1;
    start(std::move(New), 200);
  }

  void start(Program New, std::uint64_t Tokens) {
    const std::size_t Number = m_Programs.size();
    New.m_Id = base::ProgramId("p" + std::to_string(Number));
    New.m_Entry = static_cast<unsigned>(randomBetween(0, m_Entries.size() - 1));
    New.m_StartSeconds = m_NowSeconds;
    m_Programs.push_back(std::move(New));
    addMessage(Number, Tokens);
    issueCall(Number);
  }

  void addMessage(std::size_t Number, std::uint64_t Tokens) {
    Program &Target = m_Programs[Number];
    const std::uint64_t Hash = Number * 1000 + Target.m_Prefixes.size() + 1;
    Target.m_Prefixes.push_back({.m_Hash = Hash, .m_Tokens = Tokens});
    Target.m_PromptTokens += Tokens;
  }

  /// Issues the next call of a program, or retries the same one.
  void issueCall(std::size_t Number) {
    Program &Caller = m_Programs[Number];
    if (Caller.m_Attempts == 0) {
      Caller.m_AnswerTokens =
          Caller.m_OrderNext ? 1
                             : (Caller.m_Alarm ? 30 : randomBetween(50, 300));
      Caller.m_IdealSeconds += idealSeconds(Caller);
    }
    after(m_Setup.m_Deployment.m_ClientDelayMs / 1000.0,
          [this, Number] { enqueue(Number); });
  }

  double idealSeconds(const Program &Caller) const {
    if (Caller.m_OrderNext)
      return 0.02;
    const auto NewPrompt =
        static_cast<double>(Caller.m_PromptTokens - Caller.m_SeenTokens);
    return NewPrompt * 0.00005 +
           static_cast<double>(Caller.m_AnswerTokens) * 0.01;
  }

  void enqueue(std::size_t ProgramNumber) {
    const Program &Caller = m_Programs[ProgramNumber];
    const CallNumber Number = ++m_LastCall;
    m_Calls[Number] = {.m_Program = ProgramNumber};
    const double Deadline =
        m_Setup.m_OverloadProtection ? CallDeadlineSeconds : 1e6;
    WaitingCall Waiting{
        .m_Call = Number,
        .m_Program = Caller.m_Id,
        .m_Organisation = base::OrganisationId(
            Caller.m_Alarm ? "alarms"
                           : "o" + std::to_string(Caller.m_Organisation)),
        .m_Service = Caller.m_OrderNext ? "order" : "chat",
        .m_Class = Caller.m_Alarm ? CallClass::Alarm : CallClass::Normal,
        .m_PromptTokens = Caller.m_OrderNext ? 0 : Caller.m_PromptTokens,
        .m_MaxTokens = Caller.m_AnswerTokens,
        .m_Repeatable = !Caller.m_OrderNext,
        .m_Deadline = at(m_NowSeconds + Deadline)};
    Entry &OwnerEntry = m_Entries[Caller.m_Entry];
    OwnerEntry.m_Scheduler.enqueue(Waiting, at(m_NowSeconds));
    processDecisions(OwnerEntry);
    if (!m_Setup.m_OverloadProtection)
      after(CallDeadlineSeconds, [this, Number] { abandonCall(Number); });
  }

  /// Without deadlines the caller abandons a slow call and retries, and the
  /// abandoned call still runs.
  void abandonCall(CallNumber Number) {
    const auto Position = m_Calls.find(Number);
    if (Position == m_Calls.end() || Position->second.m_IsAbandoned)
      return;
    Position->second.m_IsAbandoned = true;
    retryOrAbandon(Position->second.m_Program, 0.0);
  }

  void retryOrAbandon(std::size_t Number, double Seconds) {
    Program &Refused = m_Programs[Number];
    ++Refused.m_Attempts;
    if (Refused.m_Attempts < MaxAttempts) {
      after(Seconds, [this, Number] { issueCall(Number); });
      return;
    }
    if (isMeasured(Refused))
      ++m_Outcome.m_AbandonedPrograms;
    m_Entries[Refused.m_Entry].m_Scheduler.programEnded(Refused.m_Id);
  }

  bool isMeasured(const Program &Ended) const {
    return Ended.m_StartSeconds >= WarmUpSeconds &&
           Ended.m_StartSeconds < LastStartSeconds;
  }

  void processDecisions(Entry &OwnerEntry) {
    for (const Dispatch &Sent :
         OwnerEntry.m_Scheduler.takeDispatches(at(m_NowSeconds)))
      send(Sent);
    for (const Refusal &Refused :
         OwnerEntry.m_Scheduler.takeRefusals(at(m_NowSeconds)))
      handleRefusal(Refused);
    for (const Release &Released : OwnerEntry.m_Scheduler.takeReleases())
      workerOf(Released.m_Endpoint).m_Cache.release(Released.m_Program.str());
    const auto Next = OwnerEntry.m_Scheduler.nextEvent();
    if (!Next || (OwnerEntry.m_WakeTime > at(m_NowSeconds) &&
                  OwnerEntry.m_WakeTime <= *Next))
      return;
    OwnerEntry.m_WakeTime = *Next;
    after(std::max(0.0, secondsOf(*Next) - m_NowSeconds),
          [this, &OwnerEntry] { processDecisions(OwnerEntry); });
  }

  std::size_t workerNumber(const base::EndpointId &Endpoint) const {
    return std::stoul(Endpoint.str().substr(1));
  }
  Worker &workerOf(const base::EndpointId &Endpoint) {
    return m_Workers[workerNumber(Endpoint)];
  }

  void handleRefusal(const Refusal &Refused) {
    const auto Position = m_Calls.find(Refused.m_Call);
    const std::size_t Number = Position->second.m_Program;
    const bool IsAbandoned = Position->second.m_IsAbandoned;
    m_Calls.erase(Position);
    ++m_Outcome.m_Refusals;
    const double Wait =
        std::chrono::duration<double>(Refused.m_RetryAfter).count();
    if (!IsAbandoned)
      retryOrAbandon(Number, Wait);
  }

  void send(const Dispatch &Sent) {
    Call &Target = m_Calls.at(Sent.m_Call);
    Target.m_Worker = workerNumber(Sent.m_Endpoint);
    if (inOutage()) {
      after(0.1, [this, Number = Sent.m_Call] { failCall(Number); });
      return;
    }
    const Program &Caller = m_Programs[Target.m_Program];
    Worker &Engine = m_Workers[Target.m_Worker];
    Target.m_ComputedTokens = 0;
    if (!Caller.m_OrderNext)
      Target.m_ComputedTokens = Caller.m_PromptTokens -
                                Engine.m_Cache.cachedTokens(Caller.m_Prefixes);
    Engine.m_Engine.submit(Sent.m_Call, Target.m_ComputedTokens,
                           Caller.m_AnswerTokens);
    step(Target.m_Worker);
  }

  void failCall(CallNumber Number) {
    const Call Failed = m_Calls.at(Number);
    Entry &OwnerEntry = m_Entries[m_Programs[Failed.m_Program].m_Entry];
    if (!OwnerEntry.m_Scheduler.retry(Number, at(m_NowSeconds))) {
      m_Calls.erase(Number);
      if (!Failed.m_IsAbandoned)
        retryOrAbandon(Failed.m_Program,
                       m_Setup.m_OverloadProtection ? 1.0 : 0.0);
    }
    processDecisions(OwnerEntry);
  }

  void step(std::size_t Number) {
    Worker &Engine = m_Workers[Number];
    if (Engine.m_IsStepping)
      return;
    const base::Duration Length = Engine.m_Engine.beginStep();
    if (Length == base::Duration::zero())
      return;
    Engine.m_IsStepping = true;
    after(std::chrono::duration<double>(Length).count(),
          [this, Number] { endStep(Number); });
  }

  void endStep(std::size_t Number) {
    Worker &Engine = m_Workers[Number];
    Engine.m_IsStepping = false;
    for (const bench::Progress &Advanced : Engine.m_Engine.endStep()) {
      Call &Target = m_Calls.at(Advanced.m_Call);
      Entry &OwnerEntry = m_Entries[m_Programs[Target.m_Program].m_Entry];
      if (!Target.m_HasStarted)
        OwnerEntry.m_Scheduler.firstByte(Advanced.m_Call, at(m_NowSeconds));
      Target.m_HasStarted = true;
      if (Advanced.m_Finished)
        finishCall(Advanced.m_Call);
    }
    step(Number);
  }

  void finishCall(CallNumber Number) {
    const Call Ended = m_Calls.at(Number);
    m_Calls.erase(Number);
    Program &Caller = m_Programs[Ended.m_Program];
    Entry &OwnerEntry = m_Entries[Caller.m_Entry];
    const std::uint64_t Prompt = Caller.m_OrderNext ? 0 : Caller.m_PromptTokens;
    OwnerEntry.m_Scheduler.finished(Number, CallResult::Succeeded,
                                    Prompt + Caller.m_AnswerTokens,
                                    Ended.m_ComputedTokens, at(m_NowSeconds));
    if (!Ended.m_IsAbandoned)
      handleAnswer(Ended);
    processDecisions(OwnerEntry);
  }

  void handleAnswer(const Call &Ended) {
    Program &Caller = m_Programs[Ended.m_Program];
    countTokens(Caller, Ended);
    Caller.m_Attempts = 0;
    if (Caller.m_OrderNext) {
      Caller.m_OrderNext = false;
      if (Caller.m_Notice)
        Caller.m_TurnsLeft = 0;
    } else {
      Caller.m_SeenTokens = Caller.m_PromptTokens;
      addMessage(Ended.m_Program, Caller.m_AnswerTokens);
      Caller.m_SeenTokens += Caller.m_AnswerTokens;
      m_Workers[Ended.m_Worker].m_Cache.insert(Caller.m_Id.str(),
                                               Caller.m_Prefixes);
      --Caller.m_TurnsLeft;
    }
    const double Delay = m_Setup.m_Deployment.m_ClientDelayMs / 1000.0;
    if (Caller.m_TurnsLeft == 0) {
      after(Delay, [this, Number = Ended.m_Program] { endProgram(Number); });
      return;
    }
    const double Pause = exponential(m_Setup.m_Deployment.m_MeanPauseSeconds);
    Caller.m_PausedSeconds += Pause;
    Caller.m_OrderNext = randomBetween(0, 9) == 0;
    if (!Caller.m_OrderNext)
      addMessage(Ended.m_Program, randomBetween(50, 500));
    after(Delay + Pause,
          [this, Number = Ended.m_Program] { issueCall(Number); });
  }

  void countTokens(const Program &Caller, const Call &Ended) {
    const auto IntervalIndex = static_cast<std::size_t>(m_NowSeconds / 10.0);
    m_Outcome.m_TokensPerSecondByTime.resize(
        static_cast<std::size_t>(RunSeconds / 10.0), 0.0);
    m_Outcome.m_TokensPerSecondByTime[IntervalIndex] +=
        static_cast<double>(Caller.m_AnswerTokens) / 10.0;
    if (m_NowSeconds >= WarmUpSeconds && m_NowSeconds < LastStartSeconds)
      m_AnswerTokens += static_cast<double>(Caller.m_AnswerTokens);
    if (Caller.m_OrderNext)
      return;
    const std::uint64_t NewTokens = Caller.m_PromptTokens - Caller.m_SeenTokens;
    m_SeenTokens += static_cast<double>(Caller.m_SeenTokens);
    m_RecomputedTokens +=
        static_cast<double>(Ended.m_ComputedTokens) -
        static_cast<double>(std::min(NewTokens, Ended.m_ComputedTokens));
  }

  void endProgram(std::size_t Number) {
    Program &Ended = m_Programs[Number];
    Entry &OwnerEntry = m_Entries[Ended.m_Entry];
    OwnerEntry.m_Scheduler.programEnded(Ended.m_Id);
    processDecisions(OwnerEntry);
    Ended.m_Prefixes.clear();
    if (m_NowSeconds >= WarmUpSeconds && m_NowSeconds < LastStartSeconds)
      ++m_EndedPrograms;
    if (!isMeasured(Ended))
      return;
    const double Latency =
        m_NowSeconds - Ended.m_StartSeconds - Ended.m_PausedSeconds;
    if (Ended.m_Alarm) {
      (Ended.m_Notice ? m_Notices : m_Alarms).push_back(Latency);
      return;
    }
    m_Latencies.push_back(Latency);
    m_Slowdowns[Ended.m_Organisation].push_back(Latency / Ended.m_IdealSeconds);
  }

  Outcome outcome() {
    const double Window = LastStartSeconds - WarmUpSeconds;
    m_Outcome.m_P50 = percentile(m_Latencies, 0.5);
    m_Outcome.m_P99 = percentile(m_Latencies, 0.99);
    m_Outcome.m_AlarmP50 = percentile(m_Alarms, 0.5);
    m_Outcome.m_AlarmP99 = percentile(m_Alarms, 0.99);
    m_Outcome.m_NoticeP99 = percentile(m_Notices, 0.99);
    for (const auto &[Organisation, Values] : m_Slowdowns) {
      if (m_Setup.m_HeavyOrganisation && Organisation == HeavyOrganisation)
        continue;
      double Sum = 0.0;
      for (const double Value : Values)
        Sum += Value;
      const double Mean = Sum / static_cast<double>(Values.size());
      m_Outcome.m_WorstSlowdown = std::max(m_Outcome.m_WorstSlowdown, Mean);
      if (OrganisationWeights[Organisation] == 1)
        m_Outcome.m_SmallSlowdown = std::max(m_Outcome.m_SmallSlowdown, Mean);
    }
    m_Outcome.m_RecomputedShare =
        m_SeenTokens == 0.0 ? 0.0 : m_RecomputedTokens / m_SeenTokens;
    m_Outcome.m_ProgramsPerSecond = m_EndedPrograms / Window;
    m_Outcome.m_TokensPerSecond = m_AnswerTokens / Window;
    return m_Outcome;
  }

  Setup m_Setup;
  std::mt19937_64 m_Random;
  double m_NowSeconds = 0.0;
  std::uint64_t m_LastEventSequence = 0;
  std::priority_queue<Event> m_Events;
  std::vector<Worker> m_Workers;
  std::deque<Entry> m_Entries;
  std::deque<Program> m_Programs;
  std::map<CallNumber, Call> m_Calls;
  CallNumber m_LastCall = 0;
  Outcome m_Outcome;
  std::vector<double> m_Latencies;
  std::vector<double> m_Alarms;
  std::vector<double> m_Notices;
  std::map<unsigned, std::vector<double>> m_Slowdowns;
  double m_AnswerTokens = 0.0;
  double m_SeenTokens = 0.0;
  double m_RecomputedTokens = 0.0;
  double m_EndedPrograms = 0.0;
};

} // namespace

Outcome run(const Setup &Setup) { return Model(Setup).run(); }

} // namespace psp::schedule::model
