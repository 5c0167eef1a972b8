/// \file
/// The fleet report: one HTML page without outside parts, with SVG charts of
/// latency, refusals, fairness and cache waste.

#ifndef PSP_CTL_REPORT_H
#define PSP_CTL_REPORT_H

#include "ctl/Command.h"
#include "ctl/Session.h"
#include "metrics/Samples.h"

#include <string>
#include <vector>

namespace psp::ctl {

/// What one process has measured since its start.
struct InstanceMetrics {
  std::string m_Target;
  std::vector<metrics::Sample> m_Samples;
};

/// The page for the instances that answered and those that didn't.
std::string makeReport(const std::vector<InstanceMetrics> &Instances,
                       const std::vector<std::string> &Unreachable,
                       const std::string &Time);

/// Collects the metrics of every target and writes --report_file.
ExitCode writeReport(const Session &Run);

} // namespace psp::ctl

#endif
