#include "history/LaterVersion.h"

namespace psp::history {

std::string laterVersion(const messages::fleet::RecordStream &Recorded,
                         const fleet::EndpointDirectory &Endpoints) {
  const fleet::EndpointState *Known = Endpoints.find(Recorded.endpoint());
  // A sender with earlier software names no start.
  if (!Known || Recorded.born() == 0 || Known->born() <= Recorded.born() ||
      Known->software() == Recorded.software())
    return {};
  return Known->software();
}

} // namespace psp::history
