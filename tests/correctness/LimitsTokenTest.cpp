/// \file
/// Tokens that were granted or lent count against the burst until they can't
/// be used any more, and nothing that accrued meanwhile is made up for.

#include "limits/Limiter.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using base::milliseconds;
using base::seconds;

const base::TimePoint Start{base::seconds(1000)};
const base::OrganisationId Organisation{"lens-makers"};
const base::InstanceId Peer{"stoke-b-1"};

TEST(TokenBucket, WhatCouldNotAccrueIsLost) {
  TokenBucket Bucket(
      {.m_RatePerSecond = 10 * OneToken, .m_Burst = 5 * OneToken}, Start);
  {
    SCOPED_TRACE("the whole burst is granted");
    Bucket.accrue(Start + seconds(10));
    EXPECT_EQ(Bucket.level(), 5 * OneToken);
    Bucket.hold(5 * OneToken, Start + seconds(10));
  }
  {
    SCOPED_TRACE("as long as it may be used nothing accrues");
    Bucket.accrue(Start + seconds(11));
    EXPECT_EQ(Bucket.level(), 0);
  }
  {
    SCOPED_TRACE("it was used late, and only the time after that counts");
    Bucket.settle(5 * OneToken, Start + seconds(12));
    EXPECT_EQ(Bucket.level(), 0);
    Bucket.accrue(Start + seconds(12) + milliseconds(100));
    EXPECT_EQ(Bucket.level(), OneToken);
  }
}

TEST(TokenBucket, ASmallerSliceTakesEffectAtOnce) {
  TokenBucket Bucket({.m_RatePerSecond = OneToken, .m_Burst = 9 * OneToken},
                     Start);
  Bucket.hold(4 * OneToken, Start + seconds(9));
  Bucket.setSlice({.m_RatePerSecond = OneToken, .m_Burst = 3 * OneToken},
                  Start + seconds(9));
  EXPECT_EQ(Bucket.level(), 0) << "four are out, more than the new slice";
  Bucket.settle(3 * OneToken, Start + seconds(20));
  Bucket.accrue(Start + seconds(30));
  EXPECT_EQ(Bucket.level(), 2 * OneToken) << "one is still out";
}

class LimiterTokens : public ::testing::Test {
protected:
  LimiterTokens() {
    m_Options.m_Self = base::InstanceId("brum-a-1");
    m_Options.m_DataCentre = base::DataCentreId("brum-a");
    m_Options.m_ClockDrift = 0;
    m_Rates.set(1, {{.m_Organisation = Organisation,
                     .m_RatePerSecond = 10,
                     .m_Burst = 8}});
    m_Limiter.setLeaseEnd(Start + seconds(3600));
  }

  messages::LoanReply lend(std::uint64_t Amount, base::TimePoint Now) {
    messages::LoanAsk Ask;
    Ask.set_request(++m_Request);
    Ask.set_data_centre("stoke-b");
    Ask.set_organisation(Organisation.str());
    Ask.set_needed(Amount);
    return m_Limiter.onLoanAsk(Ask, Now);
  }

  void ask(std::uint32_t Needed, base::TimePoint Now) {
    messages::TokenAsk Ask;
    Ask.set_request(++m_Request);
    Ask.set_organisation(Organisation.str());
    Ask.set_needed(Needed);
    Ask.set_wait_us(50'000);
    m_Limiter.onAsk(Peer, Ask, Now);
  }

  messages::UsageReport report(std::uint64_t Id, std::uint64_t Used,
                               std::uint64_t Returned) {
    messages::UsageReport Report;
    Report.set_organisation(Organisation.str());
    Report.set_grant(Id);
    Report.set_used(Used);
    Report.set_returned(Returned);
    return Report;
  }

  MicroTokens levelAt(base::TimePoint Now) {
    m_Limiter.onTick(Now);
    lend(0, Now); // Brings the account up to date.
    return m_Limiter.level(Organisation);
  }

  LimitOptions m_Options;
  RateTable m_Rates{0, 2, 0};
  IdSource m_Ids{base::InstanceId("brum-a-1"), 1};
  LimitCounters m_Counters;
  std::uint64_t m_Request = 0;
  Limiter m_Limiter{{.m_Options = m_Options,
                     .m_Rates = m_Rates,
                     .m_DataCentres = 2,
                     .m_OwnPosition = 0,
                     .m_Ids = m_Ids,
                     .m_Counters = m_Counters},
                    0,
                    Start};
};

TEST_F(LimiterTokens, ANewLimiterStartsEmpty) {
  EXPECT_FALSE(m_Limiter.tryUse(Organisation, Start));
  EXPECT_EQ(levelAt(Start), 0);
}

TEST_F(LimiterTokens, ALoanCountsUntilItRunsOut) {
  const base::TimePoint Full = Start + seconds(60);
  const auto Loan = lend(3'000'000, Full);
  {
    SCOPED_TRACE("what was lent is gone at once and leaves no room");
    EXPECT_EQ(Loan.lent(), 3'000'000U);
    EXPECT_EQ(levelAt(Full), OneToken);
    EXPECT_EQ(levelAt(Full + m_Options.m_HoldTime - milliseconds(1)), OneToken);
  }
  {
    SCOPED_TRACE("after the hold time it accrues again");
    const base::TimePoint Over = Full + m_Options.m_HoldTime;
    EXPECT_EQ(levelAt(Over), OneToken);
    EXPECT_EQ(levelAt(Over + milliseconds(200)), 2 * OneToken);
  }
}

TEST_F(LimiterTokens, AReportCountsOnceAndReturnedTokensComeBack) {
  const base::TimePoint Full = Start + seconds(60);
  const auto Loan = lend(3'000'000, Full);
  const auto Report = report(Loan.loan(), 1'000'000, 1'500'000);
  m_Limiter.onLoanReport(Report, Full);
  m_Limiter.onLoanReport(Report, Full);
  EXPECT_EQ(levelAt(Full), OneToken + 1'500'000);
  EXPECT_FALSE(m_Limiter.isSettled());
}

TEST_F(LimiterTokens, ALoanThatComesTooLateIsNotUsed) {
  ask(1, Start);
  const auto Asked = m_Limiter.takeLoanAsks();
  ASSERT_EQ(Asked.size(), 1U);
  messages::LoanReply Reply;
  Reply.set_request(Asked.front().m_Ask.request());
  Reply.set_organisation(Organisation.str());
  Reply.set_loan(77);
  Reply.set_lent(1'000'000);
  const base::TimePoint Late = Start + m_Options.m_HoldTime;
  m_Limiter.onLoanReply(Peer, Reply, 1, Late);
  EXPECT_EQ(m_Counters.m_BorrowedMicro, 0);
  EXPECT_EQ(m_Counters.m_Granted, 1U) << "only what accrued here";
  EXPECT_EQ(m_Limiter.level(Organisation), 250'000);
}

TEST_F(LimiterTokens, NothingIsGivenThatWouldOutliveTheLease) {
  const base::TimePoint Full = Start + seconds(60);
  m_Limiter.setLeaseEnd(Full + m_Options.m_HoldTime - milliseconds(1));
  EXPECT_FALSE(m_Limiter.canGive(Full));
  EXPECT_EQ(lend(1'000'000, Full).lent(), 0U);
  EXPECT_TRUE(m_Limiter.tryUse(Organisation, Full)) << "own use takes no time";
  EXPECT_FALSE(m_Limiter.tryUse(Organisation, Full + m_Options.m_HoldTime));
}

} // namespace
} // namespace psp::limits
