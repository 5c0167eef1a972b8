// A stream isn't recorded under the version of a start of its endpoint that has
// ended.

#include "history/LaterVersion.h"
#include "history/SlotAllocator.h"

#include <gtest/gtest.h>

namespace psp::history {
namespace {

constexpr std::uint64_t FirstStart = 5;
constexpr std::uint64_t SecondStart = 6;

class LaterVersionTest : public testing::Test {
protected:
  void announce(std::uint64_t Born, const std::string &Software) {
    fleet::EndpointState Engine;
    Engine.set_id("engine-a");
    Engine.set_born(Born);
    Engine.set_sequence(1);
    Engine.set_service("models");
    Engine.set_address("engine-a:80");
    Engine.set_software(Software);
    Engine.set_slots(5);
    m_Endpoints.merge(Engine, false, m_Now);
  }

  std::string later(std::uint64_t Born, const std::string &Software,
                    const std::string &Endpoint = "engine-a") const {
    messages::fleet::RecordStream Recorded;
    Recorded.set_endpoint(Endpoint);
    Recorded.set_born(Born);
    Recorded.set_software(Software);
    return laterVersion(Recorded, m_Endpoints);
  }

  fleet::EndpointDirectory m_Endpoints;
  base::TimePoint m_Now{base::seconds(1)};
};

TEST_F(LaterVersionTest, IsThatOfALaterStart) {
  EXPECT_EQ(later(FirstStart, "v1"), "");
  announce(FirstStart, "v1");
  EXPECT_EQ(later(FirstStart, "v1"), "");
  announce(SecondStart, "v2");
  EXPECT_EQ(later(FirstStart, "v1"), "v2");
  EXPECT_EQ(later(SecondStart, "v2"), "");
  {
    SCOPED_TRACE("the sender may know a start that is not known here");
    EXPECT_EQ(later(SecondStart + 1, "v3"), "");
  }
  {
    SCOPED_TRACE("a start with the same version joins nothing");
    announce(SecondStart + 1, "v1");
    EXPECT_EQ(later(FirstStart, "v1"), "");
  }
  {
    SCOPED_TRACE("a sender with earlier software names no endpoint, no start");
    EXPECT_EQ(later(0, "v2", ""), "");
    EXPECT_EQ(later(0, "v2"), "");
  }
}

TEST_F(LaterVersionTest, AGrantNamesTheStartOfItsEngine) {
  announce(SecondStart, "v2");
  SlotAllocator Allocator("models", {}, m_Endpoints);
  SlotAllocator::PendingTurn Requested{.m_From = {.m_Node = "history-1"},
                                       .m_Request = {},
                                       .m_NewProgram = true,
                                       .m_ArrivedAt = m_Now};
  auto &Begin = *Requested.m_Request.mutable_begin();
  Begin.set_turn("t1");
  Begin.set_program("p1");
  Begin.set_service("models");
  Allocator.requestSlot(Requested, m_Now);
  auto Responses = Allocator.takeResponses(m_Now);
  ASSERT_EQ(Responses.size(), 1U);
  EXPECT_EQ(Responses[0].m_Reply.endpoint(), "engine-a");
  EXPECT_EQ(Responses[0].m_Reply.engine_born(), SecondStart);
  {
    SCOPED_TRACE("a refusal names the version that no engine has");
    Begin.set_turn("t2");
    Begin.set_software("v1");
    Allocator.requestSlot(Requested, m_Now);
    Responses = Allocator.takeResponses(m_Now);
    ASSERT_EQ(Responses.size(), 1U);
    EXPECT_EQ(Responses[0].m_Reply.kind(), messages::fleet::REPLY_NO_ENGINE);
    EXPECT_EQ(Responses[0].m_Reply.software(), "v1");
  }
}

} // namespace
} // namespace psp::history
