#include "fleet/ServedShares.h"

#include <chrono>
#include <cmath>

namespace psp::fleet {

namespace {

/// Counts fade by 1/e in this time: longer than a caller takes to come back
/// after a refusal, shorter than a burst.
constexpr double FadeSeconds = 2;
constexpr double FloorShare = 0.5;
/// Fewer requests tell nothing about a group.
constexpr double MinAsked = 3;
/// Groups beyond this number aren't counted, and so never below the floor.
constexpr std::size_t MaxGroups = 1024;
/// Groups that have asked less make room for others.
constexpr double ForgottenAsked = 0.1;

} // namespace

void ServedShares::fade(Counts &Faded, base::TimePoint Now) {
  // A waiting turn may be counted at the time of its request.
  if (Now <= Faded.m_At)
    return;
  const double Seconds =
      std::chrono::duration<double>(Now - Faded.m_At).count();
  Faded.m_At = Now;
  const double Factor = std::exp(-Seconds / FadeSeconds);
  Faded.m_Asked *= Factor;
  Faded.m_Served *= Factor;
}

ServedShares::Counts *ServedShares::find(const std::string &Group,
                                         base::TimePoint Now) {
  const auto It = m_Groups.find(Group);
  if (It != m_Groups.end())
    return &It->second;
  if (m_Groups.size() >= MaxGroups)
    std::erase_if(m_Groups, [&](const auto &Entry) {
      Counts Faded = Entry.second;
      fade(Faded, Now);
      return Faded.m_Asked < ForgottenAsked;
    });
  if (m_Groups.size() >= MaxGroups)
    return nullptr;
  return &m_Groups.try_emplace(Group, Counts{.m_At = Now}).first->second;
}

void ServedShares::onAsked(const std::string &Group, base::TimePoint Now) {
  fade(m_All, Now);
  ++m_All.m_Asked;
  if (Counts *Found = find(Group, Now)) {
    fade(*Found, Now);
    ++Found->m_Asked;
  }
}

void ServedShares::onServed(const std::string &Group, base::TimePoint Now) {
  fade(m_All, Now);
  ++m_All.m_Served;
  if (Counts *Found = find(Group, Now)) {
    fade(*Found, Now);
    ++Found->m_Served;
  }
}

bool ServedShares::isBelowFloor(const std::string &Group,
                                base::TimePoint Now) const {
  const auto It = m_Groups.find(Group);
  if (It == m_Groups.end())
    return false;
  Counts Asking = It->second;
  fade(Asking, Now);
  if (Asking.m_Asked < MinAsked)
    return false;
  // Both sides are multiplied by what was asked, which is above zero.
  return Asking.m_Served * m_All.m_Asked <
         FloorShare * m_All.m_Served * Asking.m_Asked;
}

} // namespace psp::fleet
