// The rate of an organisation was cut far below what it sends: programs that
// have begun can end, and no more tokens are allocated than the rate allows.

#include "coordinator/TokenAllocator.h"

#include <gtest/gtest.h>

namespace psp::coordinator {
namespace {

using base::milliseconds;
using base::seconds;

class TokenDeskTest : public testing::Test {
protected:
  TokenDeskTest() {
    m_Sender.m_Name = "g";
    m_Allocator.reset(m_Now);
  }
  void setRate(double PerSecond, double Burst) {
    m_Sender.m_RatePerSecond = PerSecond;
    m_Sender.m_Burst = Burst;
  }
  std::uint32_t allocate(std::uint32_t Wanted, bool NewProgram) {
    return m_Allocator.allocate(m_Sender, Wanted, NewProgram, m_Now);
  }
  /// Requests three tokens every 5 ms, for five seconds.
  std::uint32_t allocateForFiveSeconds(bool HalfNewPrograms) {
    std::uint32_t Allocated = 0;
    for (int Step = 0; Step < 1000; ++Step, m_Now += milliseconds(5))
      Allocated += allocate(3, HalfNewPrograms && Step % 2 == 0);
    return Allocated;
  }

  TokenAllocator m_Allocator;
  fleet::OrganisationSpec m_Sender;
  base::TimePoint m_Now{seconds(100)};
};

TEST_F(TokenDeskTest, ReservesTokensForProgramsThatHaveBegun) {
  setRate(5, 10);
  EXPECT_EQ(allocate(1, true), 0U);
  m_Now += seconds(1);
  EXPECT_EQ(allocate(1, true), 0U);
  EXPECT_EQ(allocate(1, false), 1U);
  m_Now += seconds(10);
  EXPECT_EQ(allocate(10, true), 4U);
  EXPECT_EQ(allocate(10, false), 6U);
}

TEST_F(TokenDeskTest, NeverAllocatesMoreThanRateAndBurst) {
  setRate(5, 10);
  EXPECT_LE(allocateForFiveSeconds(true), 5U * 5 + 10);
}

TEST_F(TokenDeskTest, TheDividedShareOfAHighRateIsNotAllocatedTwice) {
  setRate(200, 200);
  EXPECT_LE(allocateForFiveSeconds(false), 100U * 5 + 100);
}

} // namespace
} // namespace psp::coordinator
