#include "limits/TokenBucket.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::limits {
namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

/// Accrual over a longer gap is cut off, so that it doesn't overflow 64 bits.
constexpr std::int64_t MaxGapSeconds = 1'000'000;

/// A higher rate could overflow the accrual over one gap.
constexpr MicroTokens MaxRatePerSecond = 1'000'000 * OneToken;

/// timeUntil() returns this when the level is never reached or is reached
/// later.
constexpr base::Duration MaxTimeUntil = base::seconds(3600);

} // namespace

TokenBucket::TokenBucket(Slice Initial, base::TimePoint Start)
    : m_Slice(Initial), m_AccruedAt(Start) {
  base::checkInvariant(
      Initial.m_RatePerSecond >= 0 &&
          Initial.m_RatePerSecond <= MaxRatePerSecond && Initial.m_Burst >= 0,
      "expected a slice with a rate from 0 to 1000000 tokens per "
      "second and a burst of 0 or more");
}

MicroTokens TokenBucket::headroom() const {
  return std::max<MicroTokens>(0, m_Slice.m_Burst - m_Level - m_Outstanding);
}

void TokenBucket::check() const {
  base::checkInvariant(m_Level >= 0 && m_Outstanding >= 0,
                       "expected level and outstanding tokens of a token "
                       "bucket to be 0 or more");
  base::checkInvariant(m_Level == 0 ||
                           m_Level + m_Outstanding <= m_Slice.m_Burst,
                       "expected level and outstanding tokens together within "
                       "the burst of the slice");
}

void TokenBucket::setSlice(Slice Next, base::TimePoint Now) {
  accrue(Now);
  m_Slice = Next;
  m_Remainder = 0;
  const MicroTokens Free =
      std::max<MicroTokens>(0, m_Slice.m_Burst - m_Outstanding);
  m_Level = std::min(m_Level, Free);
  check();
}

void TokenBucket::accrue(base::TimePoint Now) {
  const std::int64_t GapMicros = (Now - m_AccruedAt).count();
  if (GapMicros <= 0)
    return;
  m_AccruedAt = Now;
  const std::int64_t FullSeconds =
      std::min(GapMicros / MicrosPerSecond, MaxGapSeconds);
  const std::int64_t FractionMillionths =
      m_Slice.m_RatePerSecond * (GapMicros % MicrosPerSecond) + m_Remainder;
  const MicroTokens Accrued = m_Slice.m_RatePerSecond * FullSeconds +
                              FractionMillionths / MicrosPerSecond;
  m_Remainder = FractionMillionths % MicrosPerSecond;
  m_Level += std::min(Accrued, headroom());
  check();
}

void TokenBucket::consume(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Level -= Amount;
  check();
}

void TokenBucket::transferOut(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Level -= Amount;
  m_Outstanding += Amount;
  check();
}

void TokenBucket::settle(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Outstanding -= Amount;
  check();
}

void TokenBucket::restore(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  m_Outstanding -= Amount;
  m_Level += std::min(Amount, headroom());
  check();
}

MicroTokens TokenBucket::absorb(MicroTokens Amount, base::TimePoint Now) {
  accrue(Now);
  const MicroTokens Taken = std::min(Amount, headroom());
  m_Level += Taken;
  check();
  return Taken;
}

base::Duration TokenBucket::timeUntil(MicroTokens Wanted) const {
  const MicroTokens Missing = Wanted - m_Level;
  if (Missing <= 0)
    return base::Duration(0);
  if (m_Slice.m_RatePerSecond == 0)
    return MaxTimeUntil;
  const double Seconds = static_cast<double>(Missing) /
                         static_cast<double>(m_Slice.m_RatePerSecond);
  if (Seconds >= static_cast<double>(MaxTimeUntil.count()) / MicrosPerSecond)
    return MaxTimeUntil;
  return base::Duration(static_cast<std::int64_t>(Seconds * MicrosPerSecond) +
                        1);
}

} // namespace psp::limits
