/// \file
/// A missing endpoint says nothing before every endpoint could be heard.

#include "fleet/DirectoryCoverage.h"

#include <gtest/gtest.h>

namespace psp::fleet {
namespace {

using base::milliseconds;

class DirectoryCoverageTest : public testing::Test {
protected:
  void listen(base::Duration Length) {
    const base::TimePoint Until = m_Now + Length;
    while (m_Now < Until) {
      m_Coverage.onListening(m_Now);
      m_Now += milliseconds(500);
    }
    m_Coverage.onListening(m_Now);
  }

  base::TimePoint m_Now = base::TimePoint(base::seconds(100));
  DirectoryCoverage m_Coverage;
};

TEST_F(DirectoryCoverageTest, ANodeThatHasJustStartedMayLackEndpoints) {
  EXPECT_FALSE(m_Coverage.isComplete(m_Now));
  listen(milliseconds(3500));
  EXPECT_FALSE(m_Coverage.isComplete(m_Now));

  // Once it has listened for long enough, it knows all that serve.
  listen(milliseconds(500));
  EXPECT_TRUE(m_Coverage.isComplete(m_Now));
}

TEST_F(DirectoryCoverageTest, ANodeThatStoodStillBeginsAnew) {
  listen(milliseconds(4000));
  m_Now += milliseconds(1600);
  EXPECT_FALSE(m_Coverage.isComplete(m_Now)) << "before it listens again";

  listen(milliseconds(3500));
  EXPECT_FALSE(m_Coverage.isComplete(m_Now));
  listen(milliseconds(500));
  EXPECT_TRUE(m_Coverage.isComplete(m_Now));
}

TEST_F(DirectoryCoverageTest, ALateTimerIsNoGap) {
  listen(milliseconds(3000));
  m_Now += milliseconds(1400);
  m_Coverage.onListening(m_Now);
  EXPECT_TRUE(m_Coverage.isComplete(m_Now));
}

} // namespace
} // namespace psp::fleet
