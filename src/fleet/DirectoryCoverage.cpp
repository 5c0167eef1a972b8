#include "fleet/DirectoryCoverage.h"

namespace psp::fleet {

void DirectoryCoverage::onListening(base::TimePoint Now) {
  if (!m_ListeningSince || Now - m_LastAt > m_Options.m_MaxGap)
    m_ListeningSince = Now;
  m_LastAt = Now;
}

bool DirectoryCoverage::isComplete(base::TimePoint Now) const {
  return m_ListeningSince && Now - m_LastAt <= m_Options.m_MaxGap &&
         Now - *m_ListeningSince >= m_Options.m_ListeningTime;
}

} // namespace psp::fleet
