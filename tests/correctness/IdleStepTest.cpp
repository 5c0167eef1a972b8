// A request that arrives while its connection is about to be closed.

#include "gateway/IdleStep.h"

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

using base::seconds;

base::TimePoint at(int Seconds) { return base::TimePoint(seconds(Seconds)); }

TEST(IdleStepTest, ArrivedRequestIsReadWhateverEndsTheWait) {
  const auto Step = [](bool HasBytes, bool Closing, int Now) {
    return nextIdleStep({.m_HasBytes = HasBytes,
                         .m_Closing = Closing,
                         .m_Now = at(Now),
                         .m_Deadline = at(5)});
  };
  EXPECT_EQ(Step(false, false, 4), IdleStep::Wait);
  for (const bool Closing : {false, true})
    for (const int Now : {4, 5, 6})
      EXPECT_EQ(Step(true, Closing, Now), IdleStep::Read);
  EXPECT_EQ(Step(false, false, 5), IdleStep::Close);
  EXPECT_EQ(Step(false, true, 4), IdleStep::Close);
  EXPECT_EQ(Step(false, true, 6), IdleStep::Close);
}

} // namespace
} // namespace psp::gateway
