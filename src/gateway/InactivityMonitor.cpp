#include "gateway/InactivityMonitor.h"

#include <algorithm>

namespace psp::gateway {

bool InactivityMonitor::check(base::TimePoint LastReceivedAt,
                              base::TimePoint Now) {
  const bool ProcessStalled = Now - m_NextCheckAt > m_Options.m_MaxCheckDelay;
  m_NextCheckAt = Now + m_Options.m_CheckInterval;
  if (ProcessStalled)
    m_WindowStart = Now;
  return Now - std::max(LastReceivedAt, m_WindowStart) >
         m_Options.m_InactivityTimeout;
}

} // namespace psp::gateway
