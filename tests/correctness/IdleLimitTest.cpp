// When a connection of a caller that waits for its next request is closed.

#include "gateway/IdleLimit.h"

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

using base::seconds;

base::TimePoint at(int Seconds) { return base::TimePoint(seconds(Seconds)); }

TEST(IdleLimitTest, RaisedLimitHoldsForConnectionsThatWait) {
  IdleLimit Limit{seconds(1)};
  Limit.change(seconds(3), at(10));
  EXPECT_EQ(Limit.deadline(at(9)), at(12));
  EXPECT_EQ(Limit.deadline(at(20)), at(23));
}

TEST(IdleLimitTest, LoweredLimitLeavesCallersTheEarlierOneWhileItLasts) {
  IdleLimit Limit{seconds(10)};
  Limit.change(seconds(2), at(100));
  {
    SCOPED_TRACE("a wait that began before the change");
    EXPECT_EQ(Limit.deadline(at(95)), at(105));
    EXPECT_EQ(Limit.deadline(at(100)), at(110));
  }
  {
    SCOPED_TRACE("a wait that began after it");
    EXPECT_EQ(Limit.deadline(at(103)), at(110));
    EXPECT_EQ(Limit.deadline(at(109)), at(111));
    EXPECT_EQ(Limit.deadline(at(120)), at(122));
  }
}

TEST(IdleLimitTest, StatedTimeEndsBeforeTheLimitByTheTimeOfTravel) {
  const auto Stated = [](int Milliseconds) {
    return IdleLimit::statedTime(base::milliseconds(Milliseconds)).count();
  };
  EXPECT_EQ(Stated(15000), 14);
  EXPECT_EQ(Stated(14499), 13);
  EXPECT_EQ(Stated(1500), 1);
  EXPECT_EQ(Stated(1499), 0);
  EXPECT_EQ(Stated(100), 0);
}

TEST(IdleLimitTest, DeadlineOfAWaitNeverMovesToAnEarlierTime) {
  {
    SCOPED_TRACE("lowered twice");
    IdleLimit Limit{seconds(10)};
    Limit.change(seconds(6), at(100));
    Limit.change(seconds(2), at(101));
    EXPECT_EQ(Limit.deadline(at(99)), at(109));
    EXPECT_EQ(Limit.deadline(at(120)), at(122));
  }
  {
    SCOPED_TRACE("raised again, by less and by more");
    IdleLimit Limit{seconds(10)};
    Limit.change(seconds(2), at(100));
    Limit.change(seconds(4), at(101));
    EXPECT_EQ(Limit.deadline(at(99)), at(109));
    Limit.change(seconds(20), at(102));
    EXPECT_EQ(Limit.deadline(at(99)), at(119));
  }
  {
    SCOPED_TRACE("raised and lowered at once");
    IdleLimit Limit{seconds(2)};
    Limit.change(seconds(10), at(100));
    Limit.change(seconds(2), at(100));
    EXPECT_EQ(Limit.deadline(at(99)), at(109));
  }
  {
    SCOPED_TRACE("unchanged");
    IdleLimit Limit{seconds(10)};
    Limit.change(seconds(10), at(100));
    EXPECT_EQ(Limit.deadline(at(99)), at(109));
  }
}

} // namespace
} // namespace psp::gateway
