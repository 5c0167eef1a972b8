/// \file
/// Takes over which data centres are evacuated, at entry and history nodes.

#ifndef PSP_NODE_EVACUATIONUPDATE_H
#define PSP_NODE_EVACUATIONUPDATE_H

#include "fleet/EndpointDirectory.h"
#include "node/NodeRuntime.h"

namespace psp::node {

/// Merges what \p Update says into \p Endpoints, and logs a change.
void takeEvacuations(NodeRuntime &Node, fleet::EndpointDirectory &Endpoints,
                     const messages::fleet::ConfigurationUpdate &Update);

} // namespace psp::node

#endif
