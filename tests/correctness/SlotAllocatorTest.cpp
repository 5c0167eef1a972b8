// One place grants the engines of a service to the leaders of many groups.

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

  std::vector<SlotResponse> offer(const std::string &Turn, bool NewProgram,
                                  const std::string &Node = "history-1") {
    SlotAllocator::Offer Asked{.m_Node = Node,
                               .m_Request = {},
                               .m_NewProgram = NewProgram,
                               .m_ArrivedAt = m_Now};
    Asked.m_Request.set_id(++m_Id);
    auto &Begin = *Asked.m_Request.mutable_begin();
    Begin.set_turn(Turn);
    Begin.set_program("program of " + Turn);
    Begin.set_service("models");
    m_Desk.offer(Asked, m_Now);
    return m_Desk.takeReady(m_Now);
  }

  void end(const std::string &Turn) {
    messages::fleet::TurnReport News;
    News.set_turn(Turn);
    News.set_service("models");
    m_Desk.report(News, m_Now);
  }

  fleet::EndpointDirectory m_Endpoints;
  SlotAllocator m_Desk{"models", {}, m_Endpoints};
  base::TimePoint m_Now{seconds(1)};
  std::uint64_t m_Id = 0;
};

TEST_F(EngineDeskTest, CountsTheTurnsOfAllGroups) {
  for (int Each = 0; Each < 8; ++Each) {
    const auto Answers = offer("t" + std::to_string(Each), true,
                               "history-" + std::to_string(Each % 3));
    ASSERT_EQ(Answers.size(), 1U);
    EXPECT_EQ(Answers[0].m_Reply.kind(), REPLY_OK);
    EXPECT_FALSE(Answers[0].m_Reply.endpoint().empty());
  }
  {
    SCOPED_TRACE("four fifths of the places are taken: new programs wait");
    EXPECT_TRUE(offer("new", true, "history-2").empty());
  }
  {
    SCOPED_TRACE("later turns take the rest, then wait");
    EXPECT_EQ(offer("t8", false).size(), 1U);
    EXPECT_EQ(offer("t9", false).size(), 1U);
    EXPECT_TRUE(offer("waits", false).empty());
    EXPECT_EQ(m_Desk.waiting(), 2U);
  }
  {
    SCOPED_TRACE("a later turn begins first when a turn of any group ends");
    end("t3");
    const auto Answers = m_Desk.takeReady(m_Now);
    ASSERT_EQ(Answers.size(), 1U);
    EXPECT_EQ(Answers[0].m_Offer.m_Request.begin().turn(), "waits");
    EXPECT_EQ(Answers[0].m_Reply.kind(), REPLY_OK);
  }
  {
    SCOPED_TRACE("the new program is soon told when to come back");
    m_Now += milliseconds(150);
    const auto Answers = m_Desk.takeReady(m_Now);
    ASSERT_EQ(Answers.size(), 1U);
    EXPECT_EQ(Answers[0].m_Reply.kind(), REPLY_BUSY);
    EXPECT_GE(Answers[0].m_Reply.wait_ms(), 300U);
    EXPECT_EQ(Answers[0].m_Offer.m_Node, "history-2");
  }
}

/// Load pattern: answers are slow, and askers repeat themselves.
TEST_F(EngineDeskTest, ATurnThatIsAskedForAgainHasOnePlace) {
  const auto First = offer("t", false);
  const auto Again = offer("t", false, "history-2");
  ASSERT_EQ(First.size(), 1U);
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].m_Reply.endpoint(), First[0].m_Reply.endpoint());
  EXPECT_EQ(Again[0].m_Reply.id(), 2U);
  EXPECT_EQ(m_Desk.load().m_Running, 1U);
  {
    SCOPED_TRACE("also while it waits: the last asker is answered, once");
    for (int Each = 0; Each < 9; ++Each)
      offer("other" + std::to_string(Each), false);
    EXPECT_TRUE(offer("waits", false, "history-1").empty());
    EXPECT_TRUE(offer("waits", false, "history-3").empty());
    end("t");
    const auto Answers = m_Desk.takeReady(m_Now);
    ASSERT_EQ(Answers.size(), 1U);
    EXPECT_EQ(Answers[0].m_Offer.m_Node, "history-3");
  }
}

TEST_F(EngineDeskTest, ATurnThatWaitsTooLongIsToldToAskAgain) {
  for (int Each = 0; Each < 10; ++Each)
    offer("t" + std::to_string(Each), false);
  EXPECT_TRUE(offer("waits", false).empty());
  m_Now += milliseconds(200);
  const auto Answers = m_Desk.takeReady(m_Now);
  ASSERT_EQ(Answers.size(), 1U);
  EXPECT_EQ(Answers[0].m_Reply.kind(), REPLY_BUSY);
  EXPECT_EQ(Answers[0].m_Reply.wait_ms(), 0U);
}

} // namespace
} // namespace psp::history
