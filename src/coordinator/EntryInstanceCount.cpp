#include "coordinator/EntryInstanceCount.h"

#include <algorithm>

namespace psp::coordinator {

void EntryInstanceCount::update(std::uint32_t Connected, std::uint32_t Recorded,
                                base::TimePoint Now) {
  m_Peak = Recorded < m_Recorded ? Connected : std::max(m_Peak, Connected);
  m_Recorded = Recorded;
  if (Connected >= Recorded) {
    m_EnoughAt = Now;
    m_PeakSince = 0;
  } else {
    m_PeakSince = std::max(m_PeakSince, Connected);
  }
}

std::uint32_t EntryInstanceCount::divisor(base::TimePoint Now) const {
  const bool PeakCounts = m_Recorded > 0 || hasListened(Now);
  return std::max(m_Recorded, PeakCounts ? m_Peak : 0);
}

std::optional<std::uint32_t>
EntryInstanceCount::toRecord(base::TimePoint Now) const {
  if (Now - m_EnoughAt >= m_Options.m_LowerAfter && m_PeakSince > 0)
    return m_PeakSince;
  const std::uint32_t Known = divisor(Now);
  return Known > m_Recorded ? std::optional(Known) : std::nullopt;
}

} // namespace psp::coordinator
