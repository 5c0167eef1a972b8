#include "gateway/SilenceWatch.h"

#include <algorithm>

namespace psp::gateway {

bool SilenceWatch::look(base::TimePoint HeardAt, base::TimePoint Now) {
  const bool StoodStill = Now - m_NextLook > m_Options.m_Lateness;
  m_NextLook = Now + m_Options.m_Interval;
  if (StoodStill)
    m_Since = Now;
  return Now - std::max(HeardAt, m_Since) > m_Options.m_Limit;
}

} // namespace psp::gateway
