/// \file
/// What a connection of a caller does between two requests.

#ifndef PSP_GATEWAY_IDLESTEP_H
#define PSP_GATEWAY_IDLESTEP_H

#include "base/Time.h"

namespace psp::gateway {

enum class IdleStep { Read, Wait, Close };

struct IdleState {
  bool m_HasBytes = false; ///< Of a request, or the end of the connection.
  bool m_Closing = false;  ///< The instance accepts no more calls.
  base::TimePoint m_Now;
  base::TimePoint m_Deadline;
};

/// The next step of a connection between two requests. What has arrived is read
/// even if the connection is to be closed at the same moment.
IdleStep nextIdleStep(const IdleState &State);

} // namespace psp::gateway

#endif
