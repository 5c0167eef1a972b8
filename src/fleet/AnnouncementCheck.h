/// \file
/// Limits on the announcements of endpoints. Anybody who reaches a control node
/// can announce an endpoint.

#ifndef PSP_FLEET_ANNOUNCEMENTCHECK_H
#define PSP_FLEET_ANNOUNCEMENTCHECK_H

#include "generated/fleet.pb.h"

#include <cstdint>

namespace psp::fleet {

/// Throws UserError(BadRequest) if \p Announced names no endpoint that could be
/// used, or if it would make the later announcements of this endpoint count as
/// older ones. \p NowMs is the wall time in milliseconds.
void checkAnnouncement(const messages::fleet::EndpointState &Announced,
                       std::uint64_t NowMs);

} // namespace psp::fleet

#endif
