/// \file
/// Decides when the silence of an engine that should be responding calls for a
/// probe.

#ifndef PSP_GATEWAY_INACTIVITYMONITOR_H
#define PSP_GATEWAY_INACTIVITYMONITOR_H

#include "base/Time.h"

namespace psp::gateway {

struct InactivityMonitorOptions {
  /// Engines send something at least this often while they execute anything,
  /// unless they pause. It is five times the longest pause that callers of a
  /// stream accept.
  base::Duration m_InactivityTimeout = base::milliseconds(1000);
  /// Time between two checks.
  base::Duration m_CheckInterval = base::milliseconds(200);
  /// A check that is later than this means that this process itself was stalled
  /// and may not have read bytes that have arrived.
  base::Duration m_MaxCheckDelay = base::milliseconds(150);
};

/// Detects engines that have stopped sending. Load pattern: a data centre is
/// cut off while streams from its engines are active. No error reports it, and
/// callers would wait for seconds before they start the turn again elsewhere.
/// A sound engine may pause for as long, so silence alone ends no call: whoever
/// asks has to probe the engine. One idle call may just be queued at the
/// engine, so the engine counts as silent only if all calls from this instance
/// to it are idle.
class InactivityMonitor {
public:
  explicit InactivityMonitor(base::TimePoint Now,
                             InactivityMonitorOptions Options = {})
      : m_Options(Options), m_WindowStart(Now),
        m_NextCheckAt(Now + m_Options.m_CheckInterval) {}

  base::TimePoint nextCheckAt() const { return m_NextCheckAt; }
  /// Whether the engine should be probed. \p LastReceivedAt: when this instance
  /// last received bytes from it, on any connection.
  bool check(base::TimePoint LastReceivedAt, base::TimePoint Now);
  /// How long the engine has been silent.
  base::Duration silentFor(base::TimePoint LastReceivedAt,
                           base::TimePoint Now) const;
  /// Restarts the inactivity timeout, when nothing was read until \p Now for a
  /// reason other than the engine.
  void restart(base::TimePoint Now) { m_WindowStart = Now; }

private:
  InactivityMonitorOptions m_Options;
  base::TimePoint m_WindowStart; ///< Inactivity before this is ignored.
  base::TimePoint m_NextCheckAt;
};

} // namespace psp::gateway

#endif
