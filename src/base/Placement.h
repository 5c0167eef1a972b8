/// \file
/// Rendezvous hashing: all instances that agree on the candidates agree on
/// the choice, and losing one candidate moves only what it held.

#ifndef PSP_BASE_PLACEMENT_H
#define PSP_BASE_PLACEMENT_H

#include "base/Ids.h"

#include <string_view>
#include <vector>

namespace psp::base {

/// The candidates ordered by preference for \p Key, best first.
std::vector<InstanceId> rankInstances(std::string_view Key,
                                      std::vector<InstanceId> Candidates);

} // namespace psp::base

#endif
