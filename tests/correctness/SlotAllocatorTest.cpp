// One allocator grants the engine slots of a service to the leaders of many
// groups.

#include "history/SlotAllocator.h"

#include <gtest/gtest.h>

namespace psp::history {
namespace {

using base::milliseconds;
using base::seconds;
using messages::fleet::REPLY_BUSY;
using messages::fleet::REPLY_OK;

class EngineDeskTest : public testing::Test {
protected:
  EngineDeskTest() {
    for (const char *Id : {"engine-a", "engine-b"}) {
      fleet::EndpointState Engine;
      Engine.set_id(Id);
      Engine.set_born(1);
      Engine.set_sequence(1);
      Engine.set_service("models");
      Engine.set_address(std::string(Id) + ":80");
      Engine.set_slots(5);
      m_Endpoints.merge(Engine, false, m_Now);
    }
  }

  std::vector<SlotResponse> requestSlot(const std::string &Turn,
                                        bool NewProgram,
                                        const std::string &Node = "history-1") {
    SlotAllocator::PendingTurn Requested{.m_From = {.m_Node = Node},
                                         .m_Request = {},
                                         .m_NewProgram = NewProgram,
                                         .m_ArrivedAt = m_Now};
    Requested.m_Request.set_id(++m_Id);
    auto &Begin = *Requested.m_Request.mutable_begin();
    Begin.set_turn(Turn);
    Begin.set_program("program of " + Turn);
    Begin.set_service("models");
    m_Allocator.requestSlot(Requested, m_Now);
    return m_Allocator.takeResponses(m_Now);
  }

  void end(const std::string &Turn) {
    messages::fleet::TurnReport Report;
    Report.set_turn(Turn);
    Report.set_service("models");
    m_Allocator.reportTurn(Report, m_Now);
  }

  fleet::EndpointDirectory m_Endpoints;
  SlotAllocator m_Allocator{"models", {}, m_Endpoints};
  base::TimePoint m_Now{seconds(1)};
  std::uint64_t m_Id = 0;
};

TEST_F(EngineDeskTest, CountsTheTurnsOfAllGroups) {
  for (int Index = 0; Index < 8; ++Index) {
    const auto Responses = requestSlot("t" + std::to_string(Index), true,
                                       "history-" + std::to_string(Index % 3));
    ASSERT_EQ(Responses.size(), 1U);
    EXPECT_EQ(Responses[0].m_Reply.kind(), REPLY_OK);
    EXPECT_FALSE(Responses[0].m_Reply.endpoint().empty());
  }
  {
    SCOPED_TRACE("four fifths of the slots are in use: new programs wait");
    EXPECT_TRUE(requestSlot("new", true, "history-2").empty());
  }
  {
    SCOPED_TRACE("later turns get the remaining slots, then wait");
    EXPECT_EQ(requestSlot("t8", false).size(), 1U);
    EXPECT_EQ(requestSlot("t9", false).size(), 1U);
    EXPECT_TRUE(requestSlot("waits", false).empty());
    EXPECT_EQ(m_Allocator.waiting(), 2U);
  }
  {
    SCOPED_TRACE("when a turn of any group ends, a later turn begins first");
    end("t3");
    const auto Responses = m_Allocator.takeResponses(m_Now);
    ASSERT_EQ(Responses.size(), 1U);
    EXPECT_EQ(Responses[0].m_Turn.m_Request.begin().turn(), "waits");
    EXPECT_EQ(Responses[0].m_Reply.kind(), REPLY_OK);
  }
  {
    SCOPED_TRACE("the new program is rejected with a time to retry");
    m_Now += milliseconds(150);
    const auto Responses = m_Allocator.takeResponses(m_Now);
    ASSERT_EQ(Responses.size(), 1U);
    EXPECT_EQ(Responses[0].m_Reply.kind(), REPLY_BUSY);
    EXPECT_GE(Responses[0].m_Reply.wait_ms(), 300U);
    EXPECT_EQ(Responses[0].m_Turn.m_From.m_Node, "history-2");
  }
}

/// Load pattern: replies are slow, and requesters repeat their requests.
TEST_F(EngineDeskTest, ARepeatedRequestGetsTheSameSlot) {
  const auto First = requestSlot("t", false);
  const auto Repeated = requestSlot("t", false, "history-2");
  ASSERT_EQ(First.size(), 1U);
  ASSERT_EQ(Repeated.size(), 1U);
  EXPECT_EQ(Repeated[0].m_Reply.endpoint(), First[0].m_Reply.endpoint());
  EXPECT_EQ(Repeated[0].m_Reply.id(), 2U);
  EXPECT_EQ(m_Allocator.load().m_Running, 1U);
  {
    SCOPED_TRACE("also while it waits: only the last requester gets the reply");
    for (int Index = 0; Index < 9; ++Index)
      requestSlot("other" + std::to_string(Index), false);
    EXPECT_TRUE(requestSlot("waits", false, "history-1").empty());
    EXPECT_TRUE(requestSlot("waits", false, "history-3").empty());
    end("t");
    const auto Responses = m_Allocator.takeResponses(m_Now);
    ASSERT_EQ(Responses.size(), 1U);
    EXPECT_EQ(Responses[0].m_Turn.m_From.m_Node, "history-3");
  }
}

TEST_F(EngineDeskTest, ATurnThatWaitsTooLongHasToBeRequestedAgain) {
  for (int Index = 0; Index < 10; ++Index)
    requestSlot("t" + std::to_string(Index), false);
  EXPECT_TRUE(requestSlot("waits", false).empty());
  m_Now += milliseconds(200);
  const auto Responses = m_Allocator.takeResponses(m_Now);
  ASSERT_EQ(Responses.size(), 1U);
  EXPECT_EQ(Responses[0].m_Reply.kind(), REPLY_BUSY);
  EXPECT_EQ(Responses[0].m_Reply.wait_ms(), 0U);
}

} // namespace
} // namespace psp::history
