/// \file
/// Randomised simulations of programs under faults. Callers send calls to any
/// instance, retry after errors, and send the same call twice at once, so that
/// owners compete. A fake endpoint records which calls were executed.

#include "ProgramWorld.h"
#include "program/Conversation.h"
#include "program/HashChain.h"
#include "program/Outcome.h"

#include <gtest/gtest.h>

namespace psp::program {
namespace {

using base::EndpointId;
using tests::ProgramWorld;

constexpr std::uint64_t Budget = 4000;
constexpr std::uint64_t MaxTokens = 50;
constexpr int ProgramsAtOnce = 3;

/// One execution of a call at the endpoint.
struct Run {
  std::uint64_t m_Turn = 0;
  CallNumber m_Call = 0;
  std::string m_History; ///< The request body with the conversation.
  std::uint64_t m_UsedTokens = 0;
  bool m_Repeatable = true;
};

/// The caller's view of one program.
struct Caller {
  base::ProgramId m_Program;
  std::uint64_t m_Turn = 1;
  bool m_IsCreated = false;
  bool m_IsOver = false;
  std::map<std::uint64_t, std::string> m_Answers{}; ///< Received, by turn.
  std::vector<Run> m_Runs{};
};

/// One call that a caller sent to an instance.
struct Attempt {
  std::size_t m_Caller = 0;
  std::uint64_t m_Turn = 0;
  bool m_Repeatable = true;
  bool m_Ran = false;
  bool m_RefusedAsNotRun = false;
};

class RandomRun {
public:
  RandomRun(std::uint64_t Seed, tests::FaultPlan Plan) : m_World(Seed, Plan) {
    m_World.onEvent([this](int Instance, const ProgramEvent &Event) {
      std::visit([&](const auto &Body) { handle(Instance, Body); }, Event);
    });
    m_World.onCrash([](int) {});
    m_World.start();
    for (int I = 0; I < ProgramsAtOnce; ++I)
      addCaller();
  }

  void run(base::Duration Span) { m_World.run(Span); }

  /// Stops the faults, lets the callers continue, and checks every program's
  /// log.
  void finish() {
    m_World.stopFaults();
    const std::size_t Before = countAnswers();
    m_World.run(base::seconds(5));
    EXPECT_GT(countAnswers(), Before) << "no progress after the faults stopped";
    m_Stopped = true;
    m_World.run(base::seconds(3));
    for (Caller &ProgramCaller : m_Callers) {
      if (ProgramCaller.m_IsCreated)
        readBack(ProgramCaller);
    }
  }

  std::size_t countAnswers() const {
    std::size_t Count = 0;
    for (const Caller &ProgramCaller : m_Callers)
      Count += ProgramCaller.m_Answers.size();
    return Count;
  }
  std::size_t countRuns() const {
    std::size_t Count = 0;
    for (const Caller &ProgramCaller : m_Callers)
      Count += ProgramCaller.m_Runs.size();
    return Count;
  }
  const ProgramWorld &world() const { return m_World; }

private:
  static bool isRepeatable(std::uint64_t Turn) { return Turn % 3 != 0; }

  void addCaller() {
    std::string Random = std::to_string(m_Callers.size());
    Random.resize(ProgramIdBytes, '#');
    m_Callers.push_back(
        {.m_Program = makeProgramId(base::DataCentreId("brum-a"), Random)});
    const std::size_t Index = m_Callers.size() - 1;
    m_World.at(base::milliseconds(300), [this, Index] { act(Index); });
  }

  /// Executes the caller's next step and schedules the following one.
  void act(std::size_t Index) {
    if (m_Stopped || m_Callers[Index].m_IsOver)
      return;
    if (!m_Callers[Index].m_IsCreated) {
      create(Index);
      return;
    }
    submit(Index, m_Callers[Index].m_Turn);
    if (m_World.chance(m_World.plan().m_RaceChance))
      submit(Index, m_Callers[Index].m_Turn);
    if (m_World.chance(0.1))
      submit(Index, m_Callers[Index].m_Turn + 1);
    const int Gap = m_World.plan().m_MaxCallGap;
    m_World.at(base::milliseconds(Gap / 6 + m_World.pick(Gap)),
               [this, Index] { act(Index); });
  }

  void create(std::size_t Index) {
    const CallNumber Call = ++m_NextCall;
    m_Attempts[Call] = {.m_Caller = Index};
    const int Instance = m_World.pick(tests::EntryCount);
    m_World.later(
        Instance, base::milliseconds(1), [this, Instance, Index, Call] {
          m_World.table(Instance).create(
              Call, m_Callers[Index].m_Program, base::OrganisationId("mills"),
              base::KeyId("key-1"), {.m_BudgetTokens = Budget}, m_World.now(),
              m_World.outbox(Instance));
        });
    m_World.at(base::seconds(1), [this, Index] {
      if (m_Callers[Index].m_IsCreated || m_Callers[Index].m_IsOver)
        return;
      m_Callers[Index].m_IsOver = true;
      addCaller();
    });
  }

  void submit(std::size_t Index, std::uint64_t Turn) {
    const CallNumber Call = ++m_NextCall;
    m_Attempts[Call] = {
        .m_Caller = Index, .m_Turn = Turn, .m_Repeatable = isRepeatable(Turn)};
    SubmittedCall Submitted = {.m_Call = Call,
                               .m_Organisation = base::OrganisationId("mills"),
                               .m_Key = base::KeyId("key-1"),
                               .m_Repeatable = isRepeatable(Turn),
                               .m_CarriesHistory = isRepeatable(Turn)};
    messages::CallRequest &Request = Submitted.m_Request;
    Request.set_program(m_Callers[Index].m_Program.str());
    Request.set_turn(Turn);
    Request.set_max_tokens(isRepeatable(Turn) ? MaxTokens : 0);
    Request.set_body(R"({"messages":[{"content":")" + requestText(Index, Turn) +
                     R"("}]})");
    const int Instance = m_World.pick(tests::EntryCount);
    m_World.later(Instance, base::milliseconds(1), [this, Instance, Submitted] {
      m_World.table(Instance).submit(Submitted, m_World.now(),
                                     m_World.outbox(Instance));
    });
  }

  static std::string requestText(std::size_t Index, std::uint64_t Turn) {
    return "ask-" + std::to_string(Index) + "-" + std::to_string(Turn);
  }

  void handle(int Instance, const CallReady &Ready) {
    const bool Repeatable = m_Attempts.at(Ready.m_Call).m_Repeatable;
    m_World.later(Instance, base::milliseconds(5), [=, this] {
      ProgramTable &Table = m_World.table(Instance);
      if (m_Done.contains(Ready.m_Call))
        return;
      if (m_World.chance(0.1)) {
        Table.abandon(Ready.m_Call, base::ErrorKind::Overloaded, m_World.now(),
                      m_World.outbox(Instance));
      } else if (Repeatable) {
        Table.noteSent(Ready.m_Call, EndpointId("engine-1"));
        runAtEndpoint(Instance, Ready.m_Call, Ready.m_Body);
      } else {
        Table.claim(Ready.m_Call, EndpointId("saw-1"), 1, m_World.now(),
                    m_World.outbox(Instance));
      }
    });
  }

  void handle(int Instance, const CallClaimed &Claimed) {
    // The instance may be suspended here, between the claim and the send.
    m_World.later(Instance, base::milliseconds(5), [=, this] {
      if (!m_Done.contains(Claimed.m_Call) || m_World.chance(0.5))
        runAtEndpoint(Instance, Claimed.m_Call, "");
    });
  }

  void runAtEndpoint(int Instance, CallNumber Call, const std::string &Body) {
    Attempt &CurrentAttempt = m_Attempts.at(Call);
    Caller &ProgramCaller = m_Callers[CurrentAttempt.m_Caller];
    EXPECT_FALSE(CurrentAttempt.m_RefusedAsNotRun)
        << "call " << Call << " was refused as not executed, but is executed";
    const bool Refuses = m_World.chance(0.05);
    messages::CallOutcome Outcome;
    const std::string Answer = "answer-" + std::to_string(Call);
    if (Refuses) {
      Outcome = failedOutcome(base::ErrorKind::EndpointRefused, "busy");
    } else {
      CurrentAttempt.m_Ran = true;
      const std::uint64_t Used =
          CurrentAttempt.m_Repeatable ? estimateTokens(Body) + MaxTokens : 0;
      ProgramCaller.m_Runs.push_back(
          {.m_Turn = CurrentAttempt.m_Turn,
           .m_Call = Call,
           .m_History = Body,
           .m_UsedTokens = Used,
           .m_Repeatable = CurrentAttempt.m_Repeatable});
      checkAtMostOnce(ProgramCaller, CurrentAttempt.m_Turn);
      Outcome.set_used_tokens(Used);
      if (m_World.chance(0.05))
        Outcome = failedOutcome(CurrentAttempt.m_Repeatable
                                    ? base::ErrorKind::EndpointFailed
                                    : base::ErrorKind::OutcomeUnknown,
                                "the answer was lost");
    }
    m_World.later(Instance, base::milliseconds(30), [=, this] {
      m_World.table(Instance).finish(Call, Outcome, Answer, m_World.now(),
                                     m_World.outbox(Instance));
    });
  }

  static void checkAtMostOnce(const Caller &ProgramCaller, std::uint64_t Turn) {
    int Count = 0;
    for (const Run &EndpointRun : ProgramCaller.m_Runs)
      Count += !EndpointRun.m_Repeatable && EndpointRun.m_Turn == Turn ? 1 : 0;
    EXPECT_LE(Count, 1) << "a non-repeatable call was executed twice: "
                        << ProgramCaller.m_Program << " turn " << Turn;
  }

  void handle(int, const MemoryReleased &Released) {
    m_Released[Released.m_Program] = Released;
  }

  void handle(int, const CallDone &Done) {
    m_Done.insert(Done.m_Call);
    const auto Found = m_Attempts.find(Done.m_Call);
    if (Found == m_Attempts.end())
      return;
    Attempt &CurrentAttempt = Found->second;
    Caller &ProgramCaller = m_Callers[CurrentAttempt.m_Caller];
    const std::string &Kind = Done.m_Outcome.error_kind();
    if (CurrentAttempt.m_Turn == 0) {
      ProgramCaller.m_IsCreated = ProgramCaller.m_IsCreated ||
                                  (Kind.empty() && !ProgramCaller.m_IsOver);
      if (ProgramCaller.m_IsCreated)
        act(CurrentAttempt.m_Caller);
      return;
    }
    if (didNotRun(Done.m_Outcome)) {
      CurrentAttempt.m_RefusedAsNotRun = true;
      EXPECT_FALSE(CurrentAttempt.m_Ran)
          << "an executed call is refused as not executed: " << Done.m_Call
          << " " << Kind;
    }
    if (Kind == "budget-exceeded" && !ProgramCaller.m_IsOver) {
      ProgramCaller.m_IsOver = true;
      if (!m_Stopped)
        addCaller();
      return;
    }
    const bool IsUsedUp =
        Kind.empty() || (Kind == "outcome-unknown" && Done.m_FromRecord);
    if (IsUsedUp)
      noteAnswer(ProgramCaller, CurrentAttempt.m_Turn,
                 Kind.empty() ? Done.m_Answer : Kind);
  }

  static void noteAnswer(Caller &ProgramCaller, std::uint64_t Turn,
                         const std::string &Answer) {
    const auto [It, IsNew] = ProgramCaller.m_Answers.emplace(Turn, Answer);
    EXPECT_EQ(It->second, Answer)
        << "two answers for turn " << Turn << " of " << ProgramCaller.m_Program;
    EXPECT_TRUE(Turn == 1 || !IsNew ||
                ProgramCaller.m_Answers.contains(Turn - 1) ||
                Turn <= ProgramCaller.m_Turn + 1);
    ProgramCaller.m_Turn = std::max(ProgramCaller.m_Turn, Turn + 1);
  }

  /// Opens the program at an instance and compares its log with what the caller
  /// received and what the endpoint executed.
  void readBack(const Caller &ProgramCaller) {
    SCOPED_TRACE("program " + ProgramCaller.m_Program.str());
    const OwnedProgram *Owned = nullptr;
    m_World.table(0).resign(ProgramCaller.m_Program, m_World.now());
    for (int I = 0; I < 10 && Owned == nullptr; ++I) {
      m_World.table(0).adopt(ProgramCaller.m_Program, m_World.now(),
                             m_World.outbox(0));
      m_World.flush(0);
      m_World.run(base::milliseconds(200));
      const OwnedProgram *Found =
          m_World.table(0).find(ProgramCaller.m_Program);
      if (Found != nullptr &&
          Found->owner().commitIndex() == Found->owner().lastIndex())
        Owned = Found;
    }
    ASSERT_NE(Owned, nullptr) << "the program could not be opened";
    EXPECT_EQ(verifyChain(Owned->owner().entries()), std::nullopt);
    compareAnswers(ProgramCaller, *Owned);
    compareRuns(ProgramCaller, *Owned);
    checkRelease(ProgramCaller);
  }

  /// Ends the program: every endpoint that executed its calls must be notified,
  /// even if the owner that sent them has failed.
  void checkRelease(const Caller &ProgramCaller) {
    m_World.table(0).end(ProgramCaller.m_Program, "done", m_World.now(),
                         m_World.outbox(0));
    m_World.flush(0);
    m_World.run(base::milliseconds(200));
    ASSERT_TRUE(m_Released.contains(ProgramCaller.m_Program));
    const MemoryReleased &Released = m_Released[ProgramCaller.m_Program];
    for (const Run &EndpointRun : ProgramCaller.m_Runs) {
      const EndpointId Endpoint(EndpointRun.m_Repeatable ? "engine-1"
                                                         : "saw-1");
      const bool IsKnown = std::count(Released.m_Endpoints.begin(),
                                      Released.m_Endpoints.end(), Endpoint) > 0;
      EXPECT_TRUE(IsKnown ||
                  (EndpointRun.m_Repeatable && Released.m_MayBeElsewhere))
          << Endpoint << " is not asked to free its memory for "
          << ProgramCaller.m_Program;
    }
  }

  static void compareAnswers(const Caller &ProgramCaller,
                             const OwnedProgram &Owned) {
    for (const auto &[Turn, Answer] : ProgramCaller.m_Answers) {
      const UsedTurn *Used = Owned.state().findTurn(Turn);
      ASSERT_NE(Used, nullptr) << "turn " << Turn << " is lost";
      const messages::TurnFinished &Finished =
          Owned.owner().entry(Used->m_FinishIndex).turn_finished();
      const std::string &Kind = Finished.outcome().error_kind();
      EXPECT_EQ(Kind.empty() ? Finished.answer() : Kind, Answer);
    }
  }

  static void compareRuns(const Caller &ProgramCaller,
                          const OwnedProgram &Owned) {
    std::uint64_t Used = 0;
    std::set<std::uint64_t> ExecutedTurns;
    for (const Run &EndpointRun : ProgramCaller.m_Runs) {
      Used += EndpointRun.m_UsedTokens;
      ExecutedTurns.insert(EndpointRun.m_Turn);
      for (std::uint64_t Turn = 1; Turn < EndpointRun.m_Turn; ++Turn)
        EXPECT_TRUE(ExecutedTurns.contains(Turn) || isUnknown(Owned, Turn))
            << "turn " << EndpointRun.m_Turn << " ran before turn " << Turn;
      if (EndpointRun.m_Repeatable)
        compareHistory(EndpointRun, Owned);
    }
    EXPECT_LE(Used,
              Owned.state().spentTokens() + Owned.state().reservedTokens());
    EXPECT_LE(Used, Budget);
  }

  /// Whether the turn is a claimed call whose owner was replaced. The call may
  /// be executed late, when a suspended sender resumes, or never.
  static bool isUnknown(const OwnedProgram &Owned, std::uint64_t Turn) {
    const UsedTurn *Used = Owned.state().findTurn(Turn);
    return Used != nullptr && !Used->m_OutcomeKnown;
  }

  /// The request body of an execution must carry the conversation of the
  /// preceding turns.
  static void compareHistory(const Run &EndpointRun,
                             const OwnedProgram &Owned) {
    std::string History;
    std::string NewMessages;
    for (const messages::ProgramEntry &Entry : Owned.owner().entries()) {
      if (Entry.has_turn_started()) {
        if (Entry.turn_started().request().turn() > EndpointRun.m_Turn)
          break;
        NewMessages = Entry.turn_started().carries_history()
                          ? newMessages(Entry.turn_started().request().body())
                          : "";
      }
      if (Entry.has_turn_finished() &&
          Entry.turn_finished().turn() < EndpointRun.m_Turn &&
          !NewMessages.empty() &&
          Entry.turn_finished().outcome().error_kind().empty())
        History = joinMessages(joinMessages(History, NewMessages),
                               answerMessage(Entry.turn_finished().answer()));
    }
    EXPECT_EQ(EndpointRun.m_History, R"({"messages":[)" +
                                         joinMessages(History, NewMessages) +
                                         R"(],"stream":true})");
  }

  ProgramWorld m_World;
  std::vector<Caller> m_Callers;
  std::map<CallNumber, Attempt> m_Attempts;
  std::set<CallNumber> m_Done;
  std::map<base::ProgramId, MemoryReleased> m_Released;
  CallNumber m_NextCall = 0;
  bool m_Stopped = false;
};

/// The seeds to run; PSP_PROGRAM_SEEDS=first:count selects others.
std::pair<std::uint64_t, std::uint64_t> seedRange() {
  const char *Text = std::getenv("PSP_PROGRAM_SEEDS");
  if (Text == nullptr)
    return {1, 20};
  const std::string Value(Text);
  const std::size_t Colon = Value.find(':');
  return {std::stoull(Value), std::stoull(Value.substr(Colon + 1))};
}

void runSeeds(const tests::FaultPlan &Plan, base::Duration Span) {
  const auto [First, Count] = seedRange();
  std::size_t Answers = 0;
  std::size_t Runs = 0;
  int Wipes = 0;
  int Crashes = 0;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    RandomRun Run(Seed, Plan);
    ASSERT_NO_THROW(Run.run(Span));
    ASSERT_NO_THROW(Run.finish());
    Answers += Run.countAnswers();
    Runs += Run.countRuns();
    Wipes += Run.world().wipes();
    Crashes += Run.world().crashes();
    if (testing::Test::HasFailure())
      break;
  }
  std::cout << Count << " seeds from " << First << ": " << Answers
            << " answers, " << Runs << " runs at the endpoint, " << Wipes
            << " wiped disks, " << Crashes << " crashes\n";
}

TEST(ProgramRandomTest, InvariantsHoldUnderFaults) {
  runSeeds({}, base::seconds(20));
}

/// Faults occur more often than most calls can finish.
TEST(ProgramRandomTest, InvariantsHoldUnderFrequentFaults) {
  runSeeds({.m_Loss = 0.2,
            .m_MaxFaultGap = 40,
            .m_MaxSync = 20,
            .m_MaxCallGap = 120,
            .m_RaceChance = 0.7},
           base::seconds(8));
}

} // namespace
} // namespace psp::program
