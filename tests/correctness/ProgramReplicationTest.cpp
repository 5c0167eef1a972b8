/// \file
/// Replication of one program between owners and three ledgers: commit,
/// takeover, fencing and wiped disks.

#include "ProgramFakes.h"
#include "program/HashChain.h"
#include "program/ProgramOwner.h"

#include <gtest/gtest.h>

namespace psp::program {
namespace {

using base::InstanceId;
using tests::FakeLedger;

class ProgramReplicationTest : public testing::Test {
protected:
  OwnerOptions options(const std::string &Self) {
    return {.m_Self = InstanceId(Self),
            .m_Ledgers = {InstanceId("a"), InstanceId("b"), InstanceId("c")},
            .m_RetransmitInterval = base::milliseconds(20),
            .m_Nonce = ++m_Nonce};
  }

  LedgerDisks disks() const {
    LedgerDisks Result;
    for (const FakeLedger &Ledger : m_Ledgers)
      Result[Ledger.self()] = Ledger.replica().generation();
    return Result;
  }

  static messages::ProgramEntry created() {
    messages::ProgramEntry Entry;
    Entry.mutable_created()->set_organisation("mills");
    return Entry;
  }

  static messages::ProgramEntry started(std::uint64_t Turn) {
    messages::ProgramEntry Entry;
    Entry.mutable_turn_started()->mutable_request()->set_turn(Turn);
    return Entry;
  }

  /// Delivers messages between \p Owner and the ledgers in \p Reachable until
  /// none are pending.
  void deliver(ProgramOwner &Owner, const InstanceId &Self,
               const std::string &Reachable) {
    for (std::vector<messages::Outgoing> Sent = m_Out.take(); !Sent.empty();
         Sent = m_Out.take()) {
      for (const messages::Outgoing &Message : Sent)
        deliverOne(Owner, Self, Reachable, Message);
    }
  }

  void deliverOne(ProgramOwner &Owner, const InstanceId &Self,
                  const std::string &Reachable,
                  const messages::Outgoing &Message) {
    for (FakeLedger &Ledger : m_Ledgers) {
      const bool IsAppend = Message.m_Message.program().has_append();
      if (Ledger.self() != Message.m_To ||
          (IsAppend && Ledger.self().str() == m_NoAppendsTo) ||
          Reachable.find(Ledger.self().str()) == std::string::npos)
        continue;
      Ledger.onMessage(Self, Message.m_Message.program(), m_Now);
      Ledger.sync();
      for (const messages::Outgoing &Reply : Ledger.takeSynced()) {
        const messages::ProgramMessage &Body = Reply.m_Message.program();
        if (Body.has_open_reply())
          Owner.onOpenReply(Ledger.self(), Body.open_reply(), m_Now, m_Out);
        else
          Owner.onAppendReply(Ledger.self(), Body.append_reply(), m_Now, m_Out);
      }
    }
  }

  void tick(ProgramOwner &Owner) {
    m_Now.m_Monotonic += base::seconds(1);
    Owner.onTick(disks(), m_Now, m_Out);
  }

  std::uint64_t m_Nonce = 0;
  std::string m_NoAppendsTo;
  base::Now m_Now;
  messages::Outbox m_Out;
  FakeLedger m_Ledgers[3] = {FakeLedger(InstanceId("a")),
                             FakeLedger(InstanceId("b")),
                             FakeLedger(InstanceId("c"))};
  const base::ProgramId m_Program{"brum-a/1"};
  const InstanceId m_First{"entry-1"};
  const InstanceId m_Second{"entry-2"};
};

TEST_F(ProgramReplicationTest, TakeoverFencesTheFirstOwner) {
  ProgramOwner First(m_Program, options("entry-1"));
  {
    SCOPED_TRACE("a majority commits the creation and one turn");
    First.create(created(), disks(), m_Now, m_Out);
    deliver(First, m_First, "ab");
    First.append(started(1), m_Now, m_Out);
    EXPECT_EQ(First.commitIndex(), 1U);
    deliver(First, m_First, "ab");
    EXPECT_EQ(First.commitIndex(), 2U);
  }
  ProgramOwner Second(m_Program, options("entry-2"));
  {
    SCOPED_TRACE("the second owner finds both through the other majority");
    Second.open(disks(), m_Now, m_Out);
    deliver(Second, m_Second, "bc");
    ASSERT_EQ(Second.phase(), OwnerPhase::Leading);
    EXPECT_EQ(Second.commitIndex(), 3U);
    EXPECT_TRUE(Second.entry(3).has_owner_changed());
    EXPECT_EQ(verifyChain(Second.entries()), std::nullopt);
  }
  {
    SCOPED_TRACE("the first owner can commit nothing and is fenced");
    First.append(started(2), m_Now, m_Out);
    deliver(First, m_First, "abc");
    EXPECT_EQ(First.phase(), OwnerPhase::Fenced);
    EXPECT_EQ(First.commitIndex(), 2U);
  }
}

TEST_F(ProgramReplicationTest, WipedDiskIsTrustedOnlyAfterItWasRewritten) {
  ProgramOwner First(m_Program, options("entry-1"));
  First.create(created(), disks(), m_Now, m_Out);
  deliver(First, m_First, "ac");
  ASSERT_EQ(First.commitIndex(), 1U);
  {
    SCOPED_TRACE(
        "a wiped ledger and one that missed the program are no quorum");
    m_Ledgers[0].wipe();
    ProgramOwner Second(m_Program, options("entry-2"));
    Second.open(disks(), m_Now, m_Out);
    deliver(Second, m_Second, "ab");
    EXPECT_EQ(Second.phase(), OwnerPhase::Opening);
  }
  ProgramOwner Third(m_Program, options("entry-2"));
  {
    SCOPED_TRACE("the ledger that never had it is trusted: its disk is older");
    Third.open(disks(), m_Now, m_Out);
    deliver(Third, m_Second, "bc");
    tick(Third);
    deliver(Third, m_Second, "bc");
    ASSERT_EQ(Third.phase(), OwnerPhase::Leading);
  }
  {
    SCOPED_TRACE("rewritten under a ballot that was chosen after the wipe");
    tick(Third);
    deliver(Third, m_Second, "abc");
    EXPECT_FALSE(m_Ledgers[0].replica().find(m_Program)->m_Untrusted);
  }
  {
    SCOPED_TRACE("a second loss right after the repair is tolerated");
    m_Ledgers[2].wipe();
    ProgramOwner Fourth(m_Program, options("entry-3"));
    for (int Round = 0; Round < 5; ++Round) {
      if (Round == 0)
        Fourth.open(disks(), m_Now, m_Out);
      deliver(Fourth, InstanceId("entry-3"), "ab");
      tick(Fourth);
    }
    ASSERT_EQ(Fourth.phase(), OwnerPhase::Leading);
    EXPECT_TRUE(Fourth.entry(1).has_created());
  }
}

TEST_F(ProgramReplicationTest, RewriteUnderAnOlderBallotDoesNotRestoreTrust) {
  ProgramOwner First(m_Program, options("entry-1"));
  First.create(created(), disks(), m_Now, m_Out);
  deliver(First, m_First, "bc");
  ProgramOwner Second(m_Program, options("entry-2"));
  Second.open(disks(), m_Now, m_Out);
  deliver(Second, m_Second, "ab");
  ASSERT_EQ(Second.phase(), OwnerPhase::Leading);
  {
    SCOPED_TRACE("the wiped ledger has lost the second owner's ballot");
    m_Ledgers[0].wipe();
    First.append(started(1), m_Now, m_Out);
    deliver(First, m_First, "ac");
    EXPECT_EQ(First.commitIndex(), 1U);
    EXPECT_TRUE(m_Ledgers[0].replica().find(m_Program)->m_Untrusted);
  }
}

TEST_F(ProgramReplicationTest, EntryOfOlderBallotCommitsOnlyThroughAnOwnEntry) {
  ProgramOwner First(m_Program, options("entry-1"));
  First.create(created(), disks(), m_Now, m_Out);
  deliver(First, m_First, "abc");
  {
    SCOPED_TRACE("a turn that fills an append reaches one ledger");
    messages::ProgramEntry Large = started(1);
    Large.mutable_turn_started()->mutable_request()->set_body(
        std::string(5U << 20U, 'x'));
    First.append(Large, m_Now, m_Out);
    deliver(First, m_First, "a");
  }
  ProgramOwner Second(m_Program, options("entry-2"));
  m_NoAppendsTo = "c";
  Second.open(disks(), m_Now, m_Out);
  deliver(Second, m_Second, "ac");
  ASSERT_EQ(Second.phase(), OwnerPhase::Leading);
  ASSERT_EQ(Second.lastIndex(), 3U);
  {
    SCOPED_TRACE("a majority has the turn, but not the owner's first entry");
    m_NoAppendsTo.clear();
    tick(Second);
    for (const messages::Outgoing &Message : m_Out.take())
      deliverOne(Second, m_Second, "c", Message);
    EXPECT_EQ(m_Ledgers[2].replica().find(m_Program)->lastIndex(), 2U);
    EXPECT_EQ(Second.commitIndex(), 0U);
  }
  deliver(Second, m_Second, "c");
  EXPECT_EQ(Second.commitIndex(), 3U);
}

TEST_F(ProgramReplicationTest, PromisesOfAMajorityAreValidAtTheSameTime) {
  ProgramOwner Creator(m_Program, options("entry-0"));
  Creator.create(created(), disks(), m_Now, m_Out);
  deliver(Creator, InstanceId("entry-0"), "abc");
  ProgramOwner Higher(m_Program, options("entry-2"));
  {
    SCOPED_TRACE("one ledger promises the higher ballot and loses its disk");
    Higher.open(disks(), m_Now, m_Out);
    deliver(Higher, m_Second, "a");
    m_Ledgers[0].wipe();
  }
  ProgramOwner Lower(m_Program, options("entry-1"));
  {
    SCOPED_TRACE("the lower ballot commits through the rewritten ledger");
    Lower.open(disks(), m_Now, m_Out);
    m_NoAppendsTo = "b";
    deliver(Lower, m_First, "bc");
    ASSERT_EQ(Lower.phase(), OwnerPhase::Leading);
    Lower.append(started(1), m_Now, m_Out);
    tick(Lower);
    deliver(Lower, m_First, "ac");
    ASSERT_EQ(Lower.commitIndex(), 3U);
  }
  {
    SCOPED_TRACE("the higher ballot finds the turn and retains it");
    m_NoAppendsTo.clear();
    for (int Round = 0; Round < 4; ++Round) {
      tick(Higher);
      deliver(Higher, m_Second, "ab");
    }
    ASSERT_EQ(Higher.phase(), OwnerPhase::Leading);
    EXPECT_TRUE(Higher.entry(3).has_turn_started());
  }
}

TEST_F(ProgramReplicationTest, OwnerRepairsADiskWipedDuringItsOwnership) {
  ProgramOwner First(m_Program, options("entry-1"));
  First.create(created(), disks(), m_Now, m_Out);
  deliver(First, m_First, "abc");
  m_Ledgers[0].wipe();
  {
    SCOPED_TRACE("the wiped ledger's answer commits nothing");
    First.append(started(1), m_Now, m_Out);
    deliver(First, m_First, "a");
    EXPECT_EQ(First.commitIndex(), 1U);
  }
  {
    SCOPED_TRACE(
        "the owner opens the program again and retains its own entries");
    tick(First);
    deliver(First, m_First, "abc");
    tick(First);
    deliver(First, m_First, "abc");
    EXPECT_EQ(First.phase(), OwnerPhase::Leading);
    EXPECT_TRUE(First.entry(2).has_turn_started());
    EXPECT_TRUE(First.entry(3).has_owner_changed());
    EXPECT_EQ(First.commitIndex(), 3U);
    EXPECT_TRUE(First.isIdle());
    EXPECT_FALSE(m_Ledgers[0].replica().find(m_Program)->m_Untrusted);
  }
}

TEST_F(ProgramReplicationTest, CrashLosesOnlyUnacknowledgedEntries) {
  ProgramOwner First(m_Program, options("entry-1"));
  First.create(created(), disks(), m_Now, m_Out);
  deliver(First, m_First, "abc");
  First.append(started(1), m_Now, m_Out);
  for (const messages::Outgoing &Message : m_Out.take()) {
    if (Message.m_To.str() == "a")
      m_Ledgers[0].onMessage(m_First, Message.m_Message.program(), m_Now);
  }
  EXPECT_TRUE(m_Ledgers[0].takeSynced().empty());
  m_Ledgers[0].crash();
  const HeldProgram *Held = m_Ledgers[0].replica().find(m_Program);
  ASSERT_NE(Held, nullptr);
  EXPECT_EQ(Held->lastIndex(), 1U);
  EXPECT_FALSE(Held->m_Untrusted);
}

} // namespace
} // namespace psp::program
