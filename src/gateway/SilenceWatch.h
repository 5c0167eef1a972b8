/// \file
/// Decides when an engine that should be answering is taken as out of reach.

#ifndef PSP_GATEWAY_SILENCEWATCH_H
#define PSP_GATEWAY_SILENCEWATCH_H

#include "base/Time.h"

namespace psp::gateway {

struct SilenceWatchOptions {
  /// Engines send something this often while they run anything: five times the
  /// longest pause that callers of a stream accept, so that a slow engine is
  /// none that is out of reach.
  base::Duration m_Limit = base::milliseconds(1000);
  /// How often the watch looks.
  base::Duration m_Interval = base::milliseconds(200);
  /// A look that comes this much too late tells that this process stood still
  /// itself; bytes may be waiting that it hasn't read.
  base::Duration m_Lateness = base::milliseconds(150);
};

/// Load pattern: a data centre is cut off while streams from its engines run.
/// Nothing tells it, and callers wait for seconds before they begin the turn
/// again elsewhere. One call's silence may be a queue, so it takes the silence
/// of all calls of this instance to the engine.
class SilenceWatch {
public:
  explicit SilenceWatch(base::TimePoint Now, SilenceWatchOptions Options = {})
      : m_Options(Options), m_Since(Now),
        m_NextLook(Now + m_Options.m_Interval) {}

  base::TimePoint nextLook() const { return m_NextLook; }
  /// Whether the engine is out of reach. \p HeardAt: when this instance heard
  /// from it last, on any connection.
  bool look(base::TimePoint HeardAt, base::TimePoint Now);
  /// Nothing was read for another reason until now.
  void excuse(base::TimePoint Now) { m_Since = Now; }

private:
  SilenceWatchOptions m_Options;
  base::TimePoint m_Since; ///< Silence before this doesn't count.
  base::TimePoint m_NextLook;
};

} // namespace psp::gateway

#endif
