/// \file
/// Guards against operators' commands that never reach the leader of the
/// control log because another ledger is unreachable. Every ledger must be
/// found as the leader while any one of the others doesn't answer.

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
  static bool isAccepted(const InstanceId &Unreachable,
                         const InstanceId &Leader) {
    Submissions Subject(ledgers());
    messages::Outbox Out;
    Subject.start(1, {}, TimePoint(), Out);
    for (int Step = 0; Step < 800; ++Step) {
      const TimePoint Now = TimePoint() + milliseconds(5) * Step;
      for (const messages::Outgoing &Sent : Out.take()) {
        if (Sent.m_To == Unreachable)
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

TEST_F(SubmissionsTest, FindsLeaderWithAnyOtherLedgerUnreachable) {
  for (const InstanceId &Unreachable : ledgers()) {
    for (const InstanceId &Leader : ledgers()) {
      if (Unreachable == Leader)
        continue;
      SCOPED_TRACE(Unreachable.str() + " is unreachable, " + Leader.str() +
                   " leads");
      EXPECT_TRUE(isAccepted(Unreachable, Leader));
    }
  }
}

} // namespace
} // namespace psp::entry
