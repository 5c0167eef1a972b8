/// \file
/// Subcommands about endpoints and about orders whose outcome is unknown.

#ifndef PSP_CTL_ENDPOINTCOMMANDS_H
#define PSP_CTL_ENDPOINTCOMMANDS_H

#include "ctl/Command.h"
#include "ctl/Session.h"

#include <string>
#include <vector>

namespace psp::ctl {

ExitCode listEndpoints(const Session &Run);
ExitCode drainEndpoint(const Session &Run, const std::string &Endpoint,
                       bool Draining);
/// \p Order is ENDPOINT ACTION NAME and, but for a role, VERSION.
ExitCode orderEndpoint(const Session &Run,
                       const std::vector<std::string> &Order);
ExitCode listUnknownOrders(const Session &Run);
ExitCode resolveOrder(const Session &Run, const std::string &Program,
                      const std::string &Turn, const std::string &Finding);

} // namespace psp::ctl

#endif
