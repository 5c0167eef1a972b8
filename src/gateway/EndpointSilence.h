/// \file
/// Decides whether a call goes on waiting for an endpoint that is silent.

#ifndef PSP_GATEWAY_ENDPOINTSILENCE_H
#define PSP_GATEWAY_ENDPOINTSILENCE_H

#include "base/Time.h"
#include "gateway/EndpointChannel.h"

namespace psp::gateway {

/// What an instance knows of an endpoint from which a call receives nothing.
struct EndpointSilence {
  Reachability m_Connection = Reachability::Silent; ///< Of a new connection.
  /// Time since the endpoint's last byte to this instance.
  base::Duration m_Length{0};
  /// The data centre is cut off: no node in it is heard, others are.
  bool m_DataCentreSilent = false;
  /// The call may run on another endpoint, and its caller has no byte of a
  /// response.
  bool m_CanRetry = false;
};

enum class SilenceStep {
  Wait,       ///< The endpoint has paused.
  ProbeAgain, ///< It may have paused, or be out of reach.
  Abandon,
};

/// Load pattern: many endpoints become silent at once, for a second or for
/// good. A sound endpoint may pause, accept no connection meanwhile, and go on,
/// so neither sign alone ends an answer. \p MaxPause: the longest pause of a
/// sound endpoint.
SilenceStep nextSilenceStep(const EndpointSilence &Silence,
                            base::Duration MaxPause);

} // namespace psp::gateway

#endif
