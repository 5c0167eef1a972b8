/// \file
/// How much work a second the endpoints of one service finish while calls
/// wait for them, which is their capacity.

#ifndef PSP_SCHEDULE_DRAINMETER_H
#define PSP_SCHEDULE_DRAINMETER_H

#include "base/Time.h"
#include "schedule/Calls.h"

namespace psp::schedule {

class DrainMeter {
public:
  /// \p Backlogged: calls are waiting.
  void noteFinished(Work Done, bool Backlogged, base::TimePoint Time) {
    roll(Time);
    m_Done += Done;
    m_Backlogged = m_Backlogged && Backlogged;
  }

  /// Work a second; zero while unknown.
  Work perSecond() const { return m_PerSecond; }

private:
  static constexpr base::Duration Interval = base::seconds(1);
  static constexpr double SampleWeight = 0.3;

  void roll(base::TimePoint Time) {
    const base::Duration Passed = Time - m_Start;
    if (Passed < Interval)
      return;
    const double Seconds = std::chrono::duration<double>(Passed).count();
    // An interval without a backlog, or a long silence, shows the demand and
    // not the capacity.
    if (m_Backlogged && Passed < 3 * Interval) {
      const Work Sample = m_Done / Seconds;
      m_PerSecond = m_PerSecond == 0.0
                        ? Sample
                        : m_PerSecond + SampleWeight * (Sample - m_PerSecond);
    }
    m_Start = Time;
    m_Done = 0.0;
    m_Backlogged = true;
  }

  base::TimePoint m_Start;
  Work m_Done = 0.0;
  bool m_Backlogged = false;
  Work m_PerSecond = 0.0;
};

} // namespace psp::schedule

#endif
