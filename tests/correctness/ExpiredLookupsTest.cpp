// What a group still holds although its time is over is found by nobody, and
// what one group no longer has isn't unknown to all.

#include "history/HistoryStateMachine.h"

#include <gtest/gtest.h>

#include <map>
#include <tuple>

namespace psp::history {
namespace {

using messages::fleet::HistoryCommand;
using messages::fleet::Request;

constexpr std::uint64_t StartMs = 1'000'000;
constexpr std::uint64_t RetentionMs = 2'000;

class ExpiredLookupsTest : public testing::Test, public EntrySource {
protected:
  void apply(const HistoryCommand &Command) {
    m_Commands[++m_LastIndex] = Command.SerializeAsString();
    m_State.apply(m_LastIndex, m_Commands.at(m_LastIndex), m_WallMs);
  }

  void adopt(std::uint64_t LeftMs) {
    HistoryCommand Command;
    auto &Adopted = *Command.mutable_adopt();
    Adopted.set_turn("old");
    Adopted.set_organisation("guild");
    Adopted.set_text("one ");
    Adopted.set_retention_ms(LeftMs);
    apply(Command);
  }

  void adoptPart(std::uint64_t Offset, const std::string &Text, bool Last,
                 std::uint64_t LeftMs) {
    HistoryCommand Command;
    auto &Part = *Command.mutable_adopt_part();
    Part.set_turn("parts");
    Part.set_organisation("guild");
    Part.set_text(Text);
    Part.set_offset(Offset);
    Part.set_last(Last);
    Part.set_retention_ms(LeftMs);
    apply(Command);
  }

  static Request beginRequest(std::uint64_t Id) {
    Request Received;
    Received.set_id(Id);
    auto &Begin = *Received.mutable_begin();
    Begin.set_turn("new");
    Begin.set_organisation("guild");
    Begin.set_program("p");
    Begin.set_previous("old");
    return Received;
  }

  /// Registers and applies \p Received, as a leader does.
  void propose(const Request &Received, bool ChainSearched) {
    m_State.awaitCommit(m_LastIndex + 1, {.m_Node = "entry-1"}, Received, {},
                        ChainSearched);
    HistoryCommand Command;
    *Command.mutable_begin() = Received.begin();
    apply(Command);
  }

  bool hasChain(const std::string &Turn) const {
    return m_State.ledger().hasChain("guild", Turn, m_WallMs);
  }

  std::string commandAt(std::uint64_t Index) const override {
    return m_Commands.at(Index);
  }

  std::map<std::uint64_t, std::string> m_Commands;
  HistoryStateMachine m_State{*this};
  std::uint64_t m_LastIndex = 0;
  std::uint64_t m_WallMs = StartMs;
};

/// Guards against a 404 for a turn whose copy had expired in a group that got
/// no command since.
TEST_F(ExpiredLookupsTest, AnIdleGroupDoesNotShowWhatHasExpired) {
  adopt(RetentionMs);
  ASSERT_TRUE(hasChain("old"));
  m_WallMs += RetentionMs + 1;
  EXPECT_FALSE(hasChain("old"));
  EXPECT_TRUE(m_State.ledger().hasTurn("guild", "old")) << "it is still there";
  {
    SCOPED_TRACE("another group may still copy it");
    messages::fleet::Reply Found;
    EXPECT_TRUE(m_State.addChain("guild", "old", true, StartMs + 500, Found));
    EXPECT_EQ(Found.left_ms(), RetentionMs - 500);
    EXPECT_TRUE(m_State.addChain("guild", "old", true, m_WallMs, Found));
    EXPECT_EQ(Found.left_ms(), 0U);
  }
}

TEST_F(ExpiredLookupsTest, ALaterCopyIsRetainedForItsOwnTime) {
  adopt(RetentionMs);
  adopt(10 * RetentionMs);
  adoptPart(0, "one ", false, RetentionMs);
  adoptPart(0, "one ", false, 10 * RetentionMs);
  adoptPart(4, "two ", true, 10 * RetentionMs);
  m_WallMs += 5 * RetentionMs;
  EXPECT_TRUE(hasChain("old"));
  EXPECT_TRUE(hasChain("parts"));
  {
    SCOPED_TRACE("a copy of a part that is there already");
    adoptPart(4, "two ", true, 10 * RetentionMs);
    m_WallMs += 9 * RetentionMs;
    EXPECT_FALSE(hasChain("old"));
    EXPECT_TRUE(hasChain("parts"));
  }
}

/// Load pattern: the turn waits for a slot while the copy expires.
TEST_F(ExpiredLookupsTest, AMissingChainIsFinalOnlyAfterASearch) {
  adopt(RetentionMs);
  m_WallMs += RetentionMs + 2000;
  propose(beginRequest(7), false);
  EXPECT_TRUE(m_State.takeReplies().empty());
  const auto Missing = m_State.takeMissingChains();
  ASSERT_EQ(Missing.size(), 1U);
  EXPECT_EQ(Missing.front().m_From.m_Node, "entry-1");
  EXPECT_EQ(Missing.front().m_Request.id(), 7U);
  EXPECT_EQ(m_State.takeUnusedSlots().size(), 1U);
  {
    SCOPED_TRACE("no other group has it");
    propose(beginRequest(8), true);
    const auto Replies = m_State.takeReplies();
    ASSERT_EQ(Replies.size(), 1U);
    EXPECT_EQ(Replies.front().m_Reply.id(), 8U);
    EXPECT_EQ(Replies.front().m_Reply.kind(),
              messages::fleet::REPLY_NO_SUCH_TURN);
    EXPECT_TRUE(m_State.takeMissingChains().empty());
  }
}

TEST_F(ExpiredLookupsTest, VersionsAndProgramsExpireWithoutACommand) {
  HistoryCommand Stream;
  Stream.mutable_stream()->set_stream("s");
  Stream.mutable_stream()->set_organisation("guild");
  Stream.mutable_stream()->set_software("v1");
  Stream.mutable_stream()->set_retention_ms(RetentionMs);
  apply(Stream);
  HistoryCommand Service;
  Service.mutable_service_version()->set_service("models");
  Service.mutable_service_version()->set_software("v1");
  Service.mutable_service_version()->set_retention_ms(RetentionMs);
  apply(Service);
  HistoryCommand Begin;
  *Begin.mutable_begin() = beginRequest(1).begin();
  Begin.mutable_begin()->clear_previous();
  apply(Begin);
  const turns::TurnLedger &Ledger = m_State.ledger();
  const auto Known = [&](std::uint64_t NowMs) {
    return std::tuple(Ledger.streams().find("guild", "s", NowMs) != nullptr,
                      Ledger.serviceVersions().find("models", NowMs).size(),
                      Ledger.hasProgram("guild", "p", NowMs));
  };
  EXPECT_EQ(Known(StartMs), std::tuple(true, 1U, true));
  EXPECT_EQ(Known(StartMs + RetentionMs + 1), std::tuple(false, 0U, true));
  EXPECT_EQ(Known(StartMs + 1'000'000), std::tuple(false, 0U, false));
}

} // namespace
} // namespace psp::history
