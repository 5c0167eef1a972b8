#include "coordinator/ProgramDemand.h"

#include <algorithm>
#include <chrono>

namespace psp::coordinator {

namespace {

/// Weight of the newest program once this many are known: enough for a mean of
/// programs of which a few take several times the usual.
constexpr std::uint32_t MaxMeanPrograms = 50;
/// The mean of fewer programs tells nothing about a route.
constexpr std::uint32_t MinMeanPrograms = 5;
/// Further routes share the mean of all.
constexpr std::size_t MaxRoutes = 512;

} // namespace

void ProgramDemand::add(Mean &Learned, const Need &Taken) {
  Learned.m_Programs = std::min(Learned.m_Programs + 1, MaxMeanPrograms);
  const double Weight = 1.0 / Learned.m_Programs;
  Need &Mean = Learned.m_Need;
  Mean.m_Tokens += Weight * (Taken.m_Tokens - Mean.m_Tokens);
  Mean.m_Time += std::chrono::duration_cast<base::Duration>(
      Weight * (Taken.m_Time - Mean.m_Time));
}

void ProgramDemand::learn(const std::string &Route, const Need &Taken) {
  add(m_All, Taken);
  const auto It = m_Routes.find(Route);
  if (It != m_Routes.end())
    add(It->second, Taken);
  else if (m_Routes.size() < MaxRoutes)
    add(m_Routes[Route], Taken);
}

std::optional<ProgramDemand::Need>
ProgramDemand::expected(const std::string &Route) const {
  const auto It = m_Routes.find(Route);
  if (It != m_Routes.end() && It->second.m_Programs >= MinMeanPrograms)
    return It->second.m_Need;
  if (m_All.m_Programs >= MinMeanPrograms)
    return m_All.m_Need;
  return std::nullopt;
}

} // namespace psp::coordinator
