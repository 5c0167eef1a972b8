/// \file
/// Estimates the throughput of one service: the work per second that its
/// endpoints finish while calls wait for them, which is their capacity.

#ifndef PSP_SCHEDULE_THROUGHPUTESTIMATOR_H
#define PSP_SCHEDULE_THROUGHPUTESTIMATOR_H

#include "base/Time.h"
#include "schedule/Calls.h"

namespace psp::schedule {

class ThroughputEstimator {
public:
  /// \p Backlogged is true while calls wait.
  void noteFinished(Work FinishedWork, bool Backlogged, base::TimePoint Time) {
    endInterval(Time);
    m_FinishedWork += FinishedWork;
    m_AlwaysBacklogged = m_AlwaysBacklogged && Backlogged;
  }

  /// Zero while unknown.
  Work workPerSecond() const { return m_WorkPerSecond; }

private:
  static constexpr base::Duration Interval = base::seconds(1);
  static constexpr double SampleWeight = 0.3;

  void endInterval(base::TimePoint Time) {
    const base::Duration Elapsed = Time - m_IntervalStart;
    if (Elapsed < Interval)
      return;
    const double ElapsedSeconds =
        std::chrono::duration<double>(Elapsed).count();
    // An interval without a backlog, or a long one without any finished call,
    // shows the demand and not the capacity.
    if (m_AlwaysBacklogged && Elapsed < 3 * Interval) {
      const Work Sample = m_FinishedWork / ElapsedSeconds;
      m_WorkPerSecond =
          m_WorkPerSecond == 0.0
              ? Sample
              : m_WorkPerSecond + SampleWeight * (Sample - m_WorkPerSecond);
    }
    m_IntervalStart = Time;
    m_FinishedWork = 0.0;
    m_AlwaysBacklogged = true;
  }

  base::TimePoint m_IntervalStart;
  Work m_FinishedWork = 0.0;
  bool m_AlwaysBacklogged = false;
  Work m_WorkPerSecond = 0.0;
};

} // namespace psp::schedule

#endif
