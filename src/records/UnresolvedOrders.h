/// \file
/// Finds the non-idempotent calls with an unknown outcome in the histories that
/// a ledger stores, regardless of which instance owns the programs.

#ifndef PSP_RECORDS_UNRESOLVEDORDERS_H
#define PSP_RECORDS_UNRESOLVEDORDERS_H

#include "records/Record.h"

#include <vector>

namespace psp::records {

/// Returns the finishing records of the claimed calls in \p History that ended
/// with `outcome-unknown` and were not resolved by an operator.
std::vector<Record>
findUnresolvedOrders(const ProgramHistory &History,
                     const messages::Configuration &Current);

} // namespace psp::records

#endif
