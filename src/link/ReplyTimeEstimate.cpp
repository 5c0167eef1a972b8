#include "link/ReplyTimeEstimate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace psp::link {

namespace {

/// Weights of the newest reply, and how many deviations a late one may take.
constexpr double MeanWeight = 0.125;
constexpr double DeviationWeight = 0.25;
constexpr double MaxDeviations = 4;

} // namespace

void ReplyTimeEstimate::observe(base::Duration ReplyTime) {
  const auto Us = static_cast<double>(ReplyTime.count());
  if (m_MeanUs <= 0) {
    m_MeanUs = Us;
    m_DeviationUs = Us / 2;
    return;
  }
  m_DeviationUs += DeviationWeight * (std::abs(Us - m_MeanUs) - m_DeviationUs);
  m_MeanUs += MeanWeight * (Us - m_MeanUs);
}

base::Duration ReplyTimeEstimate::timeout(base::Duration Min,
                                          base::Duration Max) const {
  const base::Duration Late(
      static_cast<std::int64_t>(m_MeanUs + MaxDeviations * m_DeviationUs));
  return std::clamp(Late, Min, Max);
}

} // namespace psp::link
