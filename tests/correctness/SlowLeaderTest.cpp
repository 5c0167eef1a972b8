// Nodes that are overloaded: their replies are late, and requests that are sent
// again or pass them by would keep them overloaded.

#include "history/SlotRequestTable.h"
#include "link/ReplyTimeEstimate.h"

#include <gtest/gtest.h>

namespace psp::history {
namespace {

using base::milliseconds;
using base::seconds;

class SlowAllocatorTest : public testing::Test {
protected:
  std::uint64_t add(const std::string &Turn, bool NewProgram,
                    const std::string &Service = "model") {
    SlotRequestTable::Request Begin;
    Begin.mutable_begin()->set_turn(Turn);
    Begin.mutable_begin()->set_service(Service);
    return m_SlotRequests.add({.m_From = {.m_Node = "entry-1"},
                               .m_Request = Begin,
                               .m_NewProgram = NewProgram,
                               .m_ArrivedAt = m_Now,
                               .m_SentAt = m_Now});
  }
  /// Turns of the requests that are overdue now, at an allocator that is heard.
  std::vector<std::string> overdue() {
    std::vector<std::string> Turns;
    for (const auto &Pending : m_SlotRequests.takeOverdue(
             m_Now, [](const std::string &) { return true; }))
      Turns.push_back(Pending.m_Request.begin().turn());
    return Turns;
  }

  SlotRequestTable m_SlotRequests;
  base::TimePoint m_Now{seconds(1)};
};

TEST_F(SlowAllocatorTest, TurnsDoNotPassItBy) {
  add("new", true);
  add("later", false);
  m_Now += milliseconds(240);
  EXPECT_EQ(overdue(), std::vector<std::string>{"new"});
  EXPECT_FALSE(m_SlotRequests.isAllocatorUnreachable());
  m_Now += milliseconds(200);
  EXPECT_TRUE(overdue().empty());
  {
    SCOPED_TRACE("a later turn waits for a limited time");
    m_Now += milliseconds(100);
    EXPECT_EQ(overdue(), std::vector<std::string>{"later"});
    EXPECT_FALSE(m_SlotRequests.isAllocatorUnreachable());
  }
}

TEST_F(SlowAllocatorTest, OnlyItsOwnServiceIsRefusedNewPrograms) {
  add("t", false, "model");
  m_Now += milliseconds(250);
  EXPECT_FALSE(m_SlotRequests.isAllocatorLate("model", m_Now))
      << "a turn may wait that long for a slot";
  add("u", false, "other");
  m_Now += milliseconds(100);
  EXPECT_TRUE(m_SlotRequests.isAllocatorLate("model", m_Now));
  EXPECT_FALSE(m_SlotRequests.isAllocatorLate("other", m_Now));
}

TEST_F(SlowAllocatorTest, RequestsAreNotRepeatedWhileItsRepliesAreLate) {
  for (int Index = 0; Index < 20; ++Index) {
    const std::uint64_t Id = add("t" + std::to_string(Index), false);
    m_SlotRequests.recordReply(Id, m_Now + milliseconds(200));
    m_SlotRequests.take(Id);
  }
  const std::uint64_t Id = add("t", false);
  m_Now += milliseconds(190);
  EXPECT_TRUE(m_SlotRequests.takeDueForResend(m_Now).empty());
  m_Now += milliseconds(310);
  EXPECT_EQ(m_SlotRequests.takeDueForResend(m_Now),
            std::vector<std::uint64_t>{Id});
}

TEST(SlowLeaderTest, TheTimeoutFollowsTheReplies) {
  link::ReplyTimeEstimate Estimate;
  const auto Timeout = [&] {
    return Estimate.timeout(milliseconds(250), milliseconds(1000));
  };
  EXPECT_EQ(Timeout(), milliseconds(250));
  for (int Reply = 0; Reply < 20; ++Reply)
    Estimate.observe(milliseconds(20));
  EXPECT_EQ(Timeout(), milliseconds(250));
  {
    SCOPED_TRACE("the leader becomes slow");
    for (int Reply = 0; Reply < 5; ++Reply)
      Estimate.observe(milliseconds(400));
    EXPECT_GT(Timeout(), milliseconds(600));
    EXPECT_LE(Timeout(), milliseconds(1000));
  }
  {
    SCOPED_TRACE("it recovers");
    for (int Reply = 0; Reply < 40; ++Reply)
      Estimate.observe(milliseconds(20));
    EXPECT_EQ(Timeout(), milliseconds(250));
  }
}

} // namespace
} // namespace psp::history
