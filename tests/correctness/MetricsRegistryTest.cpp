/// \file
/// Metrics: the Prometheus text, quantiles, and writers on several threads.

#include "metrics/Names.h"

#include <gtest/gtest.h>

#include <thread>

namespace psp::metrics {
namespace {

using base::milliseconds;

class MetricsRegistryTest : public ::testing::Test {
protected:
  Registry m_Registry;
};

TEST_F(MetricsRegistryTest, TextHasOneHelpAndEveryLabelledValue) {
  m_Registry.counter(names::Calls, {{"organisation", "b"}}).add(2);
  m_Registry.counter(names::Calls, {{"organisation", "a\"\n"}}).add();
  m_Registry.gauge({"psp_queue_length", "Waiting calls"}).set(-3);
  m_Registry.histogram(names::QueueTime).record(milliseconds(20));
  EXPECT_EQ(m_Registry.text(),
            "# HELP psp_calls_total Calls that were accepted\n"
            "# TYPE psp_calls_total counter\n"
            "psp_calls_total{organisation=\"a\\\"\\n\"} 1\n"
            "psp_calls_total{organisation=\"b\"} 2\n"
            "# HELP psp_queue_length Waiting calls\n"
            "# TYPE psp_queue_length gauge\n"
            "psp_queue_length -3\n"
            "# HELP psp_queue_seconds Time that a call waited here for an "
            "endpoint\n"
            "# TYPE psp_queue_seconds histogram\n"
            "psp_queue_seconds_bucket{le=\"0.0251189\"} 1\n"
            "psp_queue_seconds_bucket{le=\"+Inf\"} 1\n"
            "psp_queue_seconds_sum 0.02\n"
            "psp_queue_seconds_count 1\n");
}

TEST_F(MetricsRegistryTest, QuantilesAreUpperBoundsOfTheirBuckets) {
  LatencyHistogram &Latency = m_Registry.histogram(names::CallLatency);
  EXPECT_EQ(Latency.quantile(0.5), base::Duration(0));
  for (int I = 0; I < 90; ++I)
    Latency.record(milliseconds(10));
  for (int I = 0; I < 10; ++I)
    Latency.record(base::seconds(5));
  {
    SCOPED_TRACE("inside the range");
    EXPECT_GE(Latency.quantile(0.5), milliseconds(10));
    EXPECT_LT(Latency.quantile(0.5), milliseconds(13));
    EXPECT_GE(Latency.quantile(0.95), base::seconds(5));
    EXPECT_LT(Latency.quantile(0.95), milliseconds(6500));
  }
  {
    SCOPED_TRACE("outside it, nothing is lost");
    Latency.record(base::Duration(0));
    Latency.record(base::seconds(5000));
    EXPECT_EQ(Latency.count(), 102U);
    EXPECT_EQ(Latency.quantile(1), base::seconds(1000));
  }
}

TEST_F(MetricsRegistryTest, SeveralThreadsLoseNothing) {
  constexpr int Times = 5000;
  m_Registry.counter(names::Calls);
  const auto Write = [&] {
    for (int I = 0; I < Times; ++I) {
      m_Registry.counter(names::Calls).add();
      m_Registry.histogram(names::QueueTime).record(milliseconds(I % 100));
    }
  };
  std::thread First(Write);
  std::thread Second(Write);
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(m_Registry.text().empty());
  First.join();
  Second.join();
  EXPECT_EQ(m_Registry.counter(names::Calls).value(), 2U * Times);
  EXPECT_EQ(m_Registry.histogram(names::QueueTime).count(), 2U * Times);
}

} // namespace
} // namespace psp::metrics
