/// \file
/// Whether a directory holds every endpoint that serves.

#ifndef PSP_FLEET_DIRECTORYCOVERAGE_H
#define PSP_FLEET_DIRECTORYCOVERAGE_H

#include "base/Time.h"

#include <optional>

namespace psp::fleet {

struct DirectoryCoverageOptions {
  /// Every endpoint that serves announces itself within this time: three
  /// announcement intervals.
  base::Duration m_ListeningTime = base::milliseconds(3600);
  /// Announcements may have been missed if onListening() wasn't called for
  /// longer than this.
  base::Duration m_MaxGap = base::milliseconds(1500);
};

/// Load pattern: all control nodes start at once, and callers come back before
/// every endpoint has announced itself. Until then a missing endpoint says
/// nothing.
class DirectoryCoverage {
public:
  explicit DirectoryCoverage(DirectoryCoverageOptions Options = {})
      : m_Options(Options) {}

  /// The process accepts announcements at \p Now.
  void onListening(base::TimePoint Now);
  /// Whether an endpoint that the directory lacks at \p Now doesn't serve.
  bool isComplete(base::TimePoint Now) const;

private:
  DirectoryCoverageOptions m_Options;
  std::optional<base::TimePoint> m_ListeningSince;
  base::TimePoint m_LastAt; ///< Of the last call of onListening().
};

} // namespace psp::fleet

#endif
