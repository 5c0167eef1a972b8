/// \file
/// Whether a stream was sent to a start of an endpoint that has ended since.

#ifndef PSP_HISTORY_LATERVERSION_H
#define PSP_HISTORY_LATERVERSION_H

#include "fleet/EndpointDirectory.h"
#include "generated/fleet.pb.h"

#include <string>

namespace psp::history {

/// The software version of the endpoint that \p Recorded was sent to, if that
/// has started again with another version and the sender doesn't know it. Empty
/// otherwise.
std::string laterVersion(const messages::fleet::RecordStream &Recorded,
                         const fleet::EndpointDirectory &Endpoints);

} // namespace psp::history

#endif
