// A member that has received a leader's state, but not yet all entries that the
// state refers to.

#include "support/GroupSimulation.h"

#include <gtest/gtest.h>

namespace psp::consensus {
namespace {

/// Guards against a slow catch-up seen on the test bench: a member had received
/// the state up to entry 100 and a log that ended at 75 when another leader
/// took over. The member reported its commit index as the index to continue
/// from. Its log doesn't reach that index, so it rejected the next message too,
/// and so on, entry by entry, with a full batch sent each time.
TEST(GroupCatchUpTest, ReportsTheEndOfItsLogWhileEntriesAreMissing) {
  testsupport::SimulatedDisk Disk("disk-c");
  testsupport::CommandList State;
  Group Member({}, Disk, State);
  const base::Now Now{.m_Monotonic = base::TimePoint(base::seconds(1)),
                      .m_Wall = 1'000'000};
  Member.start(Disk.identity(), Now);
  const auto Message = [&](const std::string &From, std::uint64_t Term) {
    Group::Message Sent;
    Sent.set_from(From);
    Sent.set_to(Disk.identity());
    Sent.set_term(Term);
    return Sent;
  };
  Group::Message First = Message("disk-a", 1);
  auto &Snapshot = *First.mutable_snapshot();
  Snapshot.set_index(100);
  Snapshot.set_base_index(75);
  Snapshot.set_term(1);
  Snapshot.set_state("76 100 \n");
  Member.onMessage(First, Now);
  ASSERT_EQ(Member.commitIndex(), 100U);
  ASSERT_EQ(Member.lastIndex(), 75U);
  Member.takeMessages();
  {
    SCOPED_TRACE("another leader starts after its own last entry");
    Group::Message Next = Message("disk-b", 2);
    Next.mutable_append()->set_previous_index(120);
    Next.mutable_append()->set_previous_term(1);
    Member.onMessage(Next, Now);
    const auto Replies = Member.takeMessages();
    ASSERT_EQ(Replies.size(), 1U);
    EXPECT_FALSE(Replies[0].append_reply().accepted());
    EXPECT_EQ(Replies[0].append_reply().match(), 75U);
  }
  {
    SCOPED_TRACE("the member accepts entries that follow its log");
    Group::Message Next = Message("disk-b", 2);
    Next.mutable_append()->set_previous_index(75);
    Next.mutable_append()->set_previous_term(1);
    auto &Entry = *Next.mutable_append()->add_entries();
    Entry.set_index(76);
    Entry.set_term(1);
    Member.onMessage(Next, Now);
    const auto Replies = Member.takeMessages();
    ASSERT_EQ(Replies.size(), 1U);
    EXPECT_TRUE(Replies[0].append_reply().accepted());
    EXPECT_EQ(Replies[0].append_reply().match(), 76U);
  }
}

} // namespace
} // namespace psp::consensus
