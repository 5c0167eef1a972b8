/// \file
/// Reports the peers of a process as JSON, for status and dumps.

#ifndef PSP_MEMBERSHIP_PEERREPORT_H
#define PSP_MEMBERSHIP_PEERREPORT_H

#include "membership/Membership.h"

#include <nlohmann/json_fwd.hpp>

namespace psp::membership {

/// Returns an array with one object per peer: instance, role, data_centre,
/// reachable, stopping, control_index.
nlohmann::json reportPeers(const Membership &Members, base::TimePoint Now);

} // namespace psp::membership

#endif
