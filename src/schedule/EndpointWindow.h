/// \file
/// The concurrency window of this instance at one endpoint: the maximum number
/// of outstanding calls. Engines admit calls in order of arrival and have no
/// priorities, so calls beyond the window wait here, where they can be ordered.
///
/// At first the window grows by one with each answer (slow start), later by one
/// with each window of answers. It shrinks when answers take much longer than
/// the lowest latency. It never exceeds this instance's share of the endpoint's
/// slots.

#ifndef PSP_SCHEDULE_ENDPOINTWINDOW_H
#define PSP_SCHEDULE_ENDPOINTWINDOW_H

#include "base/Time.h"

#include <cstdint>

namespace psp::schedule {

struct WindowOptions {
  double m_InitialWindow = 2.0;
  double m_MaxWindow = 256.0; ///< Used if the endpoint announces no slots.
  /// Multiplies the window when answers are slow.
  double m_DecreaseFactor = 0.8;
  /// Answers are slow above this multiple of the minimum latency.
  double m_SlowLatencyFactor = 3.0;
  /// Weight of the newest answer in the mean.
  double m_LatencySampleWeight = 0.2;
  /// Relative increase of the minimum latency with each answer.
  double m_MinLatencyDrift = 0.002;
};

class EndpointWindow {
public:
  explicit EndpointWindow(const WindowOptions &Options);

  /// Limits the window to \p Cap calls, or to m_MaxWindow if \p Cap is zero.
  void setCap(double Cap);

  /// Returns to the initial window and slow start, as for an endpoint that
  /// joins cold.
  void restart();

  void noteSent() { ++m_Outstanding; }

  /// A call ended and its slot is free.
  void noteEnded();

  /// A call succeeded and took \p SecondsPerWork for each unit of its work.
  void noteLatency(double SecondsPerWork);

  /// A call timed out or failed.
  void noteFailure();

  /// Size of the window; at least one call.
  std::uint32_t allowed() const {
    return m_Limit < 1.0 ? 1U : static_cast<std::uint32_t>(m_Limit);
  }
  std::uint32_t outstanding() const { return m_Outstanding; }

private:
  void decrease();

  // Members that each routing decision reads come first, next to each other in
  // memory.
  double m_Limit;
  double m_Cap;
  bool m_SlowStart = true;
  std::uint32_t m_Outstanding = 0;
  std::uint32_t m_EndedSinceDecrease = 0;
  /// Seconds per unit of work; zero before the first answer.
  double m_MeanLatency = 0.0;
  double m_MinLatency = 0.0; ///< Seconds per unit of work.
  WindowOptions m_Options;
};

} // namespace psp::schedule

#endif
