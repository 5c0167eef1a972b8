/// \file
/// The total order of ballots. A ledger accepts only the highest ballot that it
/// has promised, so if two instances both act as the owner of a program, at
/// most one of them can make progress.

#ifndef PSP_PROGRAM_BALLOT_H
#define PSP_PROGRAM_BALLOT_H

#include "generated/program.pb.h"

#include <compare>
#include <cstdint>

namespace psp::program {

/// The round of a program's creation; every later owner uses a higher one.
inline constexpr std::uint64_t CreationRound = 1;

/// Compares by round, then by instance, then by nonce.
std::strong_ordering compareBallots(const messages::Ballot &Left,
                                    const messages::Ballot &Right);

bool isSameBallot(const messages::Ballot &Left, const messages::Ballot &Right);

/// The end of a log. A new owner adopts the log that ends later.
struct LogEnd {
  messages::Ballot m_Ballot; ///< Of the last entry.
  std::uint64_t m_Index = 0;
};

/// Whether \p Left ends later than \p Right: compares by the last entry's
/// ballot, then by its index.
bool endsLater(const LogEnd &Left, const LogEnd &Right);

} // namespace psp::program

#endif
