#include "schedule/EndpointWindow.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>

namespace psp::schedule {

EndpointWindow::EndpointWindow(const WindowOptions &Options)
    : m_Limit(Options.m_InitialWindow), m_Cap(Options.m_MaxWindow),
      m_Options(Options) {}

void EndpointWindow::setCap(double Cap) {
  m_Cap = Cap == 0.0 ? m_Options.m_MaxWindow : std::max(1.0, Cap);
  m_Limit = std::min(m_Limit, m_Cap);
}

void EndpointWindow::restart() {
  m_Limit = std::min(m_Options.m_InitialWindow, m_Cap);
  m_SlowStart = true;
  m_Mean = 0.0;
  m_Best = 0.0;
}

void EndpointWindow::noteEnded() {
  base::checkInvariant(m_Outstanding > 0,
                       "a call ended at an endpoint that had none");
  --m_Outstanding;
}

void EndpointWindow::noteLatency(double SecondsPerWork) {
  ++m_EndedSinceShrink;
  if (m_Mean == 0.0) {
    m_Mean = SecondsPerWork;
    m_Best = SecondsPerWork;
  }
  m_Mean += m_Options.m_LatencyWeight * (SecondsPerWork - m_Mean);
  m_Best = std::min(m_Best * (1.0 + m_Options.m_BestDrift), m_Mean);
  if (m_Mean > m_Options.m_SlowFactor * m_Best) {
    shrink();
    return;
  }
  // Only a window that is in use says anything about a larger one.
  if (m_Outstanding + 1 < m_Limit / 2)
    return;
  m_Limit += m_SlowStart ? 1.0 : 1.0 / m_Limit;
  m_Limit = std::min(m_Limit, m_Cap);
}

void EndpointWindow::noteFailure() {
  ++m_EndedSinceShrink;
  shrink();
}

void EndpointWindow::shrink() {
  m_SlowStart = false;
  // The answers of one window tell of the same congestion: shrink once.
  if (m_EndedSinceShrink < allowed())
    return;
  m_EndedSinceShrink = 0;
  m_Limit = std::max(1.0, m_Limit * m_Options.m_Shrink);
}

} // namespace psp::schedule
