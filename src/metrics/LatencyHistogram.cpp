#include "metrics/Registry.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace psp::metrics {
namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketsPerDecade = 10;
constexpr unsigned Decades = 7;
constexpr double SmallestSeconds = 1e-4;
constexpr double LargestSeconds = 1e3;
constexpr double SecondMicros = 1e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Count = bh::accumulators::count<std::uint64_t, true>;

std::string numberText(double Value) {
  std::array<char, 32> Buffer{};
  const int Length = std::snprintf(Buffer.data(), Buffer.size(), "%.6g", Value);
  return {Buffer.data(), static_cast<std::size_t>(Length)};
}

} // namespace

class LatencyHistogram::Buckets {
public:
  void record(double Seconds) { m_Histogram(Seconds); }

  /// Index 0 holds everything below the smallest bound, size() - 1 everything
  /// above the largest one.
  std::uint64_t at(int Index) const {
    return m_Histogram.at(Index - 1).value();
  }
  int size() const { return m_Histogram.axis().size() + 2; }

  /// Seconds; infinite for the last bucket.
  double upperBound(int Index) const { return m_Histogram.axis().value(Index); }

private:
  bh::histogram<std::tuple<Axis>, bh::dense_storage<Count>> m_Histogram =
      bh::make_histogram_with(
          bh::dense_storage<Count>(),
          Axis(BucketsPerDecade *Decades, SmallestSeconds, LargestSeconds));
};

LatencyHistogram::LatencyHistogram() : m_Buckets(std::make_unique<Buckets>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(base::Duration Latency) {
  const auto Micros = std::max<std::int64_t>(Latency.count(), 0);
  m_Buckets->record(static_cast<double>(Micros) / SecondMicros);
  m_SumMicros.fetch_add(static_cast<std::uint64_t>(Micros),
                        std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t Total = 0;
  for (int I = 0; I < m_Buckets->size(); ++I)
    Total += m_Buckets->at(I);
  return Total;
}

base::Duration LatencyHistogram::quantile(double Share) const {
  const auto Total = static_cast<double>(count());
  double Seen = 0;
  for (int I = 0; Total > 0 && I < m_Buckets->size(); ++I) {
    Seen += static_cast<double>(m_Buckets->at(I));
    if (Seen < Share * Total)
      continue;
    const double Bound = std::min(m_Buckets->upperBound(I), LargestSeconds);
    return base::Duration(std::llround(Bound * SecondMicros));
  }
  return base::Duration(0);
}

void LatencyHistogram::appendText(std::string &Text, const std::string &Name,
                                  const std::vector<Label> &Labels) const {
  std::uint64_t Total = 0;
  std::vector<Label> WithBound = Labels;
  WithBound.push_back({"le", ""});
  for (int I = 0; I < m_Buckets->size(); ++I) {
    const std::uint64_t Here = m_Buckets->at(I);
    Total += Here;
    const bool IsLast = I + 1 == m_Buckets->size();
    // Empty buckets add nothing to cumulative counts, so they are left out.
    if (Here == 0 && !IsLast)
      continue;
    WithBound.back().m_Value =
        IsLast ? "+Inf" : numberText(m_Buckets->upperBound(I));
    Text.append(Name).append("_bucket").append(labelText(WithBound));
    Text.append(" ").append(std::to_string(Total)).append("\n");
  }
  const auto Sum = static_cast<double>(m_SumMicros.load()) / SecondMicros;
  Text.append(Name).append("_sum").append(labelText(Labels));
  Text.append(" ").append(numberText(Sum)).append("\n");
  Text.append(Name).append("_count").append(labelText(Labels));
  Text.append(" ").append(std::to_string(Total)).append("\n");
}

} // namespace psp::metrics
