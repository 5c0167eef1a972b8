// A stream that is taken up goes to an endpoint of the version that began it;
// new streams go to any version.

#include "gateway/ServicePlacement.h"
#include "history/SlotAllocator.h"

#include <gtest/gtest.h>

#include <set>

namespace psp::history {
namespace {

using base::milliseconds;
using base::seconds;
using messages::fleet::REPLY_NO_ENGINE;
using messages::fleet::REPLY_OK;

class StreamVersionPlacementTest : public testing::Test {
protected:
  StreamVersionPlacementTest() {
    announce("old", "v1");
    announce("new-a", "v2");
    announce("new-b", "v2");
  }

  bool announce(const std::string &Id, const std::string &Software,
                std::uint64_t Born = 1) {
    fleet::EndpointState Engine;
    Engine.set_id(Id);
    Engine.set_born(Born);
    Engine.set_sequence(++m_Sequence);
    Engine.set_service("models");
    Engine.set_address(Id + ":80");
    Engine.set_slots(5);
    Engine.set_software(Software);
    return m_Endpoints.merge(Engine, false, m_Now);
  }

  messages::fleet::Reply request(const std::string &Turn,
                                 const std::string &Software) {
    SlotAllocator::PendingTurn Requested{.m_From = {.m_Node = "history-1"},
                                         .m_Request = {},
                                         .m_NewProgram = false,
                                         .m_ArrivedAt = m_Now};
    Requested.m_Request.mutable_begin()->set_turn(Turn);
    Requested.m_Request.mutable_begin()->set_program("program of " + Turn);
    Requested.m_Request.mutable_begin()->set_service("models");
    Requested.m_Request.mutable_begin()->set_software(Software);
    m_Allocator.requestSlot(Requested, m_Now);
    const auto Responses = m_Allocator.takeResponses(m_Now);
    EXPECT_EQ(Responses.size(), 1U);
    return Responses.at(0).m_Reply;
  }

  fleet::EndpointDirectory m_Endpoints;
  SlotAllocator m_Allocator{"models", {}, m_Endpoints};
  base::TimePoint m_Now{seconds(1)};
  std::uint64_t m_Sequence = 0;
};

TEST_F(StreamVersionPlacementTest, ATakeUpGetsAnEngineOfItsVersion) {
  for (int Index = 0; Index < 4; ++Index) {
    const auto Reply = request("t" + std::to_string(Index), "v1");
    EXPECT_EQ(Reply.endpoint(), "old");
    EXPECT_EQ(Reply.software(), "v1");
  }
  {
    SCOPED_TRACE("a new stream is told its engine's version");
    const auto Reply = request("new", "");
    ASSERT_NE(m_Endpoints.find(Reply.endpoint()), nullptr);
    EXPECT_EQ(Reply.software(), m_Endpoints.find(Reply.endpoint())->software());
  }
  {
    SCOPED_TRACE("without an engine of the version it is refused at once");
    m_Endpoints.markRemoved("old", m_Now);
    EXPECT_EQ(request("late", "v1").kind(), REPLY_NO_ENGINE);
    EXPECT_EQ(request("later", "v2").kind(), REPLY_OK);
  }
  {
    SCOPED_TRACE("without any engine nothing is known of the version");
    m_Endpoints.markRemoved("new-a", m_Now);
    m_Endpoints.markRemoved("new-b", m_Now);
    const auto Reply = request("last", "v1");
    EXPECT_EQ(Reply.kind(), REPLY_OK);
    EXPECT_TRUE(Reply.endpoint().empty());
  }
}

TEST_F(StreamVersionPlacementTest, NewStreamsUseAllVersions) {
  std::set<std::string> Versions;
  for (int Index = 0; Index < 9; ++Index)
    Versions.insert(request("t" + std::to_string(Index), "").software());
  EXPECT_EQ(Versions, (std::set<std::string>{"v1", "v2"}));
}

TEST_F(StreamVersionPlacementTest, AnInstanceSelectsWithinTheVersion) {
  struct NoConnections : public gateway::IdleConnections {
    bool hasIdle(const std::string &) const override { return false; }
  } Connections;
  gateway::ServicePlacement Placement({}, Connections);
  const auto Select = [&](const std::string &Preferred,
                          const std::set<std::string> &Excluded,
                          const std::string &Software) {
    const auto *Selected = Placement.selectEndpoint(
        "models", Preferred, Excluded, Software, m_Endpoints, m_Now);
    return Selected ? Selected->id() : std::string();
  };
  EXPECT_EQ(Select("new-a", {}, "v1"), "old");
  EXPECT_EQ(Select("new-a", {}, "v2"), "new-a");
  EXPECT_EQ(Select("new-a", {"new-a"}, "v2"), "new-b");
  EXPECT_EQ(Select("new-a", {"old"}, "v1"), "");
  EXPECT_EQ(Select("new-a", {}, ""), "new-a");
}

TEST_F(StreamVersionPlacementTest, AVersionMayChangeUnderAnId) {
  EXPECT_TRUE(announce("old", "v2", 2)) << "other nodes are told";
  EXPECT_EQ(request("t", "v1").kind(), REPLY_NO_ENGINE);
}

} // namespace
} // namespace psp::history
