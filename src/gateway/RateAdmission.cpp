#include "gateway/RateAdmission.h"

namespace psp::gateway {

RateStep RateAdmission::start(base::TimePoint Now) {
  return m_Shares.take(m_Organisation, m_BeginsProgram, Now) ==
                 RateDecision::Pass
             ? RateStep::Pass
             : RateStep::RequestTokens;
}

RateStep RateAdmission::onTokens(std::optional<std::uint32_t> Count,
                                 base::TimePoint Now, base::Duration Wait) {
  m_RetryAfter = base::Duration(0);
  if (!Count)
    return RateStep::Refuse;
  if (*Count == 0) {
    m_RetryAfter = Wait;
    return m_BeginsProgram ? RateStep::FindProgram : RateStep::Refuse;
  }
  m_TokenWait = Wait;
  // One of the tokens is for this call.
  if (*Count > 1)
    m_Shares.grant(m_Organisation, *Count - 1, Now);
  return RateStep::Pass;
}

RateStep RateAdmission::onProgram(bool HasBegun, base::TimePoint Now) {
  if (!HasBegun)
    return RateStep::Refuse;
  m_BeginsProgram = false;
  return start(Now);
}

std::uint32_t RateAdmission::tokensToRequest() const {
  return m_BeginsProgram ? 1 : m_Shares.tokensToRequest(m_Organisation);
}

} // namespace psp::gateway
