/// \file
/// The order of ballots. A ledger follows the highest ballot that it has
/// promised, so of two instances that both take themselves for the owner only
/// one can go on.

#ifndef PSP_PROGRAM_BALLOT_H
#define PSP_PROGRAM_BALLOT_H

#include "generated/program.pb.h"

#include <compare>
#include <cstdint>

namespace psp::program {

/// The round of a program's creation; every later owner goes higher.
inline constexpr std::uint64_t CreationRound = 1;

/// Compares by round, then by instance, then by nonce.
std::strong_ordering compareBallots(const messages::Ballot &Left,
                                    const messages::Ballot &Right);

bool isSameBallot(const messages::Ballot &Left, const messages::Ballot &Right);

/// Where a log ends; the log that ends later is the one to adopt.
struct LogEnd {
  messages::Ballot m_Ballot; ///< Of the last entry.
  std::uint64_t m_Index = 0;
};

/// Compares by the last entry's ballot, then by its index.
bool endsLater(const LogEnd &Left, const LogEnd &Right);

} // namespace psp::program

#endif
