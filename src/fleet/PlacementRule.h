/// \file
/// What a request may be placed at, beside the load of the endpoints.

#ifndef PSP_FLEET_PLACEMENTRULE_H
#define PSP_FLEET_PLACEMENTRULE_H

#include "generated/fleet.pb.h"

#include <optional>

namespace psp::fleet {

class PlacementRule {
public:
  virtual ~PlacementRule() = default;

  /// Empty if the request may not go to \p Candidate; otherwise what is added
  /// to its cost, in milliseconds.
  virtual std::optional<double>
  extraCostMs(const messages::fleet::EndpointState &Candidate) const = 0;
};

} // namespace psp::fleet

#endif
