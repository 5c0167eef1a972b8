/// \file
/// An operator's command finds the leader whichever ledger it is, also while
/// another ledger is dead.

#include "entry/Submissions.h"

#include "base/ErrorKind.h"

#include <gtest/gtest.h>

namespace psp::entry {
namespace {

using base::InstanceId;
using base::milliseconds;
using base::TimePoint;

class SubmissionsTest : public ::testing::Test {
protected:
  static std::vector<InstanceId> ledgers() {
    return {InstanceId("a"), InstanceId("b"), InstanceId("c")};
  }

  /// Runs one submission for 4 s; \p Dead never answers, \p Leader accepts.
  static bool isAccepted(const InstanceId &Dead, const InstanceId &Leader) {
    Submissions Subject(ledgers());
    messages::Outbox Out;
    Subject.start(1, {}, TimePoint(), Out);
    for (int Step = 0; Step < 800; ++Step) {
      const TimePoint Now = TimePoint() + milliseconds(5) * Step;
      for (const messages::Outgoing &Sent : Out.take()) {
        if (Sent.m_To == Dead)
          continue;
        messages::SubmitResult Reply;
        Reply.set_submission(1);
        Reply.mutable_result()->set_accepted(Sent.m_To == Leader);
        if (Sent.m_To != Leader) {
          const auto Kind = base::ErrorKind::QuorumUnavailable;
          Reply.mutable_result()->set_error_kind(
              std::string(base::errorAnswer(Kind).m_Name));
        }
        Subject.onResult(Reply, Now);
      }
      Subject.onTick(Now, Out);
      for (const DecidedSubmission &Decided : Subject.takeDecided())
        return Decided.m_Result.accepted();
    }
    return false;
  }
};

TEST_F(SubmissionsTest, FindsTheLeaderWithAnyOtherLedgerDead) {
  for (const InstanceId &Dead : ledgers()) {
    for (const InstanceId &Leader : ledgers()) {
      if (Dead == Leader)
        continue;
      SCOPED_TRACE(Dead.str() + " is dead, " + Leader.str() + " leads");
      EXPECT_TRUE(isAccepted(Dead, Leader));
    }
  }
}

} // namespace
} // namespace psp::entry
