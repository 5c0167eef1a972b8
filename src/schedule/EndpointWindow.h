/// \file
/// How many calls this instance keeps outstanding at one endpoint. Engines
/// admit calls as they come and know no priority, so what exceeds the window
/// waits here, where it can be put in order.
///
/// The window grows by one with each answer at first, and by one with each
/// window of answers later; it shrinks when answers take much longer than
/// they did at best. It never exceeds this instance's share of the
/// endpoint's slots.

#ifndef PSP_SCHEDULE_ENDPOINTWINDOW_H
#define PSP_SCHEDULE_ENDPOINTWINDOW_H

#include "base/Time.h"

#include <cstdint>

namespace psp::schedule {

struct WindowOptions {
  double m_InitialWindow = 2.0;
  double m_MaxWindow = 256.0;   ///< Where the endpoint announces no slots.
  double m_Shrink = 0.8;        ///< Factor when answers are slow.
  double m_SlowFactor = 3.0;    ///< Slow: so many times the best latency.
  double m_LatencyWeight = 0.2; ///< Of the newest answer in the mean.
  double m_BestDrift = 0.002;   ///< The best latency rises by this an answer.
};

class EndpointWindow {
public:
  explicit EndpointWindow(const WindowOptions &Options);

  /// Bounds the window to \p Cap calls; zero: to m_MaxWindow.
  void setCap(double Cap);

  /// Begins again, as for an endpoint that joins cold.
  void restart();

  void noteSent() { ++m_Outstanding; }

  /// A call ended; its slot is free.
  void noteEnded();

  /// A call ended well after \p SecondsPerWork for each unit of its work.
  void noteLatency(double SecondsPerWork);

  /// A call timed out or failed.
  void noteFailure();

  /// At least one call.
  std::uint32_t allowed() const {
    return m_Limit < 1.0 ? 1U : static_cast<std::uint32_t>(m_Limit);
  }
  std::uint32_t outstanding() const { return m_Outstanding; }

private:
  void shrink();

  // What each routing decision reads comes first.
  double m_Limit;
  double m_Cap;
  bool m_SlowStart = true;
  std::uint32_t m_Outstanding = 0;
  std::uint32_t m_EndedSinceShrink = 0;
  double m_Mean = 0.0; ///< Seconds for each unit of work; zero: none yet.
  double m_Best = 0.0;
  WindowOptions m_Options;
};

} // namespace psp::schedule

#endif
