// A learner detects and fetches changes that it missed, never goes back to an
// older state, and switches to a source that has contact with the leader.

#include "control/Learner.h"

#include <gtest/gtest.h>

#include <functional>

namespace psp::control {
namespace {

using base::InstanceId;
using base::milliseconds;
using base::seconds;

class LearnerTest : public testing::Test {
protected:
  /// A ledger that feeds learners.
  struct Source {
    explicit Source(const std::string &Name)
        : m_Id(Name), m_Feed({.m_Self = m_Id}) {
      m_Feed.reset(m_State);
    }

    void commit(const std::string &KeyId) {
      messages::LogEntry Entry;
      Entry.set_index(m_State.appliedIndex() + 1);
      Entry.mutable_command()->set_request_id(KeyId);
      Entry.mutable_command()->mutable_withdraw_key()->set_key_id(KeyId);
      m_State.apply(Entry.index(), Entry.command());
      m_Feed.add(Entry, m_State);
    }

    InstanceId m_Id;
    ControlState m_State;
    LearnerFeed m_Feed;
    base::Duration m_Age{};
    bool m_IsReachable = true;
  };

  base::Now now() const { return {.m_Monotonic = m_Time}; }

  /// Advances the time by \p Length. Messages arrive without delay, except
  /// those for which \p Drop returns true.
  void pass(
      base::Duration Length,
      const std::function<bool(const messages::LogMessage &)> &Drop =
          [](const auto &) { return false; }) {
    base::TimePoint End = m_Time + Length;
    for (; m_Time < End; m_Time += milliseconds(10)) {
      messages::Outbox Out;
      m_Learner.onTick(now(), Out);
      for (Source *Each : {&m_First, &m_Second})
        if (Each->m_IsReachable)
          Each->m_Feed.onTick(Each->m_State, Each->m_Age, m_Time, Out);
      deliver(Out, Drop);
    }
  }

  void deliver(messages::Outbox &Out,
               const std::function<bool(const messages::LogMessage &)> &Drop) {
    for (auto Waiting = Out.take(); !Waiting.empty(); Waiting = Out.take()) {
      for (const messages::Outgoing &Each : Waiting) {
        const messages::LogMessage &Message = Each.m_Message.log();
        if (Drop(Message))
          continue;
        if (Each.m_To == InstanceId("entry")) {
          InstanceId From(Each.m_Message.sender());
          m_Learner.onMessage(From, Message, now(), Out);
          continue;
        }
        Source &To = Each.m_To == m_First.m_Id ? m_First : m_Second;
        if (To.m_IsReachable)
          To.m_Feed.onHello(InstanceId("entry"), Message.learner_hello(),
                            To.m_State, To.m_Age, m_Time, Out);
      }
    }
  }

  void commitBoth(const std::string &KeyId) {
    m_First.commit(KeyId);
    m_Second.commit(KeyId);
  }

  base::TimePoint m_Time{seconds(1000)};
  Source m_First{"ledger-1"};
  Source m_Second{"ledger-2"};
  Learner m_Learner{{.m_Self = InstanceId("entry"),
                     .m_Ledgers = {m_First.m_Id, m_Second.m_Id}}};
};

TEST_F(LearnerTest, DeltasMissedChangesAndSnapshots) {
  {
    SCOPED_TRACE("a committed change is pushed at the next tick");
    pass(milliseconds(100));
    EXPECT_FALSE(m_Learner.hasState());
    commitBoth("k1");
    pass(milliseconds(20));
    EXPECT_TRUE(m_Learner.state().isWithdrawn(base::KeyId("k1")));
  }
  {
    SCOPED_TRACE("a change whose push is lost is fetched within a second");
    commitBoth("k2");
    pass(milliseconds(20), [](const auto &Message) {
      return Message.learner_push().entries_size() > 0;
    });
    EXPECT_FALSE(m_Learner.state().isWithdrawn(base::KeyId("k2")));
    pass(seconds(1));
    EXPECT_TRUE(m_Learner.state().isWithdrawn(base::KeyId("k2")));
  }
  {
    SCOPED_TRACE("more missed changes than are retained need a snapshot");
    m_First.m_IsReachable = m_Second.m_IsReachable = false;
    for (std::size_t I = 0; I < MaxCommittedTailEntries + 300; ++I)
      commitBoth("many " + std::to_string(I));
    pass(seconds(10));
    m_First.m_IsReachable = m_Second.m_IsReachable = true;
    std::size_t Snapshots = 0;
    pass(seconds(4), [&](const auto &Message) {
      Snapshots += Message.learner_push().has_snapshot() ? 1 : 0;
      return false;
    });
    EXPECT_EQ(m_Learner.state().digest(), m_First.m_State.digest());
    EXPECT_EQ(Snapshots, 1U);
  }
}

TEST_F(LearnerTest, OldSnapshotsAreIgnoredAndDifferentStatesReplaced) {
  commitBoth("k1");
  messages::LogMessage Old;
  *Old.mutable_learner_push()->mutable_snapshot() = m_First.m_State.snapshot();
  commitBoth("k2");
  pass(seconds(1));
  ASSERT_EQ(m_Learner.state().appliedIndex(), 2U);
  {
    SCOPED_TRACE("a snapshot from before changes nothing");
    messages::Outbox Out;
    m_Learner.onMessage(m_First.m_Id, Old, now(), Out);
    EXPECT_EQ(m_Learner.state().appliedIndex(), 2U);
  }
  {
    SCOPED_TRACE("a state of the same length but other content is replaced");
    Source Other("ledger-1");
    Other.commit("other");
    Other.commit("content");
    messages::LogMessage Wrong;
    *Wrong.mutable_learner_push()->mutable_snapshot() =
        Other.m_State.snapshot();
    messages::Outbox Out;
    m_Learner.onMessage(m_First.m_Id, Wrong, now(), Out);
    EXPECT_NE(m_Learner.state().digest(), m_First.m_State.digest());
    pass(seconds(1));
    EXPECT_EQ(m_Learner.state().digest(), m_First.m_State.digest());
  }
}

TEST_F(LearnerTest, SwitchesToASourceInContactWithTheLeader) {
  commitBoth("k1");
  pass(seconds(1));
  Source &Used = m_Learner.source() == m_First.m_Id ? m_First : m_Second;
  Source &Other = &Used == &m_First ? m_Second : m_First;
  EXPECT_GT(m_Learner.lastConfirmedAt(), m_Time - seconds(1));
  {
    SCOPED_TRACE(
        "the source is disconnected from the leader but still answers");
    Used.m_Age = seconds(30);
    Other.commit("k2");
    pass(seconds(3));
    EXPECT_EQ(m_Learner.source(), Other.m_Id);
    EXPECT_TRUE(m_Learner.state().isWithdrawn(base::KeyId("k2")));
    EXPECT_GT(m_Learner.lastConfirmedAt(), m_Time - seconds(1));
  }
  {
    SCOPED_TRACE(
        "with every source disconnected, the confirmation time stays behind");
    Other.m_Age = seconds(30);
    pass(seconds(10));
    EXPECT_LT(m_Learner.lastConfirmedAt(), m_Time - seconds(9));
    EXPECT_EQ(m_Learner.state().appliedIndex(), 2U);
  }
}

TEST_F(LearnerTest, RelaysWithItsOwnAge) {
  commitBoth("k1");
  pass(seconds(1));
  Learner Behind(
      {.m_Self = InstanceId("behind"), .m_Ledgers = {InstanceId("entry")}});
  auto Exchange = [&] {
    messages::Outbox Out;
    Behind.onTick(now(), Out);
    for (const messages::Outgoing &Each : Out.take())
      m_Learner.onMessage(InstanceId("behind"), Each.m_Message.log(), now(),
                          Out);
    for (const messages::Outgoing &Each : Out.take())
      if (Each.m_To == InstanceId("behind"))
        Behind.onMessage(InstanceId("entry"), Each.m_Message.log(), now(), Out);
  };
  Exchange();
  EXPECT_EQ(Behind.state().digest(), m_First.m_State.digest());
  EXPECT_GT(Behind.lastConfirmedAt(), m_Time - seconds(1));

  SCOPED_TRACE("the learner behind a disconnected relay sees the age too");
  m_First.m_IsReachable = m_Second.m_IsReachable = false;
  pass(seconds(20));
  Exchange();
  EXPECT_LT(Behind.lastConfirmedAt(), m_Time - seconds(15));
}

} // namespace
} // namespace psp::control
