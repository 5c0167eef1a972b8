// Callers count the retention time of a turn from the end of its response,
// which follows the record of the turn.

#include "gateway/TurnRecord.h"
#include "turns/TurnLedger.h"

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::Duration Promised = seconds(60);

class TurnRecordTest : public testing::Test {
protected:
  void passTime(base::Duration Length) { m_Now += Length; }

  void record() {
    messages::fleet::HistoryCommand Command;
    auto &End = *Command.mutable_end();
    End.set_turn("a");
    End.set_organisation("guild");
    End.set_program("p");
    End.set_keep(true);
    End.set_text("one ");
    End.set_retention_ms(base::wholeMilliseconds(m_Record.retention(Promised)));
    m_Record.onSent(m_Now);
    apply(Command);
  }

  /// Whether a turn may continue from the recorded one.
  bool isKnown(base::Duration ClockDifference = base::Duration(0)) {
    messages::fleet::HistoryCommand Command;
    auto &Begin = *Command.mutable_begin();
    Begin.set_turn("b" + std::to_string(++m_Index));
    Begin.set_organisation("guild");
    Begin.set_program("p");
    Begin.set_previous("a");
    turns::TurnLedger Copy;
    Copy.restore(m_Ledger.snapshot());
    Copy.apply(++m_Index, Command,
               base::wholeMilliseconds(m_Now + ClockDifference));
    return Copy.lastBeginOutcome() == turns::BeginOutcome::Granted;
  }

  void apply(const messages::fleet::HistoryCommand &Command) {
    m_Ledger.apply(++m_Index, Command, base::wholeMilliseconds(m_Now));
  }

  TurnRecord m_Record;
  turns::TurnLedger m_Ledger;
  std::uint64_t m_Index = 0;
  base::Duration m_Now = seconds(1000);
};

/// Guards against turns that are unknown before their retention time is over:
/// it was counted from the record, and the instance stood still after it.
TEST_F(TurnRecordTest, ATurnIsKnownForItsRetentionTimeAfterALateEnd) {
  record();
  passTime(milliseconds(2200));
  ASSERT_FALSE(m_Record.isOld(m_Now));
  passTime(Promised - milliseconds(1));
  EXPECT_TRUE(isKnown());
  {
    SCOPED_TRACE("the clock of the next leader is ahead");
    EXPECT_TRUE(isKnown(seconds(4)));
  }
}

TEST_F(TurnRecordTest, ARecordIsRenewedForAnEvenLaterEnd) {
  record();
  passTime(seconds(40));
  ASSERT_TRUE(m_Record.isOld(m_Now));
  record();
  EXPECT_FALSE(m_Record.isOld(m_Now));
  passTime(Promised);
  EXPECT_TRUE(isKnown());
}

TEST_F(TurnRecordTest, ARenewalDoesNotBringBackAnExpiredTurn) {
  record();
  passTime(Promised + seconds(60));
  record();
  EXPECT_FALSE(isKnown());
}

} // namespace
} // namespace psp::gateway
