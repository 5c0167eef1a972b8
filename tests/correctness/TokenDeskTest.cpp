// An organisation whose rate was cut far below what it sends: programs that
// have begun end, and never more than the rate passes.

#include "coordinator/TokenDesk.h"

#include <gtest/gtest.h>

namespace psp::coordinator {
namespace {

using base::milliseconds;
using base::seconds;

TEST(TokenDeskTest, ProgramsThatHaveBegunComeFirst) {
  TokenDesk Desk;
  fleet::OrganisationSpec Sender;
  Sender.m_Name = "g";
  Sender.m_RatePerSecond = 5;
  Sender.m_Burst = 10;
  base::TimePoint Now{seconds(100)};
  Desk.reset(Now);
  EXPECT_EQ(Desk.take(Sender, 1, true, Now), 0U);
  Now += seconds(1);
  EXPECT_EQ(Desk.take(Sender, 1, true, Now), 0U);
  EXPECT_EQ(Desk.take(Sender, 1, false, Now), 1U);
  Now += seconds(10);
  EXPECT_EQ(Desk.take(Sender, 10, true, Now), 4U);
  EXPECT_EQ(Desk.take(Sender, 10, false, Now), 6U);
}

TEST(TokenDeskTest, NeverGivesMoreThanRateAndBurst) {
  TokenDesk Desk;
  fleet::OrganisationSpec Sender;
  Sender.m_Name = "g";
  Sender.m_RatePerSecond = 5;
  Sender.m_Burst = 10;
  base::TimePoint Now{seconds(100)};
  Desk.reset(Now);
  std::uint32_t Given = 0;
  for (int Step = 0; Step < 1000; ++Step, Now += milliseconds(5))
    Given += Desk.take(Sender, 3, Step % 2 == 0, Now);
  EXPECT_LE(Given, 5U * 5 + 10);
}

TEST(TokenDeskTest, TheDividedPartOfAHighRateIsNotGivenTwice) {
  TokenDesk Desk;
  fleet::OrganisationSpec Sender;
  Sender.m_Name = "g";
  Sender.m_RatePerSecond = 200;
  Sender.m_Burst = 200;
  base::TimePoint Now{seconds(100)};
  Desk.reset(Now);
  std::uint32_t Given = 0;
  for (int Step = 0; Step < 1000; ++Step, Now += milliseconds(5))
    Given += Desk.take(Sender, 3, false, Now);
  EXPECT_LE(Given, 100U * 5 + 100);
}

} // namespace
} // namespace psp::coordinator
