// Which software version generates a stream is part of the replicated state, so
// that the stream is taken up at the same version.

#include "history/HistoryStateMachine.h"
#include "turns/TurnLedger.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

constexpr std::uint64_t StartMs = 1'000'000;
constexpr std::uint64_t RetentionMs = 60'000;

StreamVersion version(const std::string &Software,
                      std::uint64_t RecordedMs = StartMs) {
  return {.m_Software = Software, .m_RecordedMs = RecordedMs};
}

TEST(StreamVersionsTest, TheFirstRecordOfAStreamCounts) {
  StreamVersions Streams;
  Streams.record("guild", "s1", version("v1"), StartMs + RetentionMs);
  ASSERT_NE(Streams.find("guild", "s1"), nullptr);
  EXPECT_EQ(*Streams.find("guild", "s1"), version("v1"));
  {
    SCOPED_TRACE("a repeated command of an earlier selection changes nothing");
    Streams.record("guild", "s1", version("v2"), StartMs + RetentionMs);
    EXPECT_EQ(*Streams.find("guild", "s1"), version("v1"));
  }
  {
    SCOPED_TRACE("unknown is not any version");
    EXPECT_EQ(Streams.find("guild", "s2"), nullptr);
    Streams.record("guild", "s2", version(""), StartMs + RetentionMs);
    EXPECT_EQ(Streams.find("guild", "s2"), nullptr);
  }
  {
    SCOPED_TRACE("a stream of another organisation is unknown");
    EXPECT_EQ(Streams.find("other", "s1"), nullptr);
  }
}

TEST(StreamVersionsTest, RecordsExpire) {
  StreamVersions Streams;
  Streams.record("guild", "s1", version("v1"), StartMs + RetentionMs);
  Streams.record("guild", "s2", version("v1"), StartMs + RetentionMs);
  Streams.extend("guild", "s2", StartMs + 2 * RetentionMs);
  Streams.expire(StartMs + RetentionMs - 1000);
  EXPECT_EQ(Streams.size(), 2U);
  Streams.expire(StartMs + RetentionMs + 2000);
  EXPECT_EQ(Streams.find("guild", "s1"), nullptr);
  ASSERT_NE(Streams.find("guild", "s2"), nullptr);
  Streams.expire(StartMs + 2 * RetentionMs + 2000);
  EXPECT_EQ(Streams.size(), 0U);
}

TEST(StreamVersionsTest, AnOrganisationUsesUpItsOwnShareOnly) {
  StreamVersions Streams({.m_MaxPerOrganisation = 3, .m_MaxNameBytes = 16});
  for (int Index = 0; Index < 10; ++Index)
    Streams.record("guild", "s" + std::to_string(Index), version("v1"),
                   StartMs + RetentionMs);
  EXPECT_EQ(Streams.size(), 3U);
  Streams.record("other", "s1", version("v1"), StartMs + RetentionMs);
  EXPECT_NE(Streams.find("other", "s1"), nullptr);
  Streams.record("other", std::string(17, 'x'), version("v1"),
                 StartMs + RetentionMs);
  EXPECT_EQ(Streams.size(), 4U);
  {
    SCOPED_TRACE("room comes back");
    Streams.expire(StartMs + RetentionMs + 2000);
    Streams.record("guild", "new", version("v2"), StartMs + 2 * RetentionMs);
    EXPECT_NE(Streams.find("guild", "new"), nullptr);
  }
}

class TakenUpTurnTest : public testing::Test {
protected:
  BeginOutcome begin(const std::string &Turn, const std::string &Resumes,
                     const std::string &Software,
                     const std::string &Organisation = "guild") {
    messages::fleet::HistoryCommand Command;
    auto &Begin = *Command.mutable_begin();
    Begin.set_turn(Turn);
    Begin.set_organisation(Organisation);
    Begin.set_program("p");
    Begin.set_budget(100);
    Begin.set_most(10);
    Begin.set_resumes(Resumes);
    Begin.set_software(Software);
    Begin.set_stream_retention_ms(RetentionMs);
    m_Ledger.apply(++m_Index, Command, m_NowMs);
    return m_Ledger.lastBeginOutcome();
  }

  std::string softwareOf(const std::string &Stream) const {
    const StreamVersion *Found = m_Ledger.streams().find("guild", Stream);
    return Found ? Found->m_Software : "unknown";
  }

  TurnLedger m_Ledger;
  std::uint64_t m_Index = 0;
  std::uint64_t m_NowMs = StartMs;
};

TEST_F(TakenUpTurnTest, ATakeUpIsOfTheVersionOfItsStream) {
  EXPECT_EQ(begin("first", "", "v1"), BeginOutcome::Granted);
  EXPECT_EQ(begin("second", "first", ""), BeginOutcome::Granted);
  EXPECT_EQ(softwareOf("second"), "v1");
  EXPECT_EQ(begin("third", "second", "v2"), BeginOutcome::Granted);
  EXPECT_EQ(softwareOf("third"), "v1");
  {
    SCOPED_TRACE("an unknown stream reserves nothing");
    const std::uint64_t Before = m_Ledger.committedTokens("guild", "p");
    EXPECT_EQ(begin("lost", "never-begun", "v1"), BeginOutcome::StreamUnknown);
    EXPECT_EQ(begin("foreign", "first", "v1", "other"),
              BeginOutcome::StreamUnknown);
    EXPECT_EQ(m_Ledger.committedTokens("guild", "p"), Before);
    EXPECT_EQ(softwareOf("lost"), "unknown");
  }
  {
    SCOPED_TRACE("a snapshot keeps the records and their times");
    TurnLedger Restored;
    Restored.restore(m_Ledger.snapshot());
    for (const char *Stream : {"first", "second", "third"}) {
      const StreamVersion *Found = Restored.streams().find("guild", Stream);
      ASSERT_NE(Found, nullptr) << Stream;
      EXPECT_EQ(*Found, *m_Ledger.streams().find("guild", Stream)) << Stream;
    }
  }
  {
    SCOPED_TRACE("a take-up prolongs the record of its stream");
    m_NowMs += RetentionMs - 1000;
    EXPECT_EQ(begin("fourth", "first", ""), BeginOutcome::Granted);
    m_NowMs += RetentionMs - 1000;
    EXPECT_EQ(begin("fifth", "first", ""), BeginOutcome::Granted);
    EXPECT_EQ(begin("late", "third", ""), BeginOutcome::StreamUnknown);
  }
}

TEST_F(TakenUpTurnTest, ATurnThatCanNotBeTakenUpLeavesNoRecord) {
  messages::fleet::HistoryCommand Command;
  Command.mutable_begin()->set_turn("plain");
  Command.mutable_begin()->set_organisation("guild");
  Command.mutable_begin()->set_software("v1");
  m_Ledger.apply(1, Command, StartMs);
  EXPECT_EQ(m_Ledger.streams().size(), 0U);
}

TEST(StreamReplyTest, NamesTheVersionAndItsAge) {
  struct NoEntries : public history::EntrySource {
    std::string commandAt(std::uint64_t) const override { return {}; }
  } Entries;
  history::HistoryStateMachine State(Entries);
  messages::fleet::Request Received;
  std::uint64_t Index = 0;
  const auto Apply = [&](std::uint64_t WallMs) {
    messages::fleet::HistoryCommand Command;
    if (Received.has_stream())
      *Command.mutable_stream() = Received.stream();
    else
      *Command.mutable_begin() = Received.begin();
    Received.set_id(++Index);
    State.awaitCommit(Index, {.m_Node = "entry-1"}, Received);
    State.apply(Index, Command.SerializeAsString(), WallMs);
    auto Replies = State.takeReplies();
    EXPECT_EQ(Replies.size(), 1U);
    return Replies.at(0).m_Reply;
  };
  Received.mutable_stream()->set_stream("s1");
  Received.mutable_stream()->set_organisation("guild");
  Received.mutable_stream()->set_software("v1");
  Received.mutable_stream()->set_retention_ms(RetentionMs);
  EXPECT_EQ(Apply(StartMs).software(), "v1");
  {
    SCOPED_TRACE("a later record doesn't replace it, and the sender learns so");
    Received.mutable_stream()->set_software("v2");
    EXPECT_EQ(Apply(StartMs).software(), "v1");
  }
  {
    SCOPED_TRACE("a record that can't be kept is refused");
    Received.mutable_stream()->set_stream(std::string(4000, 'x'));
    EXPECT_EQ(Apply(StartMs).kind(), messages::fleet::REPLY_REFUSED);
  }
  {
    SCOPED_TRACE("the reply to a turn that takes it up");
    Received.clear_stream();
    Received.mutable_begin()->set_turn("t1");
    Received.mutable_begin()->set_organisation("guild");
    Received.mutable_begin()->set_resumes("s1");
    const auto Reply = Apply(StartMs + 700);
    EXPECT_EQ(Reply.software(), "v1");
    EXPECT_EQ(Reply.age_ms(), 700U);
  }
}

} // namespace
} // namespace psp::turns
