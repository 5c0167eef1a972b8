#include "limits/Lenders.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// A belief that is older than this may be checked although it says that the
/// lender has too little.
constexpr base::Duration ProbeInterval = base::milliseconds(20);

/// A loan of less than this does not shorten the pause.
constexpr MicroTokens WorthwhileLoan = OneToken / 4;

} // namespace

Lenders::Lenders(std::size_t DataCentres, std::size_t OwnPosition,
                 BackOff Pause, base::TimePoint Start)
    : m_OwnPosition(OwnPosition), m_Pause(Pause),
      m_Beliefs(DataCentres, Belief{.m_Level = std::nullopt,
                                    .m_At = Start,
                                    .m_NotBefore = Start,
                                    .m_Pause = Pause.m_First,
                                    .m_Redirected = false}) {}

MicroTokens Lenders::estimate(const Belief &Lender, const Slice &Share,
                              base::TimePoint Now) const {
  if (!Lender.m_Level)
    return Share.m_Burst;
  const double Seconds =
      std::chrono::duration<double>(Now - Lender.m_At).count();
  const double Accrued = Seconds * static_cast<double>(Share.m_RatePerSecond);
  if (Accrued >= static_cast<double>(Share.m_Burst))
    return Share.m_Burst;
  return std::min(Share.m_Burst,
                  *Lender.m_Level + static_cast<MicroTokens>(Accrued));
}

std::optional<std::size_t> Lenders::choose(MicroTokens Missing,
                                           const Slice &Share,
                                           base::TimePoint Now) const {
  if (expected(Share, Now, Now) < Missing)
    return longestUnheard(Now);
  return richest(1, Share, Now);
}

std::optional<std::size_t> Lenders::longestUnheard(base::TimePoint Now) const {
  std::optional<std::size_t> Oldest;
  for (std::size_t Each = 0; Each < m_Beliefs.size(); ++Each) {
    const Belief &Current = m_Beliefs[Each];
    if (Each == m_OwnPosition || Now < Current.m_NotBefore ||
        Now < Current.m_At + ProbeInterval)
      continue;
    if (!Oldest || Current.m_At < m_Beliefs[*Oldest].m_At)
      Oldest = Each;
  }
  return Oldest;
}

std::optional<std::size_t> Lenders::richest(MicroTokens Least,
                                            const Slice &Share,
                                            base::TimePoint Now) const {
  std::optional<std::size_t> Best;
  MicroTokens Most = Least - 1;
  for (std::size_t Each = 0; Each < m_Beliefs.size(); ++Each) {
    if (Each == m_OwnPosition || Now < m_Beliefs[Each].m_NotBefore)
      continue;
    const MicroTokens Level = estimate(m_Beliefs[Each], Share, Now);
    if (Level > Most) {
      Most = Level;
      Best = Each;
    }
  }
  return Best;
}

MicroTokens Lenders::expected(const Slice &Share, base::TimePoint Now,
                              base::TimePoint When) const {
  MicroTokens Total = 0;
  for (std::size_t Each = 0; Each < m_Beliefs.size(); ++Each)
    if (Each != m_OwnPosition && Now >= m_Beliefs[Each].m_NotBefore)
      Total += estimate(m_Beliefs[Each], Share, When);
  return Total;
}

void Lenders::onReply(std::size_t Lender, MicroTokens Lent, MicroTokens Left,
                      base::TimePoint Now) {
  if (Lent < WorthwhileLoan) {
    onFailure(Lender, Now);
    m_Beliefs[Lender].m_Level = Left;
    return;
  }
  m_Beliefs[Lender] = {.m_Level = Left,
                       .m_At = Now,
                       .m_NotBefore = Now,
                       .m_Pause = m_Pause.m_First,
                       .m_Redirected = false};
}

void Lenders::onNotHolder(std::size_t Lender, base::TimePoint Now) {
  Belief &Moved = m_Beliefs[Lender];
  Moved.m_NotBefore = Moved.m_Redirected ? Now + Moved.m_Pause : Now;
  if (Moved.m_Redirected)
    Moved.m_Pause = std::min(2 * Moved.m_Pause, m_Pause.m_Longest);
  Moved.m_Redirected = true;
}

bool Lenders::mayHelpLater(MicroTokens Missing, const Slice &Share,
                           base::TimePoint Now) const {
  MicroTokens Total = 0;
  for (std::size_t Each = 0; Each < m_Beliefs.size(); ++Each)
    if (Each != m_OwnPosition)
      Total += m_Beliefs[Each].m_NotBefore > Now
                   ? m_Beliefs[Each].m_Level.value_or(Share.m_Burst)
                   : estimate(m_Beliefs[Each], Share, Now);
  return Total >= Missing;
}

void Lenders::onFailure(std::size_t Lender, base::TimePoint Now) {
  Belief &Failed = m_Beliefs[Lender];
  Failed.m_Level = 0;
  Failed.m_At = Now;
  Failed.m_NotBefore = Now + Failed.m_Pause;
  Failed.m_Pause = std::min(2 * Failed.m_Pause, m_Pause.m_Longest);
}

} // namespace psp::limits
