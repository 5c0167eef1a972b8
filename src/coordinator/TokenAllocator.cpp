#include "coordinator/TokenAllocator.h"

#include <algorithm>
#include <cmath>

namespace psp::coordinator {

namespace {

/// Tokens kept for programs that have begun: the calls of one, but no more
/// than this share of the bucket.
constexpr double CallsOfAProgram = 12;
constexpr double KeptShare = 0.6;

} // namespace

std::uint32_t TokenAllocator::take(const fleet::OrganisationSpec &Asking,
                                   std::uint32_t Wanted, bool NewProgram,
                                   base::TimePoint Now) {
  const auto [Found, Fresh] = m_Buckets.try_emplace(Asking.m_Name);
  Bucket &Filled = Found->second;
  if (Fresh)
    Filled.m_FilledAt = m_Since;
  const double Part = 1 - Asking.dividedShare();
  const double Burst = Part * Asking.m_Burst;
  const double Seconds =
      std::chrono::duration<double>(Now - Filled.m_FilledAt).count();
  Filled.m_FilledAt = Now;
  Filled.m_Tokens =
      std::min(std::max(Burst, 1.0),
               Filled.m_Tokens + Seconds * Part * Asking.m_RatePerSecond);
  const double Kept =
      NewProgram ? std::min(CallsOfAProgram, KeptShare * Burst) : 0;
  const double Free = std::max(0.0, Filled.m_Tokens - Kept);
  const auto Given =
      static_cast<std::uint32_t>(std::min<double>(Wanted, std::floor(Free)));
  Filled.m_Tokens -= Given;
  return Given;
}

void TokenAllocator::reset(base::TimePoint Now) {
  m_Buckets.clear();
  m_Since = Now;
}

} // namespace psp::coordinator
