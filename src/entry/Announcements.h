/// \file
/// Reads what endpoints announce of themselves over HTTP.

#ifndef PSP_ENTRY_ANNOUNCEMENTS_H
#define PSP_ENTRY_ANNOUNCEMENTS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/peer.pb.h"

#include <string>

namespace psp::entry {

/// The endpoint's state from the JSON \p Body of an announcement. Its lease is
/// the asked one, at most \p LongestLease. Throws UserError (bad-request)
/// naming the member that is wrong.
messages::EndpointState parseAnnouncement(const std::string &Body,
                                          base::Duration LongestLease);

/// The same for an endpoint that leaves.
messages::EndpointState parseLeave(const std::string &Body);

} // namespace psp::entry

#endif
