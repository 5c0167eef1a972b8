#include "gateway/IdleLimit.h"

#include <algorithm>

namespace psp::gateway {

namespace {

/// Some round trips between data centres, or one lost packet that is sent
/// again.
constexpr base::Duration TransitTime = base::milliseconds(500);

} // namespace

void IdleLimit::change(base::Duration Limit, base::TimePoint Now) {
  if (Limit == m_Current)
    return;
  std::erase_if(m_Earlier, [&](const EarlierLimit &Earlier) {
    return Earlier.m_Limit <= std::max(m_Current, Limit) ||
           Earlier.m_ReplacedAt + Earlier.m_Limit <= Now;
  });
  if (m_Current > Limit)
    m_Earlier.push_back({.m_Limit = m_Current, .m_ReplacedAt = Now});
  m_Current = Limit;
}

base::TimePoint IdleLimit::deadline(base::TimePoint WaitingSince) const {
  base::TimePoint Deadline = WaitingSince + m_Current;
  for (const EarlierLimit &Earlier : m_Earlier)
    Deadline = std::max(Deadline, std::min(WaitingSince, Earlier.m_ReplacedAt) +
                                      Earlier.m_Limit);
  return Deadline;
}

std::chrono::seconds IdleLimit::statedTime(base::Duration Limit) {
  return std::max(
      std::chrono::seconds(0),
      std::chrono::floor<std::chrono::seconds>(Limit - TransitTime));
}

} // namespace psp::gateway
