/// \file
/// Counters, gauges and latency histograms of one process, and their text in
/// Prometheus format.

#ifndef PSP_METRICS_REGISTRY_H
#define PSP_METRICS_REGISTRY_H

#include "base/Time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace psp::metrics {

/// One dimension of a metric, such as the organisation.
struct Label {
  std::string m_Name;
  std::string m_Value;

  bool operator==(const Label &) const = default;
  bool operator<(const Label &Other) const {
    return std::tie(m_Name, m_Value) < std::tie(Other.m_Name, Other.m_Value);
  }
};

/// What a metric is called. One name has one help text.
struct MetricName {
  std::string m_Name;
  std::string m_Help;
};

/// Grows only. Any thread may add.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    m_Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const {
    return m_Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> m_Value{0};
};

/// A reading that goes up and down. Any thread may set it.
class Gauge {
public:
  void set(std::int64_t Value) {
    m_Value.store(Value, std::memory_order_relaxed);
  }
  std::int64_t value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> m_Value{0};
};

/// A distribution of durations from 100 microseconds to 1000 seconds, with
/// ten buckets for each power of ten. Any thread may record and read.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(base::Duration Latency);

  std::uint64_t count() const;
  /// The upper bound of the bucket that holds the given share (0 to 1) of the
  /// recorded values; zero when there are none.
  base::Duration quantile(double Share) const;
  /// Lines in Prometheus format for the name and labels given.
  void appendText(std::string &Text, const std::string &Name,
                  const std::vector<Label> &Labels) const;

private:
  class Buckets;
  std::unique_ptr<Buckets> m_Buckets;
  std::atomic<std::uint64_t> m_SumMicros{0};
};

/// Owns the metrics of a process. A metric is made at its first use and lives
/// as long as the registry, so that a caller may keep the reference.
///
/// Example:
/// \code
///   Counter &Refused = Metrics.counter(names::Refusals, {{"kind",
///   "stopping"}}); Refused.add();
/// \endcode
class Registry {
public:
  Registry();
  ~Registry();
  Registry(const Registry &) = delete;
  Registry &operator=(const Registry &) = delete;

  Counter &counter(const MetricName &Name, std::vector<Label> Labels = {});
  Gauge &gauge(const MetricName &Name, std::vector<Label> Labels = {});
  LatencyHistogram &histogram(const MetricName &Name,
                              std::vector<Label> Labels = {});

  /// Everything in Prometheus text format, ordered by name and labels.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// `{a="1",b="2"}`, or nothing without labels.
std::string labelText(const std::vector<Label> &Labels);

} // namespace psp::metrics

#endif
