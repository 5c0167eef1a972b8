/// \file
/// Reads Prometheus text back, for the fleet report.

#ifndef PSP_METRICS_SAMPLES_H
#define PSP_METRICS_SAMPLES_H

#include "metrics/Registry.h"

#include <string>
#include <vector>

namespace psp::metrics {

/// One line of Prometheus text.
struct Sample {
  std::string m_Name;
  std::vector<Label> m_Labels; ///< Ordered by name.
  double m_Value = 0;

  bool operator==(const Sample &) const = default;
  /// The value of the label \p Name, or nothing.
  std::string label(const std::string &Name) const;
};

/// The samples of \p Text. Throws base::UserError(BadRequest) that names the
/// line which is no sample.
std::vector<Sample> parseSamples(const std::string &Text);

/// A distribution put together from the samples of several processes.
class Distribution {
public:
  /// Adds the buckets of \p Name in \p Samples for which \p LabelName has
  /// \p LabelValue; an empty \p LabelName takes them all.
  void add(const std::vector<Sample> &Samples, const std::string &Name,
           const std::string &LabelName, const std::string &LabelValue);

  double count() const;
  /// Upper bound in seconds of the bucket with the given share (0 to 1); zero
  /// when there are no values. Infinite beyond the last bound.
  double quantile(double Share) const;

  /// One bucket that isn't empty.
  struct Bucket {
    double m_UpperBound = 0; ///< Seconds.
    double m_Count = 0;

    bool operator==(const Bucket &) const = default;
  };
  const std::vector<Bucket> &buckets() const { return m_Buckets; }

private:
  void addBucket(double UpperBound, double Count);

  std::vector<Bucket> m_Buckets; ///< Ordered by their bounds.
};

} // namespace psp::metrics

#endif
