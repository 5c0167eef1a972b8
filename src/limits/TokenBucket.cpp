#include "limits/TokenBucket.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::limits {
namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

/// Accrual over longer gaps is cut off, to stay within 64 bits.
constexpr std::int64_t MaxGapSeconds = 1'000'000;

/// A rate above this could overflow the accrual of one gap.
constexpr MicroTokens MaxRate = 1'000'000 * OneToken;

constexpr base::Duration Never = base::seconds(3600);

} // namespace

TokenBucket::TokenBucket(Slice Share, base::TimePoint Start)
    : m_Slice(Share), m_AccruedAt(Start) {
  base::checkInvariant(Share.m_RatePerSecond >= 0 &&
                           Share.m_RatePerSecond <= MaxRate &&
                           Share.m_Burst >= 0,
                       "expected a slice with a rate from 0 to 1000000 a "
                       "second and a burst from 0");
}

MicroTokens TokenBucket::room() const {
  return std::max<MicroTokens>(0, m_Slice.m_Burst - m_Level - m_Held);
}

void TokenBucket::check() const {
  base::checkInvariant(m_Level >= 0 && m_Held >= 0,
                       "expected no negative amount in a token bucket");
  base::checkInvariant(m_Level == 0 || m_Level + m_Held <= m_Slice.m_Burst,
                       "expected level and held tokens within the burst slice");
}

void TokenBucket::setSlice(Slice Share, base::TimePoint Now) {
  accrue(Now);
  m_Slice = Share;
  m_Remainder = 0;
  const MicroTokens Free = std::max<MicroTokens>(0, m_Slice.m_Burst - m_Held);
  m_Level = std::min(m_Level, Free);
  check();
}

void TokenBucket::accrue(base::TimePoint Now) {
  const std::int64_t Gap = (Now - m_AccruedAt).count();
  if (Gap <= 0)
    return;
  m_AccruedAt = Now;
  const std::int64_t Whole = std::min(Gap / MicrosPerSecond, MaxGapSeconds);
  const std::int64_t Fraction =
      m_Slice.m_RatePerSecond * (Gap % MicrosPerSecond) + m_Remainder;
  const MicroTokens Accrued =
      m_Slice.m_RatePerSecond * Whole + Fraction / MicrosPerSecond;
  m_Remainder = Fraction % MicrosPerSecond;
  m_Level += std::min(Accrued, room());
  check();
}

void TokenBucket::use(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Level -= Amount;
  check();
}

void TokenBucket::hold(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Level -= Amount;
  m_Held += Amount;
  check();
}

void TokenBucket::settle(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Held -= Amount;
  check();
}

void TokenBucket::restore(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Held -= Amount;
  m_Level += std::min(Amount, room());
  check();
}

MicroTokens TokenBucket::absorb(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  const MicroTokens Taken = std::min(Amount, room());
  m_Level += Taken;
  check();
  return Taken;
}

base::Duration TokenBucket::timeUntil(MicroTokens Wanted) const {
  const MicroTokens Missing = Wanted - m_Level;
  if (Missing <= 0)
    return base::Duration(0);
  if (m_Slice.m_RatePerSecond == 0)
    return Never;
  const double Seconds = static_cast<double>(Missing) /
                         static_cast<double>(m_Slice.m_RatePerSecond);
  if (Seconds >= static_cast<double>(Never.count()) / MicrosPerSecond)
    return Never;
  return base::Duration(static_cast<std::int64_t>(Seconds * MicrosPerSecond) +
                        1);
}

} // namespace psp::limits
