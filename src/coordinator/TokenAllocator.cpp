#include "coordinator/TokenAllocator.h"

#include <algorithm>
#include <cmath>

namespace psp::coordinator {

namespace {

/// Number of tokens reserved for programs that have begun: the calls of one
/// program, but no more than this share of the bucket.
constexpr double CallsPerProgram = 12;
constexpr double ReservedShare = 0.6;

} // namespace

std::uint32_t TokenAllocator::allocate(const fleet::OrganisationSpec &Requester,
                                       std::uint32_t Wanted, bool NewProgram,
                                       base::TimePoint Now) {
  const auto [It, IsNew] = m_Buckets.try_emplace(Requester.m_Name);
  Bucket &Refilled = It->second;
  if (IsNew)
    Refilled.m_FilledAt = m_LeaderSince;
  const double UndividedShare = 1 - Requester.dividedShare();
  const double Burst = UndividedShare * Requester.m_Burst;
  const double Seconds =
      std::chrono::duration<double>(Now - Refilled.m_FilledAt).count();
  Refilled.m_FilledAt = Now;
  Refilled.m_Tokens = std::min(
      std::max(Burst, 1.0),
      Refilled.m_Tokens + Seconds * UndividedShare * Requester.m_RatePerSecond);
  const double Reserved =
      NewProgram ? std::min(CallsPerProgram, ReservedShare * Burst) : 0;
  const double Available = std::max(0.0, Refilled.m_Tokens - Reserved);
  const auto Allocated = static_cast<std::uint32_t>(
      std::min<double>(Wanted, std::floor(Available)));
  Refilled.m_Tokens -= Allocated;
  return Allocated;
}

std::uint64_t TokenAllocator::left(const std::string &Organisation) const {
  const auto It = m_Buckets.find(Organisation);
  return It == m_Buckets.end()
             ? 0
             : static_cast<std::uint64_t>(It->second.m_Tokens);
}

void TokenAllocator::reset(base::TimePoint Now) {
  m_Buckets.clear();
  m_LeaderSince = Now;
}

} // namespace psp::coordinator
