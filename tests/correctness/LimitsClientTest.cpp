/// \file
/// A token is used only within its validity period, which counts from before it
/// was requested, and a duplicate reply counts once. Otherwise more
/// tokens could be used than the limiter counts.

#include "limits/LimitClient.h"

#include <gtest/gtest.h>

namespace psp::limits {
namespace {

using base::milliseconds;
using base::seconds;

const base::TimePoint Start{base::seconds(1000)};
const base::OrganisationId Organisation{"lens-makers"};
const base::InstanceId Limiter1{"brum-a-1"};

class FixedRoute : public LimiterRoute {
public:
  std::optional<base::InstanceId> limiter(std::uint32_t /*Shard*/,
                                          std::size_t /*Attempt*/,
                                          base::TimePoint /*Now*/) override {
    return Limiter1;
  }
};

class LimitsClient : public ::testing::Test {
protected:
  LimitsClient() { m_Options.m_Self = base::InstanceId("brum-a-2"); }

  /// Requests one token at \p Now and returns a reply that grants \p Count
  /// tokens for the full validity period.
  messages::TokenReply requestAndGrant(base::TimePoint Now,
                                       std::uint32_t Count) {
    m_Client.admit(++m_Ticket, Organisation, Now + seconds(9), Now);
    const auto Requests = m_Client.takeTokenRequests();
    EXPECT_EQ(Requests.size(), 1U);
    messages::TokenReply Reply;
    Reply.set_request(Requests.front().m_Request.request());
    Reply.set_organisation(Organisation.str());
    Reply.set_grant(5);
    Reply.set_granted(Count);
    Reply.set_valid_us(
        static_cast<std::uint64_t>(m_Options.m_TokenValidity.count()));
    return Reply;
  }

  std::size_t admittedCount() {
    std::size_t Count = 0;
    for (const LimitDecision &Decision : m_Client.takeDecisions())
      Count += Decision.m_Admitted ? 1 : 0;
    return Count;
  }

  LimitOptions m_Options;
  FixedRoute m_Route;
  IdGenerator m_Ids{base::InstanceId("brum-a-2"), 1};
  LimitCounters m_Counters;
  std::uint64_t m_Ticket = 0;
  LimitClient m_Client{m_Options, m_Route, m_Ids, m_Counters};
};

TEST_F(LimitsClient, ALateGrantIsDropped) {
  const auto Reply = requestAndGrant(Start, 1);
  m_Client.onReply(Limiter1, Reply, Start + m_Options.m_TokenValidity);
  EXPECT_EQ(admittedCount(), 0U);
  EXPECT_EQ(m_Counters.m_TokensExpired, 1U);
}

TEST_F(LimitsClient, AnUnusedTokenIsNotUsedAfterItsValidity) {
  const auto Reply = requestAndGrant(Start, 3);
  m_Client.onReply(Limiter1, Reply, Start + milliseconds(1));
  {
    SCOPED_TRACE("the second token is unused and valid");
    m_Client.admit(++m_Ticket, Organisation, Start + seconds(9),
                   Start + milliseconds(2));
    EXPECT_EQ(admittedCount(), 2U);
  }
  {
    SCOPED_TRACE("the process was paused, and the third token has expired");
    m_Client.admit(++m_Ticket, Organisation, Start + seconds(9),
                   Start + m_Options.m_TokenValidity);
    EXPECT_EQ(admittedCount(), 0U);
  }
}

TEST_F(LimitsClient, ADuplicateReplyCountsOnce) {
  const auto First = requestAndGrant(Start, 1);
  m_Client.admit(++m_Ticket, Organisation, Start + seconds(9), Start);
  m_Client.admit(++m_Ticket, Organisation, Start + seconds(9), Start);
  m_Client.onReply(Limiter1, First, Start + milliseconds(1));
  EXPECT_EQ(admittedCount(), 1U);
  const auto Requests = m_Client.takeTokenRequests();
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests.front().m_Request.needed(), 2U)
      << "both requests that arrived meanwhile";
  auto Second = First;
  Second.set_request(Requests.front().m_Request.request());
  Second.set_queued(1);
  m_Client.onReply(Limiter1, Second, Start + milliseconds(2));
  m_Client.onReply(Limiter1, Second, Start + milliseconds(3));
  EXPECT_EQ(admittedCount(), 1U);
}

} // namespace
} // namespace psp::limits
