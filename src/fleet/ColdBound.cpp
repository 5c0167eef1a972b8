#include "fleet/ColdBound.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace psp::fleet {

namespace {

/// Of the bound: of each of two granting nodes, and of all instances together.
/// The rest stays unused, for instances that the agreed number lacks.
constexpr double GranterShare = 0.35;
constexpr double InstancesShare = 0.25;
/// Instances are chosen by hash if all of them would be too many. Their number
/// then varies around this share of the instances' part, far below it.
constexpr double ExpectedShare = 0.25;
constexpr double HashRange = 18446744073709551616.0; // 2^64

std::size_t wholePart(double Value) {
  return static_cast<std::size_t>(std::max(0.0, std::floor(Value)));
}

} // namespace

ColdBound::ColdBound(double RatePerSecond, double Overshoot, double Slack)
    : m_PerSecond(wholePart(RatePerSecond * Overshoot + Slack)) {}

std::size_t ColdBound::granterPart() const {
  return wholePart(GranterShare * static_cast<double>(m_PerSecond));
}

std::size_t ColdBound::instancePart(const std::string &Name,
                                    std::uint32_t Instances,
                                    const std::string &Endpoint,
                                    std::uint64_t Born) const {
  const std::size_t All =
      wholePart(InstancesShare * static_cast<double>(m_PerSecond));
  if (Instances == 0)
    return 0;
  if (Instances <= All)
    return All / Instances;
  const double Expected = ExpectedShare * static_cast<double>(All);
  if (Expected < 1)
    return 0;
  const std::uint64_t Hash =
      base::stableHash(Endpoint + '/' + std::to_string(Born) + '/' + Name);
  return static_cast<double>(Hash) / HashRange < Expected / Instances ? 1 : 0;
}

bool ColdWindow::hasRoom(const std::string &Endpoint, std::uint64_t Born,
                         std::size_t Most, base::TimePoint Now) const {
  const auto It = m_Taken.find(Endpoint);
  if (It == m_Taken.end() || It->second.m_Born != Born)
    return Most > 0;
  return static_cast<std::size_t>(
             std::ranges::count_if(It->second.m_At, [&](base::TimePoint At) {
               return Now - At < m_Length;
             })) < Most;
}

bool ColdWindow::take(const std::string &Endpoint, std::uint64_t Born,
                      std::size_t Most, base::TimePoint Now) {
  if (!hasRoom(Endpoint, Born, Most, Now))
    return false;
  Taken &Entry = m_Taken[Endpoint];
  if (Entry.m_Born != Born)
    Entry = {.m_Born = Born, .m_At = {}};
  std::erase_if(Entry.m_At,
                [&](base::TimePoint At) { return Now - At >= m_Length; });
  Entry.m_At.push_back(Now);
  return true;
}

void ColdWindow::expire(base::TimePoint Now) {
  std::erase_if(m_Taken, [&](const auto &Entry) {
    return Entry.second.m_At.empty() ||
           Now - Entry.second.m_At.back() >= m_Length;
  });
}

} // namespace psp::fleet
