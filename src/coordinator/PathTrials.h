/// \file
/// When a turn that continues a retained one may be sent although its path is
/// held.

#ifndef PSP_COORDINATOR_PATHTRIALS_H
#define PSP_COORDINATOR_PATHTRIALS_H

#include "base/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace psp::coordinator {

struct PathTrialsOptions {
  /// From the hold or a trial to the next trial. A trial that succeeds releases
  /// the path before.
  base::Duration m_MinPause = base::seconds(3);
  /// The pause doubles with each endpoint that ends on the path meanwhile, up
  /// to this.
  base::Duration m_MaxPause = base::seconds(30);
  /// If there are more paths, the one that was tried first is forgotten.
  std::size_t m_MaxPaths = 256;
};

/// Load pattern: one caller's requests with bodies of their own end endpoints,
/// so their path is held, and sound programs of the same organisation go on
/// with it. That a program's last turn on the path was answered is evidence for
/// it, but not enough to let all of them through: the request that ends
/// endpoints may continue a sound turn. Decides without I/O.
class PathTrials {
public:
  explicit PathTrials(PathTrialsOptions Options = {}) : m_Options(Options) {}

  /// The path is held now. Repeated calls change nothing.
  void onHeld(const std::string &Path, base::TimePoint Now);
  /// An endpoint has ended on a held path.
  void onCrash(const std::string &Path, base::TimePoint Now);
  void onReleased(const std::string &Path) { m_Paths.erase(Path); }
  /// Zero if a trial may begin now, which then has begun; otherwise the time
  /// until the next one may.
  base::Duration take(const std::string &Path, base::TimePoint Now);
  std::size_t size() const { return m_Paths.size(); }

private:
  struct TrialState {
    base::Duration m_Pause{0};
    base::TimePoint m_NextAt;
  };

  PathTrialsOptions m_Options;
  std::map<std::string, TrialState> m_Paths;
};

} // namespace psp::coordinator

#endif
