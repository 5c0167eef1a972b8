/// \file
/// A ring between two threads keeps order, refuses when full and counts it.

#include "base/BoundedRing.h"

#include <gtest/gtest.h>

#include <thread>

namespace psp::base {
namespace {

TEST(BoundedRing, RefusesWhenFullAndKeepsOrder) {
  int Wakes = 0;
  BoundedRing<int> Ring(2, [&] { ++Wakes; });
  {
    SCOPED_TRACE("two values fit, the third is refused and counted");
    EXPECT_TRUE(Ring.push(1));
    EXPECT_TRUE(Ring.push(2));
    EXPECT_FALSE(Ring.push(3));
    EXPECT_EQ(Ring.refused(), 1U);
    EXPECT_EQ(Wakes, 2);
  }
  {
    SCOPED_TRACE("the values come out in order and make room");
    std::vector<int> Seen;
    EXPECT_EQ(Ring.drain([&](int Value) { Seen.push_back(Value); }), 2U);
    EXPECT_EQ(Seen, (std::vector<int>{1, 2}));
    EXPECT_TRUE(Ring.push(4));
  }
}

TEST(BoundedRing, CarriesEveryValueBetweenThreads) {
  constexpr int Count = 20000;
  BoundedRing<int> Ring(64, [] {});
  std::thread Producer([&] {
    for (int Value = 0; Value < Count;) {
      if (Ring.push(int(Value)))
        ++Value;
      else
        std::this_thread::yield();
    }
  });
  int Expected = 0;
  while (Expected < Count)
    Ring.drain([&](int Value) { ASSERT_EQ(Value, Expected++); });
  Producer.join();
}

} // namespace
} // namespace psp::base
