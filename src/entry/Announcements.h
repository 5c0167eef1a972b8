/// \file
/// Parses the announcements that endpoints send over HTTP.

#ifndef PSP_ENTRY_ANNOUNCEMENTS_H
#define PSP_ENTRY_ANNOUNCEMENTS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/peer.pb.h"

#include <string>

namespace psp::entry {

/// Parses the endpoint's state from the JSON \p Body of an announcement. The
/// requested lease is capped at \p MaxLease. Throws UserError (bad-request)
/// that names the invalid member.
messages::EndpointState parseAnnouncement(const std::string &Body,
                                          base::Duration MaxLease);

/// Parses the JSON \p Body by which an endpoint leaves.
messages::EndpointState parseLeave(const std::string &Body);

} // namespace psp::entry

#endif
