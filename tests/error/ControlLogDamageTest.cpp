// Malformed messages and records are rejected, change nothing, and never
// terminate the ledger.

#include "base/Error.h"
#include "control/LogVoter.h"
#include "support/MemoryJournal.h"

#include <gtest/gtest.h>

#include <random>

namespace psp::control {
namespace {

using base::InstanceId;

class ControlLogDamageTest : public testing::Test {
protected:
  void SetUp() override { m_Voter.start(m_Now); }

  void refuses(const messages::LogMessage &Message,
               const std::string &From = "a") {
    std::uint64_t Records = m_Journal.appendedSequence();
    messages::Outbox Out;
    EXPECT_THROW(m_Voter.onMessage(InstanceId(From), Message, m_Now, Out),
                 base::UserError);
    EXPECT_EQ(m_Journal.appendedSequence(), Records);
    EXPECT_TRUE(Out.take().empty());
  }

  base::Now m_Now{.m_Monotonic = base::TimePoint(base::seconds(5))};
  tests::MemoryJournal m_Journal;
  LogVoter m_Voter{{.m_Self = InstanceId("b"),
                    .m_Voters = {InstanceId("a"), InstanceId("b")},
                    .m_FreshIdentity = "identity"},
                   m_Journal};
};

TEST_F(ControlLogDamageTest, MalformedMessages) {
  messages::LogMessage Message;
  Message.set_term(7);
  refuses(Message);
  {
    SCOPED_TRACE("entries with a gap");
    Message.mutable_append()->add_entries()->set_index(2);
    refuses(Message);
  }
  {
    SCOPED_TRACE("terms that decrease");
    Message.mutable_append()->set_previous_term(9);
    Message.mutable_append()->mutable_entries(0)->set_index(1);
    Message.mutable_append()->mutable_entries(0)->set_term(8);
    refuses(Message);
  }
  {
    SCOPED_TRACE("a snapshot without a digest");
    Message.mutable_snapshot()->mutable_snapshot()->set_applied_index(4);
    refuses(Message);
  }
  {
    SCOPED_TRACE("a message from an unknown instance, and one from itself");
    Message.mutable_vote();
    refuses(Message, "stranger");
    refuses(Message, "b");
  }
}

TEST_F(ControlLogDamageTest, RandomRecordsAreRefusedOrHarmless) {
  std::mt19937_64 Random(20261205);
  std::size_t Refused = 0;
  for (int Run = 0; Run < 20000; ++Run) {
    std::string Bytes(Random() % 40, '\0');
    for (char &Each : Bytes)
      Each = static_cast<char>(Random() & 0xFFU);
    tests::MemoryJournal Journal;
    VoterStore Store(Journal);
    try {
      Store.restore(Bytes);
    } catch (const base::UserError &) {
      ++Refused;
    }
  }
  EXPECT_GT(Refused, 15000U);
}

TEST_F(ControlLogDamageTest, RecordsOutOfOrderAreRefused) {
  tests::MemoryJournal Journal;
  VoterStore Store(Journal);
  messages::LogRecord Record;
  Record.mutable_entry()->set_index(2);
  EXPECT_THROW(Store.restore(Record.SerializeAsString()), base::UserError);
  Record.mutable_truncate()->set_from_index(0);
  EXPECT_THROW(Store.restore(Record.SerializeAsString()), base::UserError);
}

} // namespace
} // namespace psp::control
