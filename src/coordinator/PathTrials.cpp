#include "coordinator/PathTrials.h"

#include <algorithm>

namespace psp::coordinator {

void PathTrials::onHeld(const std::string &Path, base::TimePoint Now) {
  if (m_Paths.contains(Path))
    return;
  if (m_Paths.size() >= m_Options.m_MaxPaths)
    m_Paths.erase(std::ranges::min_element(
        m_Paths, {}, [](const auto &Entry) { return Entry.second.m_NextAt; }));
  m_Paths[Path] = {.m_Pause = m_Options.m_MinPause,
                   .m_NextAt = Now + m_Options.m_MinPause};
}

void PathTrials::onCrash(const std::string &Path, base::TimePoint Now) {
  onHeld(Path, Now);
  TrialState &State = m_Paths.at(Path);
  State.m_Pause =
      std::min<base::Duration>(2 * State.m_Pause, m_Options.m_MaxPause);
  State.m_NextAt = Now + State.m_Pause;
}

base::Duration PathTrials::take(const std::string &Path, base::TimePoint Now) {
  onHeld(Path, Now);
  TrialState &State = m_Paths.at(Path);
  if (Now < State.m_NextAt)
    return std::chrono::duration_cast<base::Duration>(State.m_NextAt - Now);
  State.m_NextAt = Now + State.m_Pause;
  return base::Duration(0);
}

} // namespace psp::coordinator
