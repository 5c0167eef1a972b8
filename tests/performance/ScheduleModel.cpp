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
constexpr double WarmSeconds = 30.0;
constexpr double LastStart = 150.0; ///< Programs counted start before it.
constexpr unsigned DataCentres = 3;
constexpr unsigned EntriesPerDataCentre = 3;
constexpr unsigned ModelsPerDataCentre = 3;
constexpr unsigned OrderWorkersPerDataCentre = 2;
constexpr std::uint64_t CacheTokens = 60000;
constexpr double CallDeadlineSeconds = 20.0;
constexpr unsigned MaxTries = 4; ///< Of one turn, by the caller.
constexpr double OutageStart = 60.0;
constexpr double OutageEnd = 70.0;
constexpr double AlarmsPerSecond = 2.0;
/// Programs a second that keep the model workers busy, for a program of six
/// turns and the prompts below.
constexpr double CapacityPrograms = 7.0;
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
  unsigned m_Tries = 0;
  bool m_Alarm = false;
  bool m_Notice = false;    ///< An alarm for a notice worker.
  bool m_OrderNext = false; ///< The next call goes to an order worker.
  std::vector<bench::Prefix> m_Prefixes;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_SeenTokens = 0; ///< Of the prompt, in earlier turns.
  std::uint64_t m_AnswerTokens = 0;
  double m_Started = 0.0;
  double m_Paused = 0.0;
  double m_Ideal = 0.0; ///< Seconds if it were alone.
};

struct Call {
  std::size_t m_Program = 0;
  std::size_t m_Worker = 0;
  std::uint64_t m_Computed = 0;
  bool m_Started = false;
  bool m_GivenUp = false; ///< The caller no longer waits for it.
};

struct Worker {
  messages::EndpointState m_State;
  bench::BatchEngine m_Engine;
  bench::PrefixCache m_Cache{CacheTokens};
  bool m_Stepping = false;
  std::uint32_t m_Running = 0; ///< As reported next time.
  std::uint32_t m_Waiting = 0;
};

struct Entry {
  Scheduler m_Scheduler;
  base::TimePoint m_Wake;
};

struct Event {
  double m_Time = 0.0;
  std::uint64_t m_Order = 0;
  std::function<void()> m_Action;
  bool operator<(const Event &Other) const {
    return m_Time != Other.m_Time ? m_Time > Other.m_Time
                                  : m_Order > Other.m_Order;
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
  explicit Model(const Setup &Chosen)
      : m_Setup(Chosen), m_Random(Chosen.m_Seed) {
    makeWorkers();
    for (unsigned I = 0; I < DataCentres * EntriesPerDataCentre; ++I)
      m_Entries.push_back(makeEntry(I));
  }

  Outcome run() {
    for (std::size_t I = 0; I < m_Workers.size(); ++I)
      after(0.0, [this, I] { announce(I); });
    after(0.1, [this] { arrive(); });
    after(0.1, [this] { raiseAlarm(); });
    while (!m_Events.empty() && m_Events.top().m_Time < RunSeconds) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
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
        .m_MaxQueuedCalls = m_Setup.m_Protected ? 2000U : 1000000U,
        .m_Seed = m_Setup.m_Seed + Number,
        .m_RetryShare = m_Setup.m_Protected ? 0.1 : 100.0,
        .m_ShareCount = EntriesPerDataCentre,
        .m_Queue = m_Setup.m_Queue,
        .m_Routing = m_Setup.m_Routing,
        .m_Window = m_Setup.m_Window,
        .m_RefuseEarly = m_Setup.m_Protected};
    return {.m_Scheduler = Scheduler(Options), .m_Wake = {}};
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
    m_Events.push({.m_Time = m_Now + Seconds,
                   .m_Order = ++m_LastEvent,
                   .m_Action = std::move(Action)});
  }

  double exponential(double Mean) {
    return std::exponential_distribution<double>(1.0 / Mean)(m_Random);
  }
  std::uint64_t between(std::uint64_t Low, std::uint64_t High) {
    return std::uniform_int_distribution<std::uint64_t>(Low, High)(m_Random);
  }
  bool outage() const {
    return m_Setup.m_Outage && m_Now >= OutageStart && m_Now < OutageEnd;
  }

  /// Reports the load of one second ago to all entry instances.
  void announce(std::size_t Number) {
    Worker &Sender = m_Workers[Number];
    Sender.m_State.set_sequence(Sender.m_State.sequence() + 1);
    Sender.m_State.set_running(Sender.m_Running);
    Sender.m_State.set_waiting(Sender.m_Waiting);
    Sender.m_Running = static_cast<std::uint32_t>(Sender.m_Engine.running());
    Sender.m_Waiting = static_cast<std::uint32_t>(Sender.m_Engine.waiting());
    for (Entry &Each : m_Entries) {
      Each.m_Scheduler.announce(Sender.m_State, at(m_Now));
      pump(Each);
    }
    after(1.0, [this, Number] { announce(Number); });
  }

  double weight(unsigned Organisation) const {
    const bool Heavy =
        m_Setup.m_HeavyTenant && Organisation == HeavyOrganisation;
    return OrganisationWeights[Organisation] * (Heavy ? HeavyFactor : 1.0);
  }

  unsigned pickOrganisation() {
    double Sum = 0.0;
    for (unsigned I = 0; I < OrganisationWeights.size(); ++I)
      Sum += weight(I);
    double Point = std::uniform_real_distribution<double>(0.0, Sum)(m_Random);
    for (unsigned I = 0; I < OrganisationWeights.size(); ++I) {
      Point -= weight(I);
      if (Point < 0.0)
        return I;
    }
    return 0;
  }

  void arrive() {
    const double Rate = CapacityPrograms * m_Setup.m_Load;
    after(exponential(1.0 / Rate), [this] { arrive(); });
    const unsigned Mean = m_Setup.m_Deployment.m_MeanTurns;
    Program New;
    New.m_Organisation = pickOrganisation();
    New.m_TurnsLeft = static_cast<unsigned>(between(1, 2 * Mean - 1));
    start(std::move(New), between(m_Setup.m_Deployment.m_MeanPrompt / 2,
                                  m_Setup.m_Deployment.m_MeanPrompt * 3 / 2));
  }

  void raiseAlarm() {
    after(exponential(1.0 / AlarmsPerSecond), [this] { raiseAlarm(); });
    Program New;
    New.m_Alarm = true;
    New.m_OrderNext = between(0, 1) == 0;
    New.m_Notice = New.m_OrderNext;
    New.m_TurnsLeft = 1;
    start(std::move(New), 200);
  }

  void start(Program New, std::uint64_t Tokens) {
    const std::size_t Number = m_Programs.size();
    New.m_Id = base::ProgramId("p" + std::to_string(Number));
    New.m_Entry = static_cast<unsigned>(between(0, m_Entries.size() - 1));
    New.m_Started = m_Now;
    m_Programs.push_back(std::move(New));
    addMessage(Number, Tokens);
    ask(Number);
  }

  void addMessage(std::size_t Number, std::uint64_t Tokens) {
    Program &Target = m_Programs[Number];
    const std::uint64_t Hash = Number * 1000 + Target.m_Prefixes.size() + 1;
    Target.m_Prefixes.push_back({.m_Hash = Hash, .m_Tokens = Tokens});
    Target.m_PromptTokens += Tokens;
  }

  /// The program makes its next call, or tries the same one again.
  void ask(std::size_t Number) {
    Program &Asking = m_Programs[Number];
    if (Asking.m_Tries == 0) {
      Asking.m_AnswerTokens =
          Asking.m_OrderNext ? 1 : (Asking.m_Alarm ? 30 : between(50, 300));
      Asking.m_Ideal += idealSeconds(Asking);
    }
    after(m_Setup.m_Deployment.m_ClientDelayMs / 1000.0,
          [this, Number] { enqueue(Number); });
  }

  double idealSeconds(const Program &Asking) const {
    if (Asking.m_OrderNext)
      return 0.02;
    const auto New =
        static_cast<double>(Asking.m_PromptTokens - Asking.m_SeenTokens);
    return New * 0.00005 + static_cast<double>(Asking.m_AnswerTokens) * 0.01;
  }

  void enqueue(std::size_t Number) {
    const Program &Asking = m_Programs[Number];
    const CallNumber CallOfProgram = ++m_LastCall;
    m_Calls[CallOfProgram] = {.m_Program = Number};
    const double Deadline = m_Setup.m_Protected ? CallDeadlineSeconds : 1e6;
    WaitingCall New{
        .m_Call = CallOfProgram,
        .m_Program = Asking.m_Id,
        .m_Organisation = base::OrganisationId(
            Asking.m_Alarm ? "alarms"
                           : "o" + std::to_string(Asking.m_Organisation)),
        .m_Service = Asking.m_OrderNext ? "order" : "chat",
        .m_Class = Asking.m_Alarm ? CallClass::Alarm : CallClass::Normal,
        .m_PromptTokens = Asking.m_OrderNext ? 0 : Asking.m_PromptTokens,
        .m_MaxTokens = Asking.m_AnswerTokens,
        .m_Repeatable = !Asking.m_OrderNext,
        .m_Deadline = at(m_Now + Deadline)};
    Entry &Owner = m_Entries[Asking.m_Entry];
    Owner.m_Scheduler.enqueue(New, at(m_Now));
    pump(Owner);
    if (!m_Setup.m_Protected)
      after(CallDeadlineSeconds,
            [this, CallOfProgram] { loseCaller(CallOfProgram); });
  }

  /// Without deadlines the caller gives up on its own, asks again, and the
  /// call it gave up still runs.
  void loseCaller(CallNumber Number) {
    const auto Known = m_Calls.find(Number);
    if (Known == m_Calls.end() || Known->second.m_GivenUp)
      return;
    Known->second.m_GivenUp = true;
    tryAgain(Known->second.m_Program, 0.0);
  }

  void tryAgain(std::size_t Number, double Seconds) {
    Program &Refused = m_Programs[Number];
    ++Refused.m_Tries;
    if (Refused.m_Tries < MaxTries) {
      after(Seconds, [this, Number] { ask(Number); });
      return;
    }
    if (counts(Refused))
      ++m_Outcome.m_GivenUp;
    m_Entries[Refused.m_Entry].m_Scheduler.programEnded(Refused.m_Id);
  }

  bool counts(const Program &Ended) const {
    return Ended.m_Started >= WarmSeconds && Ended.m_Started < LastStart;
  }

  void pump(Entry &Owner) {
    for (const Dispatch &Each : Owner.m_Scheduler.takeDispatches(at(m_Now)))
      send(Each);
    for (const Refusal &Each : Owner.m_Scheduler.takeRefusals(at(m_Now)))
      takeRefusal(Each);
    for (const Release &Each : Owner.m_Scheduler.takeReleases())
      workerOf(Each.m_Endpoint).m_Cache.release(Each.m_Program.str());
    const auto Next = Owner.m_Scheduler.nextEvent();
    if (!Next || (Owner.m_Wake > at(m_Now) && Owner.m_Wake <= *Next))
      return;
    Owner.m_Wake = *Next;
    after(std::max(0.0, secondsOf(*Next) - m_Now),
          [this, &Owner] { pump(Owner); });
  }

  std::size_t workerNumber(const base::EndpointId &Endpoint) const {
    return std::stoul(Endpoint.str().substr(1));
  }
  Worker &workerOf(const base::EndpointId &Endpoint) {
    return m_Workers[workerNumber(Endpoint)];
  }

  void takeRefusal(const Refusal &Refused) {
    const auto Known = m_Calls.find(Refused.m_Call);
    const std::size_t Number = Known->second.m_Program;
    const bool GivenUp = Known->second.m_GivenUp;
    m_Calls.erase(Known);
    ++m_Outcome.m_Refusals;
    const double Wait =
        std::chrono::duration<double>(Refused.m_RetryAfter).count();
    if (!GivenUp)
      tryAgain(Number, Wait);
  }

  void send(const Dispatch &Sent) {
    Call &Target = m_Calls.at(Sent.m_Call);
    Target.m_Worker = workerNumber(Sent.m_Endpoint);
    if (outage()) {
      after(0.1, [this, Number = Sent.m_Call] { fail(Number); });
      return;
    }
    const Program &Asking = m_Programs[Target.m_Program];
    Worker &Engine = m_Workers[Target.m_Worker];
    Target.m_Computed = 0;
    if (!Asking.m_OrderNext)
      Target.m_Computed = Asking.m_PromptTokens -
                          Engine.m_Cache.cachedTokens(Asking.m_Prefixes);
    Engine.m_Engine.submit(Sent.m_Call, Target.m_Computed,
                           Asking.m_AnswerTokens);
    step(Target.m_Worker);
  }

  void fail(CallNumber Number) {
    const Call Failed = m_Calls.at(Number);
    Entry &Owner = m_Entries[m_Programs[Failed.m_Program].m_Entry];
    if (!Owner.m_Scheduler.retry(Number, at(m_Now))) {
      m_Calls.erase(Number);
      if (!Failed.m_GivenUp)
        tryAgain(Failed.m_Program, m_Setup.m_Protected ? 1.0 : 0.0);
    }
    pump(Owner);
  }

  void step(std::size_t Number) {
    Worker &Engine = m_Workers[Number];
    if (Engine.m_Stepping)
      return;
    const base::Duration Length = Engine.m_Engine.beginStep();
    if (Length == base::Duration::zero())
      return;
    Engine.m_Stepping = true;
    after(std::chrono::duration<double>(Length).count(),
          [this, Number] { endStep(Number); });
  }

  void endStep(std::size_t Number) {
    Worker &Engine = m_Workers[Number];
    Engine.m_Stepping = false;
    for (const bench::Progress &Each : Engine.m_Engine.endStep()) {
      Call &Target = m_Calls.at(Each.m_Call);
      Entry &Owner = m_Entries[m_Programs[Target.m_Program].m_Entry];
      if (!Target.m_Started)
        Owner.m_Scheduler.firstByte(Each.m_Call, at(m_Now));
      Target.m_Started = true;
      if (Each.m_Finished)
        finish(Each.m_Call);
    }
    step(Number);
  }

  void finish(CallNumber Number) {
    const Call Ended = m_Calls.at(Number);
    m_Calls.erase(Number);
    Program &Asking = m_Programs[Ended.m_Program];
    Entry &Owner = m_Entries[Asking.m_Entry];
    const std::uint64_t Prompt = Asking.m_OrderNext ? 0 : Asking.m_PromptTokens;
    Owner.m_Scheduler.finished(Number, CallResult::Succeeded,
                               Prompt + Asking.m_AnswerTokens, Ended.m_Computed,
                               at(m_Now));
    if (!Ended.m_GivenUp)
      takeAnswer(Ended);
    pump(Owner);
  }

  void takeAnswer(const Call &Ended) {
    Program &Asking = m_Programs[Ended.m_Program];
    noteTokens(Asking, Ended);
    Asking.m_Tries = 0;
    if (Asking.m_OrderNext) {
      Asking.m_OrderNext = false;
      if (Asking.m_Notice)
        Asking.m_TurnsLeft = 0;
    } else {
      Asking.m_SeenTokens = Asking.m_PromptTokens;
      addMessage(Ended.m_Program, Asking.m_AnswerTokens);
      Asking.m_SeenTokens += Asking.m_AnswerTokens;
      m_Workers[Ended.m_Worker].m_Cache.insert(Asking.m_Id.str(),
                                               Asking.m_Prefixes);
      --Asking.m_TurnsLeft;
    }
    const double Delay = m_Setup.m_Deployment.m_ClientDelayMs / 1000.0;
    if (Asking.m_TurnsLeft == 0) {
      after(Delay, [this, Number = Ended.m_Program] { end(Number); });
      return;
    }
    const double Pause = exponential(m_Setup.m_Deployment.m_MeanPauseSeconds);
    Asking.m_Paused += Pause;
    Asking.m_OrderNext = between(0, 9) == 0;
    if (!Asking.m_OrderNext)
      addMessage(Ended.m_Program, between(50, 500));
    after(Delay + Pause, [this, Number = Ended.m_Program] { ask(Number); });
  }

  void noteTokens(const Program &Asking, const Call &Ended) {
    const auto Slice = static_cast<std::size_t>(m_Now / 10.0);
    m_Outcome.m_TokensPerSecondByTime.resize(
        static_cast<std::size_t>(RunSeconds / 10.0), 0.0);
    m_Outcome.m_TokensPerSecondByTime[Slice] +=
        static_cast<double>(Asking.m_AnswerTokens) / 10.0;
    if (m_Now >= WarmSeconds && m_Now < LastStart)
      m_Tokens += static_cast<double>(Asking.m_AnswerTokens);
    if (Asking.m_OrderNext)
      return;
    const std::uint64_t New = Asking.m_PromptTokens - Asking.m_SeenTokens;
    m_SeenTokens += static_cast<double>(Asking.m_SeenTokens);
    m_Recomputed += static_cast<double>(Ended.m_Computed) -
                    static_cast<double>(std::min(New, Ended.m_Computed));
  }

  void end(std::size_t Number) {
    Program &Ended = m_Programs[Number];
    Entry &Owner = m_Entries[Ended.m_Entry];
    Owner.m_Scheduler.programEnded(Ended.m_Id);
    pump(Owner);
    Ended.m_Prefixes.clear();
    if (m_Now >= WarmSeconds && m_Now < LastStart)
      ++m_Ended;
    if (!counts(Ended))
      return;
    const double Latency = m_Now - Ended.m_Started - Ended.m_Paused;
    if (Ended.m_Alarm) {
      (Ended.m_Notice ? m_Notices : m_Alarms).push_back(Latency);
      return;
    }
    m_Latencies.push_back(Latency);
    m_Slowdowns[Ended.m_Organisation].push_back(Latency / Ended.m_Ideal);
  }

  Outcome outcome() {
    const double Window = LastStart - WarmSeconds;
    m_Outcome.m_P50 = percentile(m_Latencies, 0.5);
    m_Outcome.m_P99 = percentile(m_Latencies, 0.99);
    m_Outcome.m_AlarmP50 = percentile(m_Alarms, 0.5);
    m_Outcome.m_AlarmP99 = percentile(m_Alarms, 0.99);
    m_Outcome.m_NoticeP99 = percentile(m_Notices, 0.99);
    for (const auto &[Organisation, Values] : m_Slowdowns) {
      if (m_Setup.m_HeavyTenant && Organisation == HeavyOrganisation)
        continue;
      double Sum = 0.0;
      for (const double Each : Values)
        Sum += Each;
      const double Mean = Sum / static_cast<double>(Values.size());
      m_Outcome.m_WorstSlowdown = std::max(m_Outcome.m_WorstSlowdown, Mean);
      if (OrganisationWeights[Organisation] == 1)
        m_Outcome.m_SmallSlowdown = std::max(m_Outcome.m_SmallSlowdown, Mean);
    }
    m_Outcome.m_RecomputedShare =
        m_SeenTokens == 0.0 ? 0.0 : m_Recomputed / m_SeenTokens;
    m_Outcome.m_ProgramsPerSecond = m_Ended / Window;
    m_Outcome.m_TokensPerSecond = m_Tokens / Window;
    return m_Outcome;
  }

  Setup m_Setup;
  std::mt19937_64 m_Random;
  double m_Now = 0.0;
  std::uint64_t m_LastEvent = 0;
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
  double m_Tokens = 0.0;
  double m_SeenTokens = 0.0;
  double m_Recomputed = 0.0;
  double m_Ended = 0.0;
};

} // namespace

Outcome run(const Setup &Setup) { return Model(Setup).run(); }

} // namespace psp::schedule::model
