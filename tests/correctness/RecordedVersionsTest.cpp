// When an entry instance has history record the versions of a service, and when
// a stream waits for it.

#include "gateway/RecordedVersions.h"

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

base::TimePoint at(int Seconds) {
  return base::TimePoint(base::seconds(Seconds));
}

class RecordedVersionsTest : public testing::Test {
protected:
  RecordedVersions m_Versions{
      {.m_ValidTime = base::seconds(20), .m_RetryInterval = base::seconds(1)}};
};

TEST_F(RecordedVersionsTest, ARecordCountsFromItsRequest) {
  EXPECT_FALSE(m_Versions.isRecorded("models", "v1", at(100)));
  m_Versions.onRecorded("models", "v1", at(100));
  EXPECT_TRUE(m_Versions.isRecorded("models", "v1", at(119)));
  EXPECT_FALSE(m_Versions.isRecorded("models", "v1", at(120)));
  EXPECT_FALSE(m_Versions.isRecorded("models", "v2", at(100)));
  EXPECT_FALSE(m_Versions.isRecorded("tools", "v1", at(100)));
  {
    SCOPED_TRACE("a late reply to an earlier request doesn't shorten it");
    m_Versions.onRecorded("models", "v1", at(90));
    EXPECT_TRUE(m_Versions.isRecorded("models", "v1", at(119)));
  }
  {
    SCOPED_TRACE("history remembers a stream that begins at the last moment");
    EXPECT_EQ(m_Versions.retention(base::seconds(3)),
              base::seconds(20) + base::seconds(3) + StreamTakeUpTime);
  }
}

TEST_F(RecordedVersionsTest, IsRenewedBeforeItEnds) {
  EXPECT_TRUE(m_Versions.takeDue("models", "v1", at(100)));
  EXPECT_FALSE(m_Versions.takeDue("models", "v1", at(100)));
  EXPECT_TRUE(m_Versions.takeDue("models", "v1", at(101)));
  m_Versions.onRecorded("models", "v1", at(101));
  EXPECT_FALSE(m_Versions.takeDue("models", "v1", at(110)));
  EXPECT_TRUE(m_Versions.takeDue("models", "v1", at(111)));
}

TEST_F(RecordedVersionsTest, NoStreamWaitsAfterAFailure) {
  EXPECT_FALSE(m_Versions.hasFailed("models", "v1"));
  m_Versions.onFailed("models", "v1");
  EXPECT_TRUE(m_Versions.hasFailed("models", "v1"));
  EXPECT_FALSE(m_Versions.hasFailed("models", "v2"));
  {
    SCOPED_TRACE("the next request is sent without a stream");
    EXPECT_TRUE(m_Versions.takeDue("models", "v1", at(100)));
    EXPECT_TRUE(m_Versions.hasFailed("models", "v1"));
  }
  m_Versions.onRecorded("models", "v1", at(100));
  EXPECT_FALSE(m_Versions.hasFailed("models", "v1"));
}

} // namespace
} // namespace psp::gateway
