/// \file
/// A token is used within its validity, counted from before it was asked for,
/// or not at all; a reply counts once.

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

  /// Asks for one token at \p Now and returns the reply that grants \p Count
  /// for the whole hold time.
  messages::TokenReply askAndGrant(base::TimePoint Now, std::uint32_t Count) {
    m_Client.admit(++m_Ticket, Organisation, Now + seconds(9), Now);
    const auto Asks = m_Client.takeAsks();
    EXPECT_EQ(Asks.size(), 1U);
    messages::TokenReply Reply;
    Reply.set_request(Asks.front().m_Ask.request());
    Reply.set_organisation(Organisation.str());
    Reply.set_grant(5);
    Reply.set_granted(Count);
    Reply.set_valid_us(
        static_cast<std::uint64_t>(m_Options.m_HoldTime.count()));
    return Reply;
  }

  std::size_t admitted() {
    std::size_t Count = 0;
    for (const LimitDecision &Each : m_Client.takeDecisions())
      Count += Each.m_Admitted ? 1 : 0;
    return Count;
  }

  LimitOptions m_Options;
  FixedRoute m_Route;
  IdSource m_Ids{base::InstanceId("brum-a-2"), 1};
  LimitCounters m_Counters;
  std::uint64_t m_Ticket = 0;
  LimitClient m_Client{m_Options, m_Route, m_Ids, m_Counters};
};

TEST_F(LimitsClient, AGrantThatComesTooLateIsDropped) {
  const auto Reply = askAndGrant(Start, 1);
  m_Client.onReply(Limiter1, Reply, Start + m_Options.m_HoldTime);
  EXPECT_EQ(admitted(), 0U);
  EXPECT_EQ(m_Counters.m_Dropped, 1U);
}

TEST_F(LimitsClient, ASpareTokenIsNotUsedAfterItsValidity) {
  const auto Reply = askAndGrant(Start, 3);
  m_Client.onReply(Limiter1, Reply, Start + milliseconds(1));
  {
    SCOPED_TRACE("the second one is at hand");
    m_Client.admit(++m_Ticket, Organisation, Start + seconds(9),
                   Start + milliseconds(2));
    EXPECT_EQ(admitted(), 2U);
  }
  {
    SCOPED_TRACE("the process stood still, and the third one has run out");
    m_Client.admit(++m_Ticket, Organisation, Start + seconds(9),
                   Start + m_Options.m_HoldTime);
    EXPECT_EQ(admitted(), 0U);
  }
}

TEST_F(LimitsClient, AReplyThatComesTwiceCountsOnce) {
  const auto First = askAndGrant(Start, 1);
  m_Client.admit(++m_Ticket, Organisation, Start + seconds(9), Start);
  m_Client.admit(++m_Ticket, Organisation, Start + seconds(9), Start);
  m_Client.onReply(Limiter1, First, Start + milliseconds(1));
  EXPECT_EQ(admitted(), 1U);
  const auto Asks = m_Client.takeAsks();
  ASSERT_EQ(Asks.size(), 1U);
  EXPECT_EQ(Asks.front().m_Ask.needed(), 2U) << "both that came meanwhile";
  auto Second = First;
  Second.set_request(Asks.front().m_Ask.request());
  Second.set_queued(1);
  m_Client.onReply(Limiter1, Second, Start + milliseconds(2));
  m_Client.onReply(Limiter1, Second, Start + milliseconds(3));
  EXPECT_EQ(admitted(), 1U);
}

} // namespace
} // namespace psp::limits
