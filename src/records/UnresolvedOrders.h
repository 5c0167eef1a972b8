/// \file
/// Finds the non-idempotent calls whose outcome is unknown, in the histories
/// that a ledger holds, whichever instance owns the programs.

#ifndef PSP_RECORDS_UNRESOLVEDORDERS_H
#define PSP_RECORDS_UNRESOLVEDORDERS_H

#include "records/Record.h"

#include <vector>

namespace psp::records {

/// The finishing records of the claimed calls in \p History that ended with
/// `outcome-unknown` and that no operator has resolved.
std::vector<Record>
findUnresolvedOrders(const ProgramHistory &History,
                     const messages::Configuration &Current);

} // namespace psp::records

#endif
