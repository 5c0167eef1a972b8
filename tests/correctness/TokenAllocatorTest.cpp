// An organisation whose rate was cut far below what it sends: programs that
// have begun end, and never more than the rate passes.

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
    m_Desk.reset(m_Now);
  }
  void setRate(double PerSecond, double Burst) {
    m_Sender.m_RatePerSecond = PerSecond;
    m_Sender.m_Burst = Burst;
  }
  std::uint32_t take(std::uint32_t Wanted, bool NewProgram) {
    return m_Desk.take(m_Sender, Wanted, NewProgram, m_Now);
  }
  /// Three tokens are asked for each 5 ms, for five seconds.
  std::uint32_t takeForFiveSeconds(bool SomeBegin) {
    std::uint32_t Given = 0;
    for (int Step = 0; Step < 1000; ++Step, m_Now += milliseconds(5))
      Given += take(3, SomeBegin && Step % 2 == 0);
    return Given;
  }

  TokenAllocator m_Desk;
  fleet::OrganisationSpec m_Sender;
  base::TimePoint m_Now{seconds(100)};
};

TEST_F(TokenDeskTest, ProgramsThatHaveBegunComeFirst) {
  setRate(5, 10);
  EXPECT_EQ(take(1, true), 0U);
  m_Now += seconds(1);
  EXPECT_EQ(take(1, true), 0U);
  EXPECT_EQ(take(1, false), 1U);
  m_Now += seconds(10);
  EXPECT_EQ(take(10, true), 4U);
  EXPECT_EQ(take(10, false), 6U);
}

TEST_F(TokenDeskTest, NeverGivesMoreThanRateAndBurst) {
  setRate(5, 10);
  EXPECT_LE(takeForFiveSeconds(true), 5U * 5 + 10);
}

TEST_F(TokenDeskTest, TheDividedPartOfAHighRateIsNotGivenTwice) {
  setRate(200, 200);
  EXPECT_LE(takeForFiveSeconds(false), 100U * 5 + 100);
}

} // namespace
} // namespace psp::coordinator
