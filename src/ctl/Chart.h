/// \file
/// Bar charts as inline SVG, and text made safe for HTML.

#ifndef PSP_CTL_CHART_H
#define PSP_CTL_CHART_H

#include <string>
#include <vector>

namespace psp::ctl {

struct Bar {
  std::string m_Label;
  double m_Value = 0;
};

/// Horizontal bars with their values; \p Unit follows each value.
std::string barChart(const std::vector<Bar> &Bars, const std::string &Unit);

/// Replaces the characters that have a meaning in HTML.
std::string escapeHtml(const std::string &Text);

/// Three significant digits.
std::string shortNumber(double Value);

} // namespace psp::ctl

#endif
