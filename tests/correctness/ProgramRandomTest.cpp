/// \file
/// Randomised runs of programs under faults. Callers ask any instance, ask
/// again after errors, and ask two instances at once, so that owners race.
/// A fake endpoint counts what ran.

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

/// One run at the endpoint.
struct Run {
  std::uint64_t m_Turn = 0;
  CallNumber m_Call = 0;
  std::string m_History; ///< Messages in front of the new one.
  std::uint64_t m_UsedTokens = 0;
  bool m_Repeatable = true;
};

/// One program as its caller sees it.
struct Caller {
  base::ProgramId m_Program;
  std::uint64_t m_Turn = 1;
  bool m_IsCreated = false;
  bool m_IsOver = false;
  std::map<std::uint64_t, std::string> m_Answers{}; ///< Received, by turn.
  std::vector<Run> m_Runs{};
};

/// One attempt of a caller at an instance.
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

  /// Ends the faults, lets the callers go on and reads every program's log.
  void finish() {
    m_World.stopFaults();
    const std::size_t Before = countAnswers();
    m_World.run(base::seconds(5));
    EXPECT_GT(countAnswers(), Before) << "no progress after the faults";
    m_Stopped = true;
    m_World.run(base::seconds(3));
    for (Caller &One : m_Callers) {
      if (One.m_IsCreated)
        readBack(One);
    }
  }

  std::size_t countAnswers() const {
    std::size_t Count = 0;
    for (const Caller &One : m_Callers)
      Count += One.m_Answers.size();
    return Count;
  }
  std::size_t countRuns() const {
    std::size_t Count = 0;
    for (const Caller &One : m_Callers)
      Count += One.m_Runs.size();
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

  /// The caller's next step, again and again.
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
    Request.set_body(R"({"messages":[{"content":")" + askedText(Index, Turn) +
                     R"("}]})");
    const int Instance = m_World.pick(tests::EntryCount);
    m_World.later(Instance, base::milliseconds(1), [this, Instance, Submitted] {
      m_World.table(Instance).submit(Submitted, m_World.now(),
                                     m_World.outbox(Instance));
    });
  }

  static std::string askedText(std::size_t Index, std::uint64_t Turn) {
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
    // The instance may freeze here, between the claim and the send.
    m_World.later(Instance, base::milliseconds(5), [=, this] {
      if (!m_Done.contains(Claimed.m_Call) || m_World.chance(0.5))
        runAtEndpoint(Instance, Claimed.m_Call, "");
    });
  }

  void runAtEndpoint(int Instance, CallNumber Call, const std::string &Body) {
    Attempt &Of = m_Attempts.at(Call);
    Caller &One = m_Callers[Of.m_Caller];
    EXPECT_FALSE(Of.m_RefusedAsNotRun)
        << "call " << Call << " was refused as not run and runs";
    const bool Refuses = m_World.chance(0.05);
    messages::CallOutcome Outcome;
    const std::string Answer = "answer-" + std::to_string(Call);
    if (Refuses) {
      Outcome = failedOutcome(base::ErrorKind::EndpointRefused, "busy");
    } else {
      Of.m_Ran = true;
      const std::uint64_t Used =
          Of.m_Repeatable ? estimateTokens(Body) + MaxTokens : 0;
      One.m_Runs.push_back({.m_Turn = Of.m_Turn,
                            .m_Call = Call,
                            .m_History = Body,
                            .m_UsedTokens = Used,
                            .m_Repeatable = Of.m_Repeatable});
      checkAtMostOnce(One, Of.m_Turn);
      Outcome.set_used_tokens(Used);
      if (m_World.chance(0.05))
        Outcome =
            failedOutcome(Of.m_Repeatable ? base::ErrorKind::EndpointFailed
                                          : base::ErrorKind::OutcomeUnknown,
                          "the answer was lost");
    }
    m_World.later(Instance, base::milliseconds(30), [=, this] {
      m_World.table(Instance).finish(Call, Outcome, Answer, m_World.now(),
                                     m_World.outbox(Instance));
    });
  }

  static void checkAtMostOnce(const Caller &One, std::uint64_t Turn) {
    int Count = 0;
    for (const Run &Each : One.m_Runs)
      Count += !Each.m_Repeatable && Each.m_Turn == Turn ? 1 : 0;
    EXPECT_LE(Count, 1) << "a non-repeatable call ran twice: " << One.m_Program
                        << " turn " << Turn;
  }

  void handle(int, const MemoryReleased &Released) {
    m_Released[Released.m_Program] = Released;
  }

  void handle(int, const CallDone &Done) {
    m_Done.insert(Done.m_Call);
    const auto Found = m_Attempts.find(Done.m_Call);
    if (Found == m_Attempts.end())
      return;
    Attempt &Of = Found->second;
    Caller &One = m_Callers[Of.m_Caller];
    const std::string &Kind = Done.m_Outcome.error_kind();
    if (Of.m_Turn == 0) {
      One.m_IsCreated = One.m_IsCreated || (Kind.empty() && !One.m_IsOver);
      if (One.m_IsCreated)
        act(Of.m_Caller);
      return;
    }
    if (didNotRun(Done.m_Outcome)) {
      Of.m_RefusedAsNotRun = true;
      EXPECT_FALSE(Of.m_Ran)
          << "a call that ran is refused as not run: " << Done.m_Call << " "
          << Kind;
    }
    if (Kind == "budget-exceeded" && !One.m_IsOver) {
      One.m_IsOver = true;
      if (!m_Stopped)
        addCaller();
      return;
    }
    const bool IsUsedUp =
        Kind.empty() || (Kind == "outcome-unknown" && Done.m_FromRecord);
    if (IsUsedUp)
      noteAnswer(One, Of.m_Turn, Kind.empty() ? Done.m_Answer : Kind);
  }

  static void noteAnswer(Caller &One, std::uint64_t Turn,
                         const std::string &Answer) {
    const auto [Row, IsNew] = One.m_Answers.emplace(Turn, Answer);
    EXPECT_EQ(Row->second, Answer)
        << "two answers for turn " << Turn << " of " << One.m_Program;
    EXPECT_TRUE(Turn == 1 || !IsNew || One.m_Answers.contains(Turn - 1) ||
                Turn <= One.m_Turn + 1);
    One.m_Turn = std::max(One.m_Turn, Turn + 1);
  }

  /// Lets an instance open the program and compares its log with what the
  /// caller and the endpoint saw.
  void readBack(const Caller &One) {
    SCOPED_TRACE("program " + One.m_Program.str());
    const OwnedProgram *Owned = nullptr;
    m_World.table(0).resign(One.m_Program, m_World.now());
    for (int I = 0; I < 10 && Owned == nullptr; ++I) {
      m_World.table(0).adopt(One.m_Program, m_World.now(), m_World.outbox(0));
      m_World.flush(0);
      m_World.run(base::milliseconds(200));
      const OwnedProgram *Found = m_World.table(0).find(One.m_Program);
      if (Found != nullptr &&
          Found->owner().commitIndex() == Found->owner().lastIndex())
        Owned = Found;
    }
    ASSERT_NE(Owned, nullptr) << "the program can't be opened";
    EXPECT_EQ(verifyChain(Owned->owner().entries()), std::nullopt);
    compareAnswers(One, *Owned);
    compareRuns(One, *Owned);
    checkRelease(One);
  }

  /// Ends the program: every endpoint that ran its calls must be told, also
  /// when the owner that sent them is gone.
  void checkRelease(const Caller &One) {
    m_World.table(0).end(One.m_Program, "done", m_World.now(),
                         m_World.outbox(0));
    m_World.flush(0);
    m_World.run(base::milliseconds(200));
    ASSERT_TRUE(m_Released.contains(One.m_Program));
    const MemoryReleased &Released = m_Released[One.m_Program];
    for (const Run &Each : One.m_Runs) {
      const EndpointId Endpoint(Each.m_Repeatable ? "engine-1" : "saw-1");
      const bool IsKnown = std::count(Released.m_Endpoints.begin(),
                                      Released.m_Endpoints.end(), Endpoint) > 0;
      EXPECT_TRUE(IsKnown || (Each.m_Repeatable && Released.m_MayBeElsewhere))
          << Endpoint << " keeps memory for " << One.m_Program;
    }
  }

  static void compareAnswers(const Caller &One, const OwnedProgram &Owned) {
    for (const auto &[Turn, Answer] : One.m_Answers) {
      const UsedTurn *Used = Owned.state().findTurn(Turn);
      ASSERT_NE(Used, nullptr) << "turn " << Turn << " is lost";
      const messages::TurnFinished &Finished =
          Owned.owner().entry(Used->m_FinishIndex).turn_finished();
      const std::string &Kind = Finished.outcome().error_kind();
      EXPECT_EQ(Kind.empty() ? Finished.answer() : Kind, Answer);
    }
  }

  static void compareRuns(const Caller &One, const OwnedProgram &Owned) {
    std::uint64_t Used = 0;
    std::set<std::uint64_t> Ran;
    for (const Run &Each : One.m_Runs) {
      Used += Each.m_UsedTokens;
      Ran.insert(Each.m_Turn);
      for (std::uint64_t Turn = 1; Turn < Each.m_Turn; ++Turn)
        EXPECT_TRUE(Ran.contains(Turn) || isUnknown(Owned, Turn))
            << "turn " << Each.m_Turn << " ran before turn " << Turn;
      if (Each.m_Repeatable)
        compareHistory(Each, Owned);
    }
    EXPECT_LE(Used,
              Owned.state().spentTokens() + Owned.state().reservedTokens());
    EXPECT_LE(Used, Budget);
  }

  /// A claimed call whose owner was replaced: it may run late, when a frozen
  /// sender wakes, or never.
  static bool isUnknown(const OwnedProgram &Owned, std::uint64_t Turn) {
    const UsedTurn *Used = Owned.state().findTurn(Turn);
    return Used != nullptr && !Used->m_OutcomeKnown;
  }

  /// The run's prompt must be the conversation of the turns before it.
  static void compareHistory(const Run &Each, const OwnedProgram &Owned) {
    std::string History;
    std::string Asked;
    for (const messages::ProgramEntry &Entry : Owned.owner().entries()) {
      if (Entry.has_turn_started()) {
        if (Entry.turn_started().request().turn() > Each.m_Turn)
          break;
        Asked = Entry.turn_started().carries_history()
                    ? newMessages(Entry.turn_started().request().body())
                    : "";
      }
      if (Entry.has_turn_finished() &&
          Entry.turn_finished().turn() < Each.m_Turn && !Asked.empty() &&
          Entry.turn_finished().outcome().error_kind().empty())
        History = joinMessages(joinMessages(History, Asked),
                               answerMessage(Entry.turn_finished().answer()));
    }
    EXPECT_EQ(Each.m_History, R"({"messages":[)" +
                                  joinMessages(History, Asked) +
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

/// Seeds of one fixture run; PSP_PROGRAM_SEEDS=first:count runs others.
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

/// Faults come faster than most calls can finish.
TEST(ProgramRandomTest, InvariantsHoldInAStorm) {
  runSeeds({.m_Loss = 0.2,
            .m_MaxFaultGap = 40,
            .m_MaxSync = 20,
            .m_MaxCallGap = 120,
            .m_RaceChance = 0.7},
           base::seconds(8));
}

} // namespace
} // namespace psp::program
