#include "gateway/EndpointSilence.h"

namespace psp::gateway {

SilenceStep nextSilenceStep(const EndpointSilence &Silence,
                            base::Duration MaxPause) {
  if (Silence.m_Connection == Reachability::Accepts)
    return SilenceStep::Wait;
  const bool Lost = Silence.m_Connection == Reachability::Refuses ||
                    Silence.m_DataCentreSilent || Silence.m_Length >= MaxPause;
  return Lost || Silence.m_CanRetry ? SilenceStep::Abandon
                                    : SilenceStep::ProbeAgain;
}

} // namespace psp::gateway
