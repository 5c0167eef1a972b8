/// \file
/// Calls of programs through ProgramTable: order, resends, budget, claims,
/// limits, takeover and the end of a program. Messages are delivered
/// immediately.

#include "ProgramFleet.h"

#include <gtest/gtest.h>

namespace psp::program {
namespace {

using base::EndpointId;
using tests::Fleet;

class ProgramTableTest : public testing::Test {
protected:
  ProgramTableTest() { m_Fleet.settle(); }

  SubmittedCall chat(CallNumber Call, std::uint64_t Turn,
                     const std::string &Text) {
    SubmittedCall Result = {.m_Call = Call,
                            .m_Organisation = m_Mills,
                            .m_Key = base::KeyId("key-1")};
    Result.m_CarriesHistory = true;
    Result.m_Request.set_program(m_Program.str());
    Result.m_Request.set_turn(Turn);
    Result.m_Request.set_service("advice");
    Result.m_Request.set_max_tokens(100);
    Result.m_Request.set_body(R"({"messages":[{"role":"user","content":")" +
                              Text + R"("}]})");
    return Result;
  }

  SubmittedCall order(CallNumber Call, std::uint64_t Turn,
                      const std::string &Key) {
    SubmittedCall Result = chat(Call, Turn, "unused");
    Result.m_CarriesHistory = false;
    Result.m_Repeatable = false;
    Result.m_Request.set_service("cutting");
    Result.m_Request.set_max_tokens(0);
    Result.m_Request.set_body("cut 12 panes");
    Result.m_Request.set_idempotency_key(Key);
    return Result;
  }

  static messages::CallOutcome success(std::uint64_t UsedTokens) {
    messages::CallOutcome Outcome;
    Outcome.set_status(200);
    Outcome.set_used_tokens(UsedTokens);
    return Outcome;
  }

  void create(int Instance, ProgramLimits Limits = {.m_BudgetTokens = 1000}) {
    m_Fleet.table(Instance).create(1000, m_Program, m_Mills,
                                   base::KeyId("key-1"), Limits, m_Fleet.now(),
                                   m_Fleet.outbox(Instance));
    m_Fleet.settle();
    EXPECT_EQ(m_Fleet.errorOf(Instance, 1000), "");
  }

  void submit(int Instance, const SubmittedCall &Call) {
    m_Fleet.table(Instance).submit(Call, m_Fleet.now(),
                                   m_Fleet.outbox(Instance));
    m_Fleet.settle();
  }

  void run(int Instance, CallNumber Call, const std::string &Answer,
           std::uint64_t UsedTokens = 10) {
    m_Fleet.table(Instance).noteSent(Call, EndpointId("engine-1"));
    m_Fleet.table(Instance).finish(Call, success(UsedTokens), Answer,
                                   m_Fleet.now(), m_Fleet.outbox(Instance));
    m_Fleet.settle();
  }

  void claim(int Instance, CallNumber Call) {
    m_Fleet.table(Instance).claim(Call, EndpointId("saw-1"), 7, m_Fleet.now(),
                                  m_Fleet.outbox(Instance));
    m_Fleet.settle();
  }

  Fleet m_Fleet;
  const base::OrganisationId m_Mills{"mills"};
  const base::ProgramId m_Program =
      makeProgramId(base::DataCentreId("brum-a"), "0123456789abcdef");
};

TEST_F(ProgramTableTest, TurnsRunInOrderAndCarryTheHistory) {
  create(0);
  {
    SCOPED_TRACE("turn 2 arrives while turn 1 runs, and waits");
    submit(0, chat(1, 1, "bevel?"));
    submit(0, chat(2, 2, "and now?"));
    EXPECT_TRUE(m_Fleet.isReady(0, 1));
    EXPECT_FALSE(m_Fleet.isReady(0, 2));
  }
  {
    SCOPED_TRACE("turn 2 starts with the conversation of turn 1 prepended");
    run(0, 1,
        R"({"choices":[{"message":{"role":"assistant","content":"30"}}]})");
    EXPECT_EQ(m_Fleet.errorOf(0, 1), "");
    ASSERT_TRUE(m_Fleet.isReady(0, 2));
    EXPECT_EQ(m_Fleet.bodyOf(0, 2),
              R"({"messages":[{"content":"bevel?","role":"user"},)"
              R"({"content":"30","role":"assistant"},)"
              R"({"content":"and now?","role":"user"}],"stream":true})");
  }
  {
    SCOPED_TRACE("a gap and a used turn with other content are refused");
    submit(0, chat(3, 5, "later"));
    EXPECT_EQ(m_Fleet.errorOf(0, 3), "wrong-turn");
    submit(0, chat(4, 1, "something else"));
    EXPECT_EQ(m_Fleet.errorOf(0, 4), "wrong-turn");
  }
  {
    SCOPED_TRACE("the same turn again is answered from the record");
    submit(0, chat(5, 1, "bevel?"));
    EXPECT_EQ(m_Fleet.errorOf(0, 5), "");
    EXPECT_TRUE(m_Fleet.done(0, 5)->m_FromRecord);
  }
}

TEST_F(ProgramTableTest, AnotherOrganisationsProgramDoesNotExist) {
  create(0);
  SubmittedCall Call = chat(1, 1, "bevel?");
  Call.m_Organisation = base::OrganisationId("others");
  submit(0, Call);
  EXPECT_EQ(m_Fleet.errorOf(0, 1), "not-found");
}

TEST_F(ProgramTableTest, IdempotencyKeyFindsTheRecordUnderAnyTurn) {
  create(0);
  submit(0, order(1, 1, "cut-1"));
  claim(0, 1);
  ASSERT_TRUE(m_Fleet.isClaimed(0, 1));
  {
    SCOPED_TRACE("a resend joins the running call");
    submit(0, order(2, 1, "cut-1"));
    EXPECT_EQ(m_Fleet.done(0, 2), nullptr);
  }
  m_Fleet.table(0).finish(1, success(0), "cut", m_Fleet.now(),
                          m_Fleet.outbox(0));
  m_Fleet.settle();
  EXPECT_EQ(m_Fleet.done(0, 2)->m_Answer, "cut");
  {
    SCOPED_TRACE("a resend under a new turn gets the recorded outcome");
    submit(0, order(3, 2, "cut-1"));
    EXPECT_EQ(m_Fleet.done(0, 3)->m_Answer, "cut");
  }
  {
    SCOPED_TRACE("another request under the key is a conflict");
    SubmittedCall Other = order(4, 2, "cut-1");
    Other.m_Request.set_body("cut 13 panes");
    submit(0, Other);
    EXPECT_EQ(m_Fleet.errorOf(0, 4), "idempotency-conflict");
  }
}

TEST_F(ProgramTableTest, BudgetIsReservedAndSettled) {
  create(0, {.m_BudgetTokens = 230});
  submit(0, chat(1, 1, "bevel?"));
  EXPECT_GT(m_Fleet.table(0).find(m_Program)->state().reservedTokens(), 100U);
  {
    SCOPED_TRACE(
        "usage above the reservation is charged only up to the reservation");
    run(0, 1, "ok", 100000);
    EXPECT_LE(m_Fleet.table(0).find(m_Program)->state().spentTokens(), 150U);
  }
  submit(0, chat(2, 2, "next"));
  EXPECT_EQ(m_Fleet.errorOf(0, 2), "budget-exceeded");
}

TEST_F(ProgramTableTest, AbandonedCallCostsNothingAndMayBeAskedAgain) {
  create(0, {.m_BudgetTokens = 130});
  submit(0, chat(1, 1, "bevel?"));
  m_Fleet.table(0).abandon(1, base::ErrorKind::DeadlineExceeded, m_Fleet.now(),
                           m_Fleet.outbox(0));
  m_Fleet.settle();
  EXPECT_EQ(m_Fleet.errorOf(0, 1), "deadline-exceeded");
  submit(0, chat(2, 1, "bevel?"));
  EXPECT_TRUE(m_Fleet.isReady(0, 2));
}

TEST_F(ProgramTableTest, TakeoverNeverSendsAClaimedCallAgain) {
  create(0);
  submit(0, order(1, 1, "cut-1"));
  claim(0, 1);
  ASSERT_TRUE(m_Fleet.isClaimed(0, 1));
  {
    SCOPED_TRACE("another owner answers that the outcome is unknown");
    submit(1, order(2, 1, "cut-1"));
    EXPECT_EQ(m_Fleet.errorOf(1, 2), "outcome-unknown");
    EXPECT_FALSE(m_Fleet.isReady(1, 2));
    EXPECT_EQ(m_Fleet.table(1).unknownOutcomes().size(), 1U);
  }
  {
    SCOPED_TRACE("the first owner's late result is fenced");
    m_Fleet.table(0).finish(1, success(0), "cut", m_Fleet.now(),
                            m_Fleet.outbox(0));
    m_Fleet.settle();
    EXPECT_EQ(m_Fleet.errorOf(0, 1), "outcome-unknown");
  }
  {
    SCOPED_TRACE("an operator resolves it");
    m_Fleet.table(1).resolve(3, m_Program, 1, "was cut", "ann", m_Fleet.now(),
                             m_Fleet.outbox(1));
    m_Fleet.settle();
    EXPECT_EQ(m_Fleet.errorOf(1, 3), "");
    EXPECT_TRUE(m_Fleet.table(1).unknownOutcomes().empty());
  }
}

TEST_F(ProgramTableTest, TakeoverRunsARepeatableTurnAgain) {
  create(0);
  submit(0, chat(1, 1, "bevel?"));
  m_Fleet.table(0).noteSent(1, EndpointId("engine-1"));
  m_Fleet.settle();
  submit(1, chat(2, 1, "bevel?"));
  ASSERT_TRUE(m_Fleet.isReady(1, 2));
  run(1, 2, "30");
  EXPECT_EQ(m_Fleet.errorOf(1, 2), "");
  {
    SCOPED_TRACE("the first owner detects that it has lost the program");
    run(0, 1, "31");
    EXPECT_EQ(m_Fleet.errorOf(0, 1), "answer-interrupted");
  }
}

TEST_F(ProgramTableTest, EndReleasesTheMemoryOfEveryEndpoint) {
  create(0);
  submit(0, chat(1, 1, "bevel?"));
  run(0, 1, "30");
  m_Fleet.table(0).end(m_Program, "done", m_Fleet.now(), m_Fleet.outbox(0));
  m_Fleet.settle();
  ASSERT_EQ(m_Fleet.released(0).size(), 1U);
  EXPECT_EQ(m_Fleet.released(0)[0].m_Endpoints,
            std::vector<EndpointId>{EndpointId("engine-1")});
  {
    SCOPED_TRACE("a new owner releases it again until it is recorded as freed");
    m_Fleet.table(1).adopt(m_Program, m_Fleet.now(), m_Fleet.outbox(1));
    m_Fleet.settle();
    ASSERT_EQ(m_Fleet.released(1).size(), 1U);
    m_Fleet.table(1).memoryFreed(m_Program, m_Fleet.now(), m_Fleet.outbox(1));
    m_Fleet.settle();
    EXPECT_EQ(m_Fleet.table(1).programCount(), 0U);
    m_Fleet.table(2).adopt(m_Program, m_Fleet.now(), m_Fleet.outbox(2));
    m_Fleet.settle();
    EXPECT_TRUE(m_Fleet.released(2).empty());
  }
  {
    SCOPED_TRACE("a new call is refused, a resend gets the record");
    submit(2, chat(2, 2, "more"));
    EXPECT_EQ(m_Fleet.errorOf(2, 2), "program-ended");
    submit(2, chat(3, 1, "bevel?"));
    EXPECT_EQ(m_Fleet.errorOf(2, 3), "");
  }
}

TEST_F(ProgramTableTest, EachLimitHasItsOwnErrorKind) {
  create(0, {.m_BudgetTokens = 10000,
             .m_MaxTurns = 1,
             .m_MaxHistoryTokens = 100,
             .m_MaxLifetime = base::seconds(60)});
  submit(0, chat(1, 1, std::string(1000, 'x')));
  EXPECT_EQ(m_Fleet.errorOf(0, 1), "token-limit");
  submit(0, chat(2, 1, "bevel?"));
  run(0, 2, "30");
  submit(0, chat(3, 2, "more"));
  EXPECT_EQ(m_Fleet.errorOf(0, 3), "turn-limit");
  m_Fleet.pass(base::seconds(61));
  EXPECT_EQ(m_Fleet.released(0).size(), 1U);
  submit(0, chat(4, 2, "more"));
  EXPECT_EQ(m_Fleet.errorOf(0, 4), "program-ended");
}

TEST_F(ProgramTableTest, CallIsRefusedAsNotRunWithoutAQuorum) {
  create(0);
  m_Fleet.cut("ledger-b");
  m_Fleet.cut("ledger-c");
  submit(0, chat(1, 1, "bevel?"));
  m_Fleet.pass(base::seconds(10));
  EXPECT_EQ(m_Fleet.errorOf(0, 1), "quorum-unavailable");
  m_Fleet.heal();
  submit(0, chat(2, 1, "bevel?"));
  m_Fleet.pass(base::seconds(1));
  EXPECT_TRUE(m_Fleet.isReady(0, 2));
}

TEST_F(ProgramTableTest, CutOffDataCentreAcceptsLocalTurns) {
  create(0);
  m_Fleet.cut("ledger-b");
  m_Fleet.cut("ledger-c");
  m_Fleet.table(0).setCutOff(true, true);
  {
    SCOPED_TRACE("a turn is durable on the local disk and reports it");
    submit(0, chat(1, 1, "bevel?"));
    ASSERT_TRUE(m_Fleet.isReady(0, 1));
    run(0, 1, "30");
    EXPECT_EQ(m_Fleet.done(0, 1)->m_Outcome.durability(), "local");
  }
  {
    SCOPED_TRACE("a non-repeatable call is refused");
    submit(0, order(2, 2, "cut-1"));
    EXPECT_EQ(m_Fleet.errorOf(0, 2), "not-repeatable-while-cut-off");
  }
  {
    SCOPED_TRACE("after reconnection the turns reach the other ledgers");
    m_Fleet.heal();
    m_Fleet.table(0).setCutOff(false, false);
    m_Fleet.pass(base::seconds(1));
    submit(1, chat(3, 2, "more"));
    ASSERT_TRUE(m_Fleet.isReady(1, 3));
    const auto &Entries = m_Fleet.table(1).find(m_Program)->owner().entries();
    EXPECT_EQ(Entries[1].durability(), "local");
    EXPECT_EQ(Entries.back().durability(), "quorum");
    EXPECT_EQ(verifyChain(Entries), std::nullopt);
  }
}

TEST_F(ProgramTableTest, LocalTurnsStopWhenTheHomeLeaseHasExpired) {
  create(0);
  m_Fleet.cut("ledger-b");
  m_Fleet.cut("ledger-c");
  m_Fleet.table(0).setCutOff(true, true);
  m_Fleet.pass(base::seconds(31));
  submit(0, chat(1, 1, "bevel?"));
  m_Fleet.pass(base::seconds(4));
  EXPECT_EQ(m_Fleet.errorOf(0, 1), "quorum-unavailable");
}

TEST_F(ProgramTableTest, LedgerListsProgramsThatNeedAnOwner) {
  create(0);
  const base::InstanceId Ledger("ledger-b");
  m_Fleet.table(1).list(Ledger, base::DataCentreId("brum-a"),
                        m_Fleet.outbox(1));
  m_Fleet.table(2).list(Ledger, base::DataCentreId("stoke-b"),
                        m_Fleet.outbox(2));
  m_Fleet.settle();
  const std::vector<ListedProgram> Expected = {
      {.m_Program = m_Program, .m_Owner = base::InstanceId("entry-0")}};
  EXPECT_EQ(m_Fleet.table(1).takeListed(), Expected);
  EXPECT_TRUE(m_Fleet.table(2).takeListed().empty());
  {
    SCOPED_TRACE("an ended program whose memory is freed needs none");
    m_Fleet.table(0).end(m_Program, "done", m_Fleet.now(), m_Fleet.outbox(0));
    m_Fleet.settle();
    m_Fleet.table(0).memoryFreed(m_Program, m_Fleet.now(), m_Fleet.outbox(0));
    m_Fleet.settle();
    m_Fleet.table(1).list(Ledger, base::DataCentreId("brum-a"),
                          m_Fleet.outbox(1));
    m_Fleet.settle();
    EXPECT_TRUE(m_Fleet.table(1).takeListed().empty());
  }
}

TEST_F(ProgramTableTest, DisplacedLocalTurnsStayOnTheLedger) {
  create(0);
  m_Fleet.cutLink(0, "ledger-b");
  m_Fleet.cutLink(0, "ledger-c");
  m_Fleet.cutLink(1, "ledger-a");
  m_Fleet.table(0).setCutOff(true, true);
  submit(0, chat(1, 1, "bevel?"));
  ASSERT_TRUE(m_Fleet.isReady(0, 1));
  submit(1, chat(2, 1, "another question"));
  ASSERT_TRUE(m_Fleet.isReady(1, 2));
  m_Fleet.heal();
  m_Fleet.pass(base::seconds(1));
  const HeldProgram *Held = m_Fleet.ledger(0).replica().find(m_Program);
  ASSERT_EQ(Held->m_Branch.size(), 1U);
  EXPECT_TRUE(Held->m_Branch[0].has_turn_started());
}

} // namespace
} // namespace psp::program
