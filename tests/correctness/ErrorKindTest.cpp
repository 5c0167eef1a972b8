/// \file
/// The table of error kinds is closed and its names are unique.

#include "base/ErrorKind.h"

#include <gtest/gtest.h>

namespace psp::base {
namespace {

TEST(ErrorKind, EveryNameLeadsBackToItsKind) {
  for (int I = 0; I <= static_cast<int>(ErrorKind::Internal); ++I) {
    const auto Kind = static_cast<ErrorKind>(I);
    EXPECT_EQ(errorKindFromName(errorAnswer(Kind).m_Name), Kind);
  }
  EXPECT_EQ(errorKindFromName("no-such-kind"), std::nullopt);
}

TEST(ErrorKind, AnUnknownOutcomeNeverSaysNotRun) {
  EXPECT_EQ(errorAnswer(ErrorKind::OutcomeUnknown).m_Run, RunState::Unknown);
  EXPECT_EQ(runStateName(RunState::No), "no");
}

} // namespace
} // namespace psp::base
