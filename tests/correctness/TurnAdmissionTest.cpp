// Admission control in a burst of programs: those that have begun continue, a
// few new ones wait for a slot, and the others are rejected with a time to
// retry. Waiting turns begin in the order of the time that their programs have
// left.

#include "turns/TurnAdmission.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

using base::milliseconds;
using base::seconds;
using Decision = TurnAdmission::Decision;

TurnAdmission::PendingTurn makeTurn(const std::string &Turn, bool NewProgram,
                                    std::uint32_t LeftMs,
                                    base::TimePoint At = base::TimePoint()) {
  TurnAdmission::PendingTurn Pending{.m_From = {.m_Node = "entry"},
                                     .m_Request = {},
                                     .m_NewProgram = NewProgram,
                                     .m_ArrivedAt = At};
  auto &Begin = *Pending.m_Request.mutable_begin();
  Begin.set_turn(Turn);
  Begin.set_program(Turn);
  Begin.set_has_program_left(true);
  Begin.set_program_left_ms(LeftMs);
  return Pending;
}

std::vector<std::string>
turnsOf(const std::vector<TurnAdmission::PendingTurn> &All) {
  std::vector<std::string> Turns;
  Turns.reserve(All.size());
  for (const TurnAdmission::PendingTurn &Pending : All)
    Turns.push_back(Pending.m_Request.begin().turn());
  return Turns;
}

using Turns = std::vector<std::string>;

TEST(TurnAdmissionTest, ABurstOfNewProgramsDoesNotSlowDownRunningOnes) {
  TurnAdmission Admission({.m_MaxNewProgramShare = 0.6});
  EXPECT_EQ(Admission.decide(makeTurn("a", true, 2000), {59, 100}),
            Decision::Begin);
  EXPECT_EQ(Admission.decide(makeTurn("b", true, 2000), {60, 100}),
            Decision::Wait);
  EXPECT_EQ(Admission.decide(makeTurn("c", false, 2000), {99, 100}),
            Decision::Wait);
  EXPECT_EQ(turnsOf(Admission.takeReady({99, 100})), Turns{"c"});
  {
    SCOPED_TRACE("the retries are spread");
    const auto First = Admission.retryAfter();
    const auto Second = Admission.retryAfter();
    EXPECT_NE(First, Second);
    EXPECT_GE(First, milliseconds(300));
    EXPECT_LE(First, milliseconds(450));
  }
}

/// Replays a burst of 2.2 times the load that 64 slots can serve: every 10 ms,
/// eight programs of 500 to 4000 ms arrive and four slots become free.
TEST(TurnAdmissionTest, InABurstNoSlotStaysEmptyAndMostShortProgramsBegin) {
  TurnAdmission Admission({.m_MaxNewProgramShare = 1.0});
  base::TimePoint Now{seconds(1)};
  std::size_t Begun = 0;
  std::size_t Rejected = 0;
  std::size_t BegunShort = 0;
  std::size_t Short = 0;
  for (int Step = 0; Step < 100; ++Step, Now += milliseconds(10)) {
    for (int Index = 0; Index < 8; ++Index) {
      const std::uint32_t LeftMs = 500U * (1U + static_cast<unsigned>(Index));
      Short += LeftMs <= 2000 ? 1 : 0;
      const std::string Turn =
          std::to_string(Step) + "/" + std::to_string(Index);
      EXPECT_EQ(Admission.decide(makeTurn(Turn, true, LeftMs, Now), {64, 64}),
                Decision::Wait);
      for (const auto &Pending : Admission.takeRejected(64, Now)) {
        ++Rejected;
        EXPECT_LE(Now - Pending.m_ArrivedAt, milliseconds(160));
      }
    }
    const auto Ready = Admission.takeReady({60, 64});
    EXPECT_EQ(Ready.size(), 4U) << "a slot stays empty";
    Begun += Ready.size();
    for (const auto &Pending : Ready)
      BegunShort += Pending.m_Request.begin().program_left_ms() <= 2000 ? 1 : 0;
    EXPECT_LE(Admission.waiting(), 16U);
  }
  EXPECT_EQ(Begun, 400U);
  EXPECT_GE(Rejected, 380U);
  EXPECT_GE(BegunShort, Short * 9 / 10);
}

TEST(TurnAdmissionTest, TheLastProgramInOrderIsRejectedAtOnce) {
  TurnAdmission Admission({.m_MaxWaitingShare = 0.02});
  const base::TimePoint Now{seconds(1)};
  Admission.decide(makeTurn("later", false, 9000, Now), {100, 100});
  Admission.decide(makeTurn("long", true, 8000, Now), {100, 100});
  Admission.decide(makeTurn("short", true, 700, Now), {100, 100});
  EXPECT_TRUE(Admission.takeRejected(100, Now).empty());
  Admission.decide(makeTurn("middle", true, 2000, Now), {100, 100});
  EXPECT_EQ(turnsOf(Admission.takeRejected(100, Now)), Turns{"long"});
  {
    SCOPED_TRACE("the others are rejected after a short wait");
    EXPECT_TRUE(Admission.takeRejected(100, Now + milliseconds(140)).empty());
    EXPECT_EQ(Admission.takeRejected(100, Now + milliseconds(150)).size(), 2U);
    EXPECT_EQ(Admission.waiting(), 1U);
  }
}

/// Replays a burst: a short and a long program are rejected and retry, while
/// new ones keep arriving.
TEST(TurnAdmissionTest, NewProgramsThatCanStillEndInTimeBeginFirst) {
  TurnAdmission Admission({.m_MaxNewProgramShare = 1.0});
  const base::TimePoint Start{seconds(1)};
  const auto NewProgram = [](const std::string &Program, std::uint32_t LeftMs,
                             base::TimePoint At) {
    return makeTurn(Program, true, LeftMs, At);
  };
  Admission.decide(NewProgram("short", 1900, Start), {100, 100});
  Admission.decide(NewProgram("long", 6000, Start), {100, 100});
  EXPECT_EQ(Admission.takeRejected(100, Start + milliseconds(150)).size(), 2U);
  const base::TimePoint RetriedAt = Start + milliseconds(600);
  Admission.decide(NewProgram("short", 1300, RetriedAt), {100, 100});
  Admission.decide(NewProgram("long", 5400, RetriedAt), {100, 100});
  Admission.decide(NewProgram("fresh", 1900, RetriedAt), {100, 100});
  EXPECT_EQ(turnsOf(Admission.takeReady({98, 100})), (Turns{"fresh", "long"}));
  {
    SCOPED_TRACE("the late program gets a slot that the others leave free");
    EXPECT_TRUE(Admission.takeReady({100, 100}).empty());
    EXPECT_EQ(turnsOf(Admission.takeReady({99, 100})), Turns{"short"});
  }
}

TEST(TurnAdmissionTest, LateProgramsGetASmallerShareIfEnginesSlowDown) {
  TurnAdmission Admission({.m_MaxNewProgramShare = 0.6});
  const base::TimePoint Start{seconds(1)};
  Admission.decide(makeTurn("short", true, 1900, Start), {60, 100});
  EXPECT_EQ(Admission.takeRejected(100, Start + milliseconds(150)).size(), 1U);
  Admission.decide(makeTurn("short", true, 1300, Start + milliseconds(600)),
                   {59, 100});
  EXPECT_TRUE(Admission.takeReady({46, 100}).empty());
  EXPECT_EQ(turnsOf(Admission.takeReady({44, 100})), Turns{"short"});
}

TEST(TurnAdmissionTest, SlotsGoToProgramsThatCanStillEndInTime) {
  TurnAdmission Admission({});
  EXPECT_EQ(Admission.decide(makeTurn("late", false, 0), {100, 100}),
            Decision::Wait);
  EXPECT_EQ(Admission.decide(makeTurn("calm", false, 5000), {100, 100}),
            Decision::Wait);
  EXPECT_EQ(Admission.decide(makeTurn("urgent", false, 300), {100, 100}),
            Decision::Wait);
  const auto Ready = Admission.takeReady({98, 100});
  ASSERT_EQ(Ready.size(), 2U);
  EXPECT_EQ(Ready[0].m_Request.begin().turn(), "urgent");
  EXPECT_EQ(Ready[1].m_Request.begin().turn(), "calm");
  EXPECT_EQ(Admission.waiting(), 1U);
}

class EnginePaceTest : public testing::Test {
protected:
  void observe(int Turns, std::uint32_t GapUs, std::size_t Running) {
    for (int Index = 0; Index < Turns; ++Index)
      m_Admission.observeEventGap(GapUs, {Running, 100});
  }

  TurnAdmission m_Admission{
      {.m_MinNewProgramShare = 0.3, .m_MaxNewProgramShare = 0.8}};
};

TEST_F(EnginePaceTest, SlowEnginesGetFewerNewProgramsUntilTheyRecover) {
  observe(50, 30'000, 50);
  EXPECT_EQ(m_Admission.decide(makeTurn("a", true, 2000), {79, 100}),
            Decision::Begin);
  {
    SCOPED_TRACE("long prompts delay the events of all running turns");
    observe(300, 70'000, 80);
    EXPECT_EQ(m_Admission.decide(makeTurn("c", false, 2000), {31, 100}),
              Decision::Begin);
    EXPECT_EQ(m_Admission.decide(makeTurn("b", true, 2000), {31, 100}),
              Decision::Wait);
    EXPECT_TRUE(m_Admission.takeReady({31, 100}).empty());
    EXPECT_EQ(m_Admission.takeAll().size(), 1U);
  }
  {
    SCOPED_TRACE("the engines recover");
    observe(400, 31'000, 30);
    EXPECT_EQ(m_Admission.decide(makeTurn("d", true, 2000), {79, 100}),
              Decision::Begin);
  }
}

/// Whether the last slots can be used without slowing down the engines shows
/// only while most slots are in use.
TEST_F(EnginePaceTest, EnginesThatDoNotSlowDownAreFilledCompletely) {
  observe(400, 30'000, 40);
  EXPECT_DOUBLE_EQ(m_Admission.newProgramShare(), 0.8);
  observe(200, 33'000, 75);
  EXPECT_DOUBLE_EQ(m_Admission.newProgramShare(), 1.0);
  {
    SCOPED_TRACE("the share is kept under low load");
    observe(200, 30'000, 20);
    EXPECT_DOUBLE_EQ(m_Admission.newProgramShare(), 1.0);
  }
  {
    SCOPED_TRACE("the share falls when they slow down");
    observe(100, 42'000, 95);
    EXPECT_DOUBLE_EQ(m_Admission.newProgramShare(), 0.8);
  }
}

TEST(TurnAdmissionTest, NoLaterTurnWaitsLongerThanTheLimit) {
  TurnAdmission Admission({.m_MaxLaterTurnWait = milliseconds(100)});
  const base::TimePoint Start{base::seconds(1)};
  Admission.decide(makeTurn("a", false, 1000, Start), {100, 100});
  Admission.decide(makeTurn("b", false, 1000, Start + milliseconds(60)),
                   {100, 100});
  EXPECT_TRUE(Admission.takeOverdue(Start + milliseconds(90)).empty());
  const auto Overdue = Admission.takeOverdue(Start + milliseconds(110));
  ASSERT_EQ(Overdue.size(), 1U);
  EXPECT_EQ(Overdue[0].m_Request.begin().turn(), "a");
}

TEST(TurnAdmissionTest, AdmitsAllTurnsIfNoEngineIsKnown) {
  TurnAdmission Admission({});
  EXPECT_EQ(Admission.decide(makeTurn("a", true, 1000), {0, 0}),
            Decision::Begin);
}

} // namespace
} // namespace psp::turns
