#include "gateway/RateShares.h"

#include <algorithm>
#include <cmath>

namespace psp::gateway {

RateDecision RateShares::take(const fleet::OrganisationSpec &Sender,
                              bool NewProgram, base::TimePoint Now) {
  if (Sender.m_RatePerSecond <= 0)
    return RateDecision::Pass;
  const auto [Found, Fresh] = m_Buckets.try_emplace(Sender.m_Name);
  Bucket &Held = Found->second;
  const double Share = Sender.dividedShare() / std::max(1U, m_Instances);
  if (Share > 0) {
    const double Burst = std::max(1.0, Sender.m_Burst * Share);
    // A new instance doesn't know what was sent in the last window.
    const bool Changed = Held.m_Rate != Sender.m_RatePerSecond;
    if (Changed && (Fresh || Held.m_Rate > Sender.m_RatePerSecond))
      Held.m_Tokens = Fresh ? Burst / 2 : std::min(Held.m_Tokens, Burst);
    if (Fresh)
      Held.m_FilledAt = Now;
    const double Seconds =
        std::chrono::duration<double>(Now - Held.m_FilledAt).count();
    Held.m_Tokens = std::min(
        Burst, Held.m_Tokens + Seconds * Sender.m_RatePerSecond * Share);
    Held.m_FilledAt = Now;
  } else if (Held.m_Rate != Sender.m_RatePerSecond ||
             Now - Held.m_FilledAt > m_Options.m_TokenLife) {
    Held.m_Tokens = 0;
  }
  Held.m_Rate = Sender.m_RatePerSecond;
  if (NewProgram && Share <= 0)
    return RateDecision::Ask;
  const double Kept =
      NewProgram ? m_Options.m_KeptShare * Sender.m_Burst * Share : 0;
  if (Held.m_Tokens < 1 + Kept)
    return RateDecision::Ask;
  Held.m_Tokens -= 1;
  return RateDecision::Pass;
}

std::uint32_t
RateShares::tokensToAsk(const fleet::OrganisationSpec &Sender) const {
  const double Share = 1.0 / std::max(1U, m_Instances);
  return static_cast<std::uint32_t>(std::ceil(std::max(
      1.0, Sender.m_RatePerSecond * m_Options.m_AskAheadSeconds * Share)));
}

void RateShares::grant(const fleet::OrganisationSpec &Sender,
                       std::uint32_t Tokens, base::TimePoint Now) {
  Bucket &Held = m_Buckets[Sender.m_Name];
  Held.m_Tokens += Tokens;
  Held.m_FilledAt = Now;
}

} // namespace psp::gateway
