#include "fleet/RankOrder.h"

#include <algorithm>

namespace psp::fleet {

namespace {

/// A priority competes for this long after its last request.
constexpr base::Duration CompetitionTime = base::seconds(1);
/// Priorities beyond this number aren't remembered.
constexpr std::size_t MaxPriorities = 64;

std::string classOf(const RankOrder::Caller &Asking) {
  return std::to_string(Asking.m_Priority) + ' ' + Asking.m_Route;
}

} // namespace

void RankOrder::onAsked(const Caller &Asking, base::TimePoint Now) {
  m_Classes.onAsked(classOf(Asking), Now);
  m_Organisations.onAsked(Asking.m_Organisation, Now);
  if (m_AskedAt.size() >= MaxPriorities)
    std::erase_if(m_AskedAt, [&](const auto &Entry) {
      return Now - Entry.second > CompetitionTime;
    });
  if (m_AskedAt.size() < MaxPriorities || m_AskedAt.contains(Asking.m_Priority))
    m_AskedAt[Asking.m_Priority] = Now;
}

void RankOrder::onServed(const Caller &Served, base::TimePoint Now) {
  m_Classes.onServed(classOf(Served), Now);
  m_Organisations.onServed(Served.m_Organisation, Now);
}

std::uint32_t RankOrder::highestRank(base::TimePoint Now) const {
  const auto Recent = std::ranges::find_if(m_AskedAt, [&](const auto &Entry) {
    return Now - Entry.second <= CompetitionTime;
  });
  return Recent == m_AskedAt.end() ? 0 : Recent->first;
}

std::uint64_t RankOrder::rankOf(const Caller &Asking,
                                base::TimePoint Now) const {
  const std::uint64_t Ordinary = std::uint64_t{Asking.m_Priority} + 1;
  if (Asking.m_Priority <= highestRank(Now))
    return Ordinary;
  const bool Starves = m_Classes.isBelowFloor(classOf(Asking), Now) ||
                       m_Organisations.isBelowFloor(Asking.m_Organisation, Now);
  return Starves ? 0 : Ordinary;
}

} // namespace psp::fleet
