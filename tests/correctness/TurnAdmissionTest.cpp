// A burst of programs: those that have begun go on, new ones are told at once
// when to come back, and waiting turns begin by what is left of their programs.

#include "turns/TurnAdmission.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

using base::milliseconds;
using Decision = TurnAdmission::Decision;

TurnAdmission::Offer offer(const std::string &Turn, bool NewProgram,
                           std::uint32_t LeftMs,
                           base::TimePoint At = base::TimePoint()) {
  TurnAdmission::Offer Asked{.m_Node = "entry",
                             .m_Request = {},
                             .m_NewProgram = NewProgram,
                             .m_ArrivedAt = At};
  auto &Begin = *Asked.m_Request.mutable_begin();
  Begin.set_turn(Turn);
  Begin.set_has_program_left(true);
  Begin.set_program_left_ms(LeftMs);
  return Asked;
}

TEST(TurnAdmissionTest, ABurstOfNewProgramsDoesNotSlowThoseThatRun) {
  TurnAdmission Admission({.m_MostNewShare = 0.6});
  EXPECT_EQ(Admission.decide(offer("a", true, 2000), {59, 100}),
            Decision::Begin);
  EXPECT_EQ(Admission.decide(offer("b", true, 2000), {60, 100}),
            Decision::Refuse);
  EXPECT_EQ(Admission.decide(offer("c", false, 2000), {99, 100}),
            Decision::Begin);
  {
    SCOPED_TRACE("returns are spread");
    const auto First = Admission.retryAfter();
    const auto Second = Admission.retryAfter();
    EXPECT_NE(First, Second);
    EXPECT_GE(First, milliseconds(300));
    EXPECT_LE(First, milliseconds(450));
  }
}

/// Replays a burst: a short program and a long one are turned away and come
/// back, while fresh ones go on coming.
TEST(TurnAdmissionTest, NewProgramsThatCanStillEndInTimeBeginFirst) {
  TurnAdmission Admission({.m_MostNewShare = 0.6});
  const base::TimePoint Start{base::seconds(1)};
  const auto Offered = [](const std::string &Program, std::uint32_t LeftMs,
                          base::TimePoint At) {
    auto Asked = offer(Program + "-turn", true, LeftMs, At);
    Asked.m_Request.mutable_begin()->set_program(Program);
    return Asked;
  };
  EXPECT_EQ(Admission.decide(Offered("short", 1900, Start), {60, 100}),
            Decision::Refuse);
  EXPECT_EQ(Admission.decide(Offered("long", 6000, Start), {60, 100}),
            Decision::Refuse);
  const base::TimePoint Back = Start + milliseconds(600);
  EXPECT_EQ(Admission.decide(Offered("short", 1300, Back), {59, 100}),
            Decision::Refuse);
  EXPECT_EQ(Admission.decide(Offered("long", 5400, Back), {59, 100}),
            Decision::Begin);
  EXPECT_EQ(Admission.decide(Offered("fresh", 1900, Back), {59, 100}),
            Decision::Begin);
  {
    SCOPED_TRACE("when the burst is over the late one begins as well");
    EXPECT_EQ(Admission.decide(Offered("short", 900, Back + milliseconds(400)),
                               {44, 100}),
              Decision::Begin);
  }
}

TEST(TurnAdmissionTest, PlacesGoToProgramsThatCanStillEndInTime) {
  TurnAdmission Admission({});
  EXPECT_EQ(Admission.decide(offer("late", false, 0), {100, 100}),
            Decision::Wait);
  EXPECT_EQ(Admission.decide(offer("calm", false, 5000), {100, 100}),
            Decision::Wait);
  EXPECT_EQ(Admission.decide(offer("urgent", false, 300), {100, 100}),
            Decision::Wait);
  const auto Ready = Admission.takeReady({98, 100});
  ASSERT_EQ(Ready.size(), 2U);
  EXPECT_EQ(Ready[0].m_Request.begin().turn(), "urgent");
  EXPECT_EQ(Ready[1].m_Request.begin().turn(), "calm");
  EXPECT_EQ(Admission.waiting(), 1U);
}

TEST(TurnAdmissionTest, SlowEnginesTakeFewerNewProgramsUntilTheyRecover) {
  TurnAdmission Admission({.m_LeastNewShare = 0.3, .m_MostNewShare = 0.8});
  for (int Each = 0; Each < 50; ++Each)
    Admission.observeGap(30'000);
  EXPECT_EQ(Admission.decide(offer("a", true, 2000), {79, 100}),
            Decision::Begin);
  {
    SCOPED_TRACE("long prompts slow the events of all that run");
    for (int Each = 0; Each < 300; ++Each)
      Admission.observeGap(70'000);
    EXPECT_EQ(Admission.decide(offer("b", true, 2000), {31, 100}),
              Decision::Refuse);
    EXPECT_EQ(Admission.decide(offer("c", false, 2000), {31, 100}),
              Decision::Begin);
  }
  {
    SCOPED_TRACE("the pace comes back");
    for (int Each = 0; Each < 400; ++Each)
      Admission.observeGap(31'000);
    EXPECT_EQ(Admission.decide(offer("d", true, 2000), {79, 100}),
              Decision::Begin);
  }
}

TEST(TurnAdmissionTest, NobodyWaitsLongerThanTheLimit) {
  TurnAdmission Admission({.m_LongestWait = milliseconds(100)});
  const base::TimePoint Start{base::seconds(1)};
  Admission.decide(offer("a", false, 1000, Start), {100, 100});
  Admission.decide(offer("b", false, 1000, Start + milliseconds(60)),
                   {100, 100});
  EXPECT_TRUE(Admission.takeOverdue(Start + milliseconds(90)).empty());
  const auto Overdue = Admission.takeOverdue(Start + milliseconds(110));
  ASSERT_EQ(Overdue.size(), 1U);
  EXPECT_EQ(Overdue[0].m_Request.begin().turn(), "a");
}

TEST(TurnAdmissionTest, WithoutAKnownEngineTheEntryInstanceFindsOut) {
  TurnAdmission Admission({});
  EXPECT_EQ(Admission.decide(offer("a", true, 1000), {0, 0}), Decision::Begin);
}

} // namespace
} // namespace psp::turns
