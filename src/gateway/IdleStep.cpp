#include "gateway/IdleStep.h"

namespace psp::gateway {

IdleStep nextIdleStep(const IdleState &State) {
  if (State.m_HasBytes)
    return IdleStep::Read;
  return State.m_Closing || State.m_Now >= State.m_Deadline ? IdleStep::Close
                                                            : IdleStep::Wait;
}

} // namespace psp::gateway
