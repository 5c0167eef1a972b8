#include "limits/Lenders.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// When an estimate is older than this, a request may check it although the
/// estimated level is too low.
constexpr base::Duration ProbeInterval = base::milliseconds(20);

/// A smaller loan counts as a failure and doesn't reset the pause.
constexpr MicroTokens MinUsefulLoan = OneToken / 4;

} // namespace

Lenders::Lenders(std::size_t DataCentres, std::size_t OwnPosition,
                 BackOff PauseRange, base::TimePoint Start)
    : m_OwnPosition(OwnPosition), m_PauseRange(PauseRange),
      m_Estimates(DataCentres,
                  LenderEstimate{.m_Level = std::nullopt,
                                 .m_UpdatedAt = Start,
                                 .m_NotBefore = Start,
                                 .m_NextPause = PauseRange.m_Initial,
                                 .m_Redirected = false}) {}

MicroTokens Lenders::levelAt(const LenderEstimate &Estimate,
                             const Slice &OwnSlice, base::TimePoint Now) const {
  if (!Estimate.m_Level)
    return OwnSlice.m_Burst;
  const double Seconds =
      std::chrono::duration<double>(Now - Estimate.m_UpdatedAt).count();
  const double Accrued =
      Seconds * static_cast<double>(OwnSlice.m_RatePerSecond);
  if (Accrued >= static_cast<double>(OwnSlice.m_Burst))
    return OwnSlice.m_Burst;
  return std::min(OwnSlice.m_Burst,
                  *Estimate.m_Level + static_cast<MicroTokens>(Accrued));
}

std::optional<std::size_t> Lenders::chooseLender(MicroTokens Missing,
                                                 const Slice &OwnSlice,
                                                 base::TimePoint Now) const {
  if (estimatedTotal(OwnSlice, Now, Now) < Missing)
    return leastRecentlyUpdated(Now);
  return fullestLender(1, OwnSlice, Now);
}

std::optional<std::size_t>
Lenders::leastRecentlyUpdated(base::TimePoint Now) const {
  std::optional<std::size_t> Oldest;
  for (std::size_t Lender = 0; Lender < m_Estimates.size(); ++Lender) {
    const LenderEstimate &Estimate = m_Estimates[Lender];
    if (Lender == m_OwnPosition || Now < Estimate.m_NotBefore ||
        Now < Estimate.m_UpdatedAt + ProbeInterval)
      continue;
    if (!Oldest || Estimate.m_UpdatedAt < m_Estimates[*Oldest].m_UpdatedAt)
      Oldest = Lender;
  }
  return Oldest;
}

std::optional<std::size_t> Lenders::fullestLender(MicroTokens MinLevel,
                                                  const Slice &OwnSlice,
                                                  base::TimePoint Now) const {
  std::optional<std::size_t> BestLender;
  MicroTokens BestLevel = MinLevel - 1;
  for (std::size_t Lender = 0; Lender < m_Estimates.size(); ++Lender) {
    if (Lender == m_OwnPosition || Now < m_Estimates[Lender].m_NotBefore)
      continue;
    const MicroTokens Level = levelAt(m_Estimates[Lender], OwnSlice, Now);
    if (Level > BestLevel) {
      BestLevel = Level;
      BestLender = Lender;
    }
  }
  return BestLender;
}

MicroTokens Lenders::estimatedTotal(const Slice &OwnSlice, base::TimePoint Now,
                                    base::TimePoint When) const {
  MicroTokens Total = 0;
  for (std::size_t Lender = 0; Lender < m_Estimates.size(); ++Lender)
    if (Lender != m_OwnPosition && Now >= m_Estimates[Lender].m_NotBefore)
      Total += levelAt(m_Estimates[Lender], OwnSlice, When);
  return Total;
}

void Lenders::onReply(std::size_t Lender, MicroTokens Lent,
                      MicroTokens LenderLevel, base::TimePoint Now) {
  if (Lent < MinUsefulLoan) {
    onFailure(Lender, Now);
    m_Estimates[Lender].m_Level = LenderLevel;
    return;
  }
  m_Estimates[Lender] = {.m_Level = LenderLevel,
                         .m_UpdatedAt = Now,
                         .m_NotBefore = Now,
                         .m_NextPause = m_PauseRange.m_Initial,
                         .m_Redirected = false};
}

void Lenders::onNotHolder(std::size_t Lender, base::TimePoint Now) {
  LenderEstimate &Estimate = m_Estimates[Lender];
  Estimate.m_NotBefore =
      Estimate.m_Redirected ? Now + Estimate.m_NextPause : Now;
  if (Estimate.m_Redirected)
    Estimate.m_NextPause =
        std::min(2 * Estimate.m_NextPause, m_PauseRange.m_Max);
  Estimate.m_Redirected = true;
}

bool Lenders::mayLendLater(MicroTokens Missing, const Slice &OwnSlice,
                           base::TimePoint Now) const {
  MicroTokens Total = 0;
  for (std::size_t Lender = 0; Lender < m_Estimates.size(); ++Lender)
    if (Lender != m_OwnPosition)
      Total += m_Estimates[Lender].m_NotBefore > Now
                   ? m_Estimates[Lender].m_Level.value_or(OwnSlice.m_Burst)
                   : levelAt(m_Estimates[Lender], OwnSlice, Now);
  return Total >= Missing;
}

void Lenders::onFailure(std::size_t Lender, base::TimePoint Now) {
  LenderEstimate &Estimate = m_Estimates[Lender];
  Estimate.m_Level = 0;
  Estimate.m_UpdatedAt = Now;
  Estimate.m_NotBefore = Now + Estimate.m_NextPause;
  Estimate.m_NextPause = std::min(2 * Estimate.m_NextPause, m_PauseRange.m_Max);
}

} // namespace psp::limits
