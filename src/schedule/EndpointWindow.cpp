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
  m_MeanLatency = 0.0;
  m_MinLatency = 0.0;
}

void EndpointWindow::noteEnded() {
  base::checkInvariant(
      m_Outstanding > 0,
      "a call ended at an endpoint that has no outstanding call");
  --m_Outstanding;
}

void EndpointWindow::noteLatency(double SecondsPerWork) {
  ++m_EndedSinceDecrease;
  if (m_MeanLatency == 0.0) {
    m_MeanLatency = SecondsPerWork;
    m_MinLatency = SecondsPerWork;
  }
  m_MeanLatency +=
      m_Options.m_LatencySampleWeight * (SecondsPerWork - m_MeanLatency);
  m_MinLatency = std::min(m_MinLatency * (1.0 + m_Options.m_MinLatencyDrift),
                          m_MeanLatency);
  if (m_MeanLatency > m_Options.m_SlowLatencyFactor * m_MinLatency) {
    decrease();
    return;
  }
  // A larger window is justified only if the current one is in use.
  if (m_Outstanding + 1 < m_Limit / 2)
    return;
  m_Limit += m_SlowStart ? 1.0 : 1.0 / m_Limit;
  m_Limit = std::min(m_Limit, m_Cap);
}

void EndpointWindow::noteFailure() {
  ++m_EndedSinceDecrease;
  decrease();
}

void EndpointWindow::decrease() {
  m_SlowStart = false;
  // The answers of one window reflect the same congestion, so the window
  // shrinks only once for them.
  if (m_EndedSinceDecrease < allowed())
    return;
  m_EndedSinceDecrease = 0;
  m_Limit = std::max(1.0, m_Limit * m_Options.m_DecreaseFactor);
}

} // namespace psp::schedule
