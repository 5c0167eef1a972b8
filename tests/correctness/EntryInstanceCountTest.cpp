// Rates are divided by the number of entry instances, which has to be right
// when all processes have just started.

#include "coordinator/EntryInstanceCount.h"

#include <gtest/gtest.h>

namespace psp::coordinator {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint Start{seconds(100)};

/// Guards against an organisation that exceeds its allowance after a start of
/// all processes: control counted the instances that had connected so far.
TEST(EntryInstanceCountTest, ARestartedNodeUsesTheRecordedNumber) {
  EntryInstanceCount Count(Start);
  Count.update(2, 12, Start + milliseconds(200));
  EXPECT_EQ(Count.divisor(Start + milliseconds(200)), 12U);
  EXPECT_FALSE(Count.toRecord(Start + milliseconds(200)));
  {
    SCOPED_TRACE("more than recorded count at once");
    Count.update(13, 12, Start + milliseconds(300));
    EXPECT_EQ(Count.divisor(Start + milliseconds(300)), 13U);
    EXPECT_EQ(Count.toRecord(Start + milliseconds(300)), 13U);
  }
}

TEST(EntryInstanceCountTest, TheNumberIsUnknownUntilAllCouldConnect) {
  EntryInstanceCount Count(Start);
  Count.update(2, 0, Start + milliseconds(200));
  EXPECT_EQ(Count.divisor(Start + milliseconds(200)), 0U);
  EXPECT_FALSE(Count.toRecord(Start + milliseconds(200)));
  Count.update(9, 0, Start + seconds(3));
  EXPECT_EQ(Count.divisor(Start + seconds(3)), 9U);
  EXPECT_EQ(Count.toRecord(Start + seconds(3)), 9U);
}

TEST(EntryInstanceCountTest, InstancesThatAreCutOffKeepTheirShares) {
  EntryInstanceCount Count(Start);
  Count.update(9, 9, Start + seconds(5));
  for (int Minute = 1; Minute <= 110; ++Minute)
    Count.update(6, 9, Start + seconds(5 + 60 * Minute));
  EXPECT_EQ(Count.divisor(Start + seconds(6605)), 9U);
  EXPECT_FALSE(Count.toRecord(Start + seconds(6605)));
  {
    SCOPED_TRACE("those that are gone for good don't");
    Count.update(6, 9, Start + seconds(7210));
    EXPECT_EQ(Count.toRecord(Start + seconds(7210)), 6U);
    Count.update(6, 6, Start + seconds(7211));
    EXPECT_EQ(Count.divisor(Start + seconds(7211)), 6U);
    EXPECT_FALSE(Count.toRecord(Start + seconds(7211)));
  }
}

} // namespace
} // namespace psp::coordinator
