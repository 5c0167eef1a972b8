// All calls together stay within the memory of their instance.

#include "gateway/CallMemory.h"

#include <gtest/gtest.h>

#include <deque>
#include <utility>

namespace psp::gateway {
namespace {

constexpr std::uint64_t Megabyte = 1U << 20U;

class CallMemoryTest : public testing::Test {
protected:
  /// Holds \p Megabytes, or waits; what was granted is in m_Granted.
  std::uint64_t ask(std::uint64_t Megabytes) {
    return m_Memory.await(Megabytes * Megabyte, [this](CallMemory::Hold Held) {
      m_Granted.push_back(std::move(Held));
    });
  }

  /// The hold is out of m_Granted before its release grants others.
  void releaseFirst() {
    const CallMemory::Hold First = std::move(m_Granted.front());
    m_Granted.pop_front();
  }

  CallMemory m_Memory{{.m_ProcessBytes = 80 * Megabyte}};
  std::deque<CallMemory::Hold> m_Granted;
};

/// Guards against an instance that is killed for its memory: each call kept to
/// its own limit, and nothing added the calls up.
TEST_F(CallMemoryTest, LargeHoldsLeaveRoomForSmallOnes) {
  EXPECT_EQ(m_Memory.limitBytes(), 40 * Megabyte);
  for (int Call = 0; Call < 20; ++Call)
    ask(4);
  EXPECT_EQ(m_Granted.size(), 7U);
  EXPECT_EQ(m_Memory.waiting(), 13U);
  EXPECT_EQ(m_Memory.heldBytes(), 28 * Megabyte);
  {
    SCOPED_TRACE("small ones don't wait");
    CallMemory::Hold Small(m_Memory);
    EXPECT_TRUE(Small.growTo(60'000));
    EXPECT_FALSE(Small.growTo(4 * Megabyte));
    EXPECT_EQ(Small.bytes(), 60'000U);
  }
  {
    SCOPED_TRACE("those that wait are served in their order");
    releaseFirst();
    releaseFirst();
    EXPECT_EQ(m_Memory.waiting(), 11U);
    EXPECT_EQ(m_Memory.heldBytes(), 28 * Megabyte);
  }
}

TEST_F(CallMemoryTest, AWaitThatIsCancelledGetsNothing) {
  ask(28);
  const std::uint64_t Wait = ask(12);
  ask(4);
  EXPECT_EQ(m_Granted.size(), 1U);
  m_Memory.cancel(Wait);
  releaseFirst();
  EXPECT_EQ(m_Granted.size(), 1U);
  EXPECT_EQ(m_Memory.heldBytes(), 4 * Megabyte);
}

TEST_F(CallMemoryTest, AHoldOfMostOfTheMemoryIsPossibleAlone) {
  EXPECT_FALSE(m_Memory.canEverHold(41 * Megabyte));
  ask(36);
  EXPECT_EQ(m_Granted.size(), 1U);
  ask(4);
  EXPECT_EQ(m_Granted.size(), 1U);
}

TEST_F(CallMemoryTest, AHoldThatMovesIsReleasedOnce) {
  {
    CallMemory::Hold First(m_Memory);
    EXPECT_TRUE(First.growTo(Megabyte));
    CallMemory::Hold Second;
    Second = std::move(First);
    EXPECT_EQ(m_Memory.heldBytes(), Megabyte);
  }
  EXPECT_EQ(m_Memory.heldBytes(), 0U);
}

} // namespace
} // namespace psp::gateway
