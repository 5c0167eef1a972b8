#include "gateway/InactivityMonitor.h"

#include <algorithm>

namespace psp::gateway {

bool InactivityMonitor::check(base::TimePoint LastReceivedAt,
                              base::TimePoint Now) {
  const bool ProcessStalled = Now - m_NextCheckAt > m_Options.m_MaxCheckDelay;
  m_NextCheckAt = Now + m_Options.m_CheckInterval;
  if (ProcessStalled)
    m_WindowStart = Now;
  return silentFor(LastReceivedAt, Now) > m_Options.m_InactivityTimeout;
}

base::Duration InactivityMonitor::silentFor(base::TimePoint LastReceivedAt,
                                            base::TimePoint Now) const {
  return std::chrono::duration_cast<base::Duration>(
      Now - std::max(LastReceivedAt, m_WindowStart));
}

} // namespace psp::gateway
