/// \file
/// Granted and lent tokens count against the burst until they can't be used any
/// more, and tokens that couldn't accrue meanwhile are not added later.
/// Otherwise an organisation could exceed its rate and burst.

#include "limits/Limiter.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using base::milliseconds;
using base::seconds;

const base::TimePoint Start{base::seconds(1000)};
const base::OrganisationId Organisation{"lens-makers"};
const base::InstanceId Peer{"stoke-b-1"};

TEST(TokenBucket, TokensWithoutHeadroomAreLost) {
  TokenBucket Bucket(
      {.m_RatePerSecond = 10 * OneToken, .m_Burst = 5 * OneToken}, Start);
  {
    SCOPED_TRACE("the whole burst is granted");
    Bucket.accrue(Start + seconds(10));
    EXPECT_EQ(Bucket.level(), 5 * OneToken);
    Bucket.transferOut(5 * OneToken, Start + seconds(10));
  }
  {
    SCOPED_TRACE("nothing accrues while the grant may be used");
    Bucket.accrue(Start + seconds(11));
    EXPECT_EQ(Bucket.level(), 0);
  }
  {
    SCOPED_TRACE(
        "the grant was used late, and only the time after that counts");
    Bucket.settle(5 * OneToken, Start + seconds(12));
    EXPECT_EQ(Bucket.level(), 0);
    Bucket.accrue(Start + seconds(12) + milliseconds(100));
    EXPECT_EQ(Bucket.level(), OneToken);
  }
}

TEST(TokenBucket, ASmallerSliceTakesEffectAtOnce) {
  TokenBucket Bucket({.m_RatePerSecond = OneToken, .m_Burst = 9 * OneToken},
                     Start);
  Bucket.transferOut(4 * OneToken, Start + seconds(9));
  Bucket.setSlice({.m_RatePerSecond = OneToken, .m_Burst = 3 * OneToken},
                  Start + seconds(9));
  EXPECT_EQ(Bucket.level(), 0)
      << "four are outstanding, more than the burst of the new slice";
  Bucket.settle(3 * OneToken, Start + seconds(20));
  Bucket.accrue(Start + seconds(30));
  EXPECT_EQ(Bucket.level(), 2 * OneToken) << "one is still outstanding";
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
    m_Limiter.setLeaseExpiry(Start + seconds(3600));
  }

  messages::LoanReply lend(std::uint64_t Amount, base::TimePoint Now) {
    messages::LoanAsk Request;
    Request.set_request(++m_LastRequestId);
    Request.set_data_centre("stoke-b");
    Request.set_organisation(Organisation.str());
    Request.set_needed(Amount);
    return m_Limiter.onLoanRequest(Request, Now);
  }

  void requestTokens(std::uint32_t Needed, base::TimePoint Now) {
    messages::TokenAsk Request;
    Request.set_request(++m_LastRequestId);
    Request.set_organisation(Organisation.str());
    Request.set_needed(Needed);
    Request.set_wait_us(50'000);
    m_Limiter.onRequest(Peer, Request, Now);
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
    lend(0, Now); // Lets the bucket accrue up to Now.
    return m_Limiter.level(Organisation);
  }

  LimitOptions m_Options;
  RateTable m_Rates{0, 2, 0};
  IdGenerator m_Ids{base::InstanceId("brum-a-1"), 1};
  LimitCounters m_Counters;
  std::uint64_t m_LastRequestId = 0;
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
  EXPECT_FALSE(m_Limiter.tryConsume(Organisation, Start));
  EXPECT_EQ(levelAt(Start), 0);
}

TEST_F(LimiterTokens, ALoanIsOutstandingUntilItExpires) {
  const base::TimePoint Full = Start + seconds(60);
  const auto Loan = lend(3'000'000, Full);
  {
    SCOPED_TRACE(
        "lent tokens leave the level at once and nothing accrues for them");
    EXPECT_EQ(Loan.lent(), 3'000'000U);
    EXPECT_EQ(levelAt(Full), OneToken);
    EXPECT_EQ(levelAt(Full + m_Options.m_TokenValidity - milliseconds(1)),
              OneToken);
  }
  {
    SCOPED_TRACE("after the validity period the bucket accrues again");
    const base::TimePoint Expired = Full + m_Options.m_TokenValidity;
    EXPECT_EQ(levelAt(Expired), OneToken);
    EXPECT_EQ(levelAt(Expired + milliseconds(200)), 2 * OneToken);
  }
}

TEST_F(LimiterTokens, ADuplicateReportCountsOnceAndReturnedTokensAreRestored) {
  const base::TimePoint Full = Start + seconds(60);
  const auto Loan = lend(3'000'000, Full);
  const auto Report = report(Loan.loan(), 1'000'000, 1'500'000);
  m_Limiter.onLoanReport(Report, Full);
  m_Limiter.onLoanReport(Report, Full);
  EXPECT_EQ(levelAt(Full), OneToken + 1'500'000);
  EXPECT_FALSE(m_Limiter.isSettled());
}

TEST_F(LimiterTokens, ALateLoanIsNotUsed) {
  requestTokens(1, Start);
  const auto LoanRequests = m_Limiter.takeLoanRequests();
  ASSERT_EQ(LoanRequests.size(), 1U);
  messages::LoanReply Reply;
  Reply.set_request(LoanRequests.front().m_Request.request());
  Reply.set_organisation(Organisation.str());
  Reply.set_loan(77);
  Reply.set_lent(1'000'000);
  const base::TimePoint Late = Start + m_Options.m_TokenValidity;
  m_Limiter.onLoanReply(Peer, Reply, 1, Late);
  EXPECT_EQ(m_Counters.m_BorrowedMicroTokens, 0);
  EXPECT_EQ(m_Counters.m_TokensGranted, 1U)
      << "only the token that accrued here";
  EXPECT_EQ(m_Limiter.level(Organisation), 250'000);
}

TEST_F(LimiterTokens, NoGrantOrLoanOutlivesTheLease) {
  const base::TimePoint Full = Start + seconds(60);
  m_Limiter.setLeaseExpiry(Full + m_Options.m_TokenValidity - milliseconds(1));
  EXPECT_FALSE(m_Limiter.canTransfer(Full));
  EXPECT_EQ(lend(1'000'000, Full).lent(), 0U);
  EXPECT_TRUE(m_Limiter.tryConsume(Organisation, Full))
      << "a request of this process uses its token at once";
  EXPECT_FALSE(
      m_Limiter.tryConsume(Organisation, Full + m_Options.m_TokenValidity));
}

} // namespace
} // namespace psp::limits
