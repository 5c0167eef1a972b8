// The text of a turn that came in several attempts is put together from their
// records, and never retained with a gap.

#include "history/HandedOutEvents.h"
#include "turns/TurnLedger.h"

#include <gtest/gtest.h>

#include <map>

namespace psp::turns {
namespace {

constexpr std::uint64_t StartMs = 1'000'000;
constexpr std::uint64_t RetentionMs = 60'000;

class TakenUpTextTest : public testing::Test, public history::EntrySource {
protected:
  using Events = std::vector<std::pair<std::string, std::string>>;

  void begin(const std::string &Turn, const std::string &Resumes = "",
             const std::string &AfterEvent = "") {
    messages::fleet::HistoryCommand Command;
    auto &Begin = *Command.mutable_begin();
    Begin.set_turn(Turn);
    Begin.set_organisation("guild");
    Begin.set_program("p");
    Begin.set_resumes(Resumes);
    Begin.set_software("v1");
    Begin.set_stream_retention_ms(RetentionMs);
    Begin.set_records_events(true);
    Begin.set_after_event(AfterEvent);
    apply(Command);
    ASSERT_EQ(m_Ledger.lastBeginOutcome(), BeginOutcome::Granted);
  }

  /// \p Handed: identifiers and data of the events from the first one on.
  void end(const std::string &Turn, const std::string &Stream,
           const Events &Handed, bool Whole = false,
           const std::string &AfterEvent = "") {
    messages::fleet::HistoryCommand Command;
    auto &End = *Command.mutable_end();
    End.set_turn(Turn);
    End.set_organisation("guild");
    End.set_program("p");
    End.set_keep(Whole);
    End.set_retention_ms(RetentionMs);
    End.set_stream(Stream);
    End.set_after_event(AfterEvent);
    std::string Text = Whole ? "input " : "";
    for (const auto &[Id, Data] : Handed) {
      auto &Mark = *End.add_events();
      Mark.set_id(Id);
      Mark.set_bytes(Data.size() + 1);
      Text += Data + '\n';
    }
    End.set_text(Text);
    apply(Command);
  }

  /// Text of the events up to \p Event; empty if it can't be known.
  std::optional<std::string> textUpTo(const std::string &Event) const {
    const auto Recorded =
        m_Ledger.streamAttempts().find("guild", "a1", Event, m_WallMs);
    if (!Recorded || Recorded->m_Incomplete)
      return std::nullopt;
    const auto Found = history::readHandedOutEvents(*this, *Recorded, Event);
    return Found ? std::optional(Found->m_Text) : std::nullopt;
  }

  std::string commandAt(std::uint64_t Index) const override {
    return m_Commands.at(Index);
  }

  TurnLedger m_Ledger;
  std::uint64_t m_WallMs = StartMs;

private:
  void apply(const messages::fleet::HistoryCommand &Command) {
    m_Commands[++m_Index] = Command.SerializeAsString();
    m_Ledger.apply(m_Index, Command, m_WallMs);
  }

  std::uint64_t m_Index = 0;
  std::map<std::uint64_t, std::string> m_Commands;
};

/// Guards against a retained turn without the events of its first attempt.
TEST_F(TakenUpTextTest, ATextWithoutItsBeginningIsNotRetained) {
  begin("a1");
  end("a1", "a1", {{"1", "one"}});
  begin("a2", "a1", "1");
  {
    SCOPED_TRACE("the end of an attempt that doesn't have the first event");
    end("a2", "", {}, true, "1");
    EXPECT_FALSE(m_Ledger.hasTurn("guild", "a2"));
  }
  begin("a3", "a1", "1");
  {
    SCOPED_TRACE("the whole text");
    end("a3", "a1", {{"1", "one"}, {"2", "two"}}, true);
    EXPECT_TRUE(m_Ledger.hasTurn("guild", "a3"));
  }
}

TEST_F(TakenUpTextTest, EventsAreKnownOnceTheAttemptsThatMayHaveThemHaveEnded) {
  begin("a1");
  EXPECT_EQ(textUpTo("1"), std::nullopt);
  end("a1", "a1", {{"1", "one"}, {"2", "two"}, {"3", "three"}});
  {
    SCOPED_TRACE("the caller may have fewer events than were handed out");
    EXPECT_EQ(textUpTo("2"), "one\ntwo\n");
    EXPECT_EQ(textUpTo("3"), "one\ntwo\nthree\n");
    EXPECT_EQ(textUpTo("4"), std::nullopt);
  }
  begin("a2", "a1", "3");
  {
    SCOPED_TRACE("an attempt that runs after an event can't change it");
    EXPECT_EQ(textUpTo("3"), "one\ntwo\nthree\n");
    EXPECT_EQ(textUpTo("2"), std::nullopt);
  }
  end("a2", "a1", {{"1", "one"}, {"2", "two"}, {"3", "three"}, {"4", "four"}});
  {
    SCOPED_TRACE("a stream may break more than once");
    EXPECT_EQ(textUpTo("4"), "one\ntwo\nthree\nfour\n");
  }
  {
    SCOPED_TRACE("an attempt without events is known to have none");
    begin("a3", "a1", "4");
    end("a3", "a1", {});
    EXPECT_EQ(textUpTo("4"), "one\ntwo\nthree\nfour\n");
  }
  {
    SCOPED_TRACE("an attempt that ended without a record may have any");
    begin("a4", "a1", "3");
    end("a4", "", {});
    EXPECT_EQ(textUpTo("4"), std::nullopt);
  }
}

TEST_F(TakenUpTextTest, AmbiguousEventsAreNotKnown) {
  begin("a1");
  end("a1", "a1", {{"1", "one"}, {"2", "two"}, {"", "x"}, {"3", "y"}});
  EXPECT_EQ(textUpTo("1"), "one\n");
  {
    SCOPED_TRACE("the caller can't name an event without an identifier");
    EXPECT_EQ(textUpTo("2"), std::nullopt);
  }
  begin("a2", "a1", "1");
  end("a2", "a1", {{"1", "one"}, {"2", "other"}, {"3", "z"}});
  {
    SCOPED_TRACE("two attempts have generated different events");
    EXPECT_EQ(textUpTo("1"), "one\n");
    EXPECT_EQ(textUpTo("3"), std::nullopt);
  }
}

TEST_F(TakenUpTextTest, SurvivesASnapshotAndExpires) {
  begin("a1");
  end("a1", "a1", {{"1", "one"}});
  begin("a2", "a1", "1");
  const auto Before =
      m_Ledger.streamAttempts().find("guild", "a1", "1", StartMs);
  ASSERT_TRUE(Before);
  EXPECT_EQ(m_Ledger.oldestEntry(), 2U);
  TurnLedger Restored;
  Restored.restore(m_Ledger.snapshot());
  EXPECT_EQ(Restored.streamAttempts().find("guild", "a1", "1", StartMs),
            Before);
  EXPECT_EQ(Restored.oldestEntry(), 2U);
  {
    SCOPED_TRACE("what has expired isn't found, whether it is still there");
    m_WallMs += RetentionMs + 1;
    EXPECT_EQ(textUpTo("1"), std::nullopt);
    EXPECT_EQ(m_Ledger.streamAttempts().size(), 1U);
  }
  m_WallMs += 2000;
  begin("b1");
  EXPECT_EQ(m_Ledger.streamAttempts().size(), 1U);
  EXPECT_EQ(m_Ledger.oldestEntry(), std::nullopt);
}

TEST(StreamAttemptsTest, HoldsABoundedNumberOfAttempts) {
  StreamAttempts Attempts({.m_MaxPerOrganisation = 2, .m_MaxPerStream = 2});
  for (const std::string Name : {"a", "b"}) {
    Attempts.begin("guild", "s1", {.m_Name = Name}, StartMs);
    Attempts.end("guild", "s1", Name, 1, false);
  }
  EXPECT_FALSE(Attempts.find("guild", "s1", "1", StartMs)->m_Incomplete);
  {
    SCOPED_TRACE("a further attempt may have handed out anything");
    Attempts.begin("guild", "s1", {.m_Name = "c"}, StartMs);
    Attempts.end("guild", "s1", "c", 2, false);
    EXPECT_TRUE(Attempts.find("guild", "s1", "1", StartMs)->m_Incomplete);
  }
  {
    SCOPED_TRACE("an organisation uses up its own share only");
    Attempts.begin("guild", "s2", {.m_Name = "d"}, StartMs);
    Attempts.begin("guild", "s3", {.m_Name = "e"}, StartMs);
    EXPECT_EQ(Attempts.find("guild", "s3", "1", StartMs), std::nullopt);
    Attempts.begin("other", "s3", {.m_Name = "e"}, StartMs);
    EXPECT_TRUE(Attempts.find("other", "s3", "1", StartMs));
  }
}

} // namespace
} // namespace psp::turns
