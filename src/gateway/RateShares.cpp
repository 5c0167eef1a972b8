#include "gateway/RateShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace psp::gateway {

RateDecision RateShares::take(const fleet::OrganisationSpec &Organisation,
                              bool NewProgram, base::TimePoint Now) {
  if (Organisation.m_RatePerSecond <= 0)
    return RateDecision::Pass;
  const auto [It, Inserted] = m_Buckets.try_emplace(Organisation.m_Name);
  Bucket &LocalBucket = It->second;
  const double Share =
      m_Instances == 0 ? 0 : Organisation.dividedShare() / m_Instances;
  if (Share > 0) {
    const double Burst = std::max(1.0, Organisation.m_Burst * Share);
    // A new instance has no record of what was sent in the last window, so it
    // starts with half of its burst.
    const bool Changed = LocalBucket.m_Rate != Organisation.m_RatePerSecond;
    if (Changed &&
        (Inserted || LocalBucket.m_Rate > Organisation.m_RatePerSecond))
      LocalBucket.m_Tokens =
          Inserted ? Burst / 2 : std::min(LocalBucket.m_Tokens, Burst);
    if (!std::exchange(LocalBucket.m_Refills, true))
      LocalBucket.m_RefilledAt = Now;
    const double Seconds =
        std::chrono::duration<double>(Now - LocalBucket.m_RefilledAt).count();
    LocalBucket.m_Tokens =
        std::min(Burst, LocalBucket.m_Tokens +
                            Seconds * Organisation.m_RatePerSecond * Share);
    LocalBucket.m_RefilledAt = Now;
  } else if (LocalBucket.m_Rate != Organisation.m_RatePerSecond ||
             Now - LocalBucket.m_RefilledAt > m_Options.m_TokenLifetime) {
    LocalBucket.m_Tokens = 0;
  }
  if (Share <= 0)
    LocalBucket.m_Refills = false;
  LocalBucket.m_Rate = Organisation.m_RatePerSecond;
  if (NewProgram && Share <= 0)
    return RateDecision::RequestTokens;
  const double Reserved =
      NewProgram ? m_Options.m_ReservedShare * Organisation.m_Burst * Share : 0;
  if (LocalBucket.m_Tokens < 1 + Reserved)
    return RateDecision::RequestTokens;
  LocalBucket.m_Tokens -= 1;
  return RateDecision::Pass;
}

std::uint32_t
RateShares::tokensToRequest(const fleet::OrganisationSpec &Organisation) const {
  const double Share = 1.0 / std::max(1U, m_Instances);
  return static_cast<std::uint32_t>(
      std::ceil(std::max(1.0, Organisation.m_RatePerSecond *
                                  m_Options.m_PrefetchSeconds * Share)));
}

void RateShares::grant(const fleet::OrganisationSpec &Organisation,
                       std::uint32_t Tokens, base::TimePoint Now) {
  Bucket &LocalBucket = m_Buckets[Organisation.m_Name];
  LocalBucket.m_Tokens += Tokens;
  LocalBucket.m_RefilledAt = Now;
}

} // namespace psp::gateway
