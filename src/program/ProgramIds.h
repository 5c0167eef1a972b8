/// \file
/// Identifiers of programs. An identifier names the home data centre, so any
/// instance can route a call from it, and a data centre that is cut off can
/// make new identifiers without contacting the others.

#ifndef PSP_PROGRAM_PROGRAMIDS_H
#define PSP_PROGRAM_PROGRAMIDS_H

#include "base/Ids.h"

#include <cstddef>
#include <string_view>

namespace psp::program {

/// Random bytes in an identifier.
inline constexpr std::size_t ProgramIdBytes = 16;

/// Example: makeProgramId(DataCentreId("brum-a"), randomBytes(16)) is
/// "brum-a.000102030405060708090a0b0c0d0e0f". Safe in URLs and headers.
///
/// The bytes must be fresh and random. Program creation relies on it: after
/// a ledger has lost its disk, two creations with the same identifier can't be
/// distinguished from one.
base::ProgramId makeProgramId(const base::DataCentreId &Home,
                              std::string_view RandomBytes);

/// The home data centre, or an empty one when \p Program is malformed.
base::DataCentreId homeOf(const base::ProgramId &Program);

} // namespace psp::program

#endif
