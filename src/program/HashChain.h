/// \file
/// The hash chain over a program's entries. Each entry carries the digest of
/// the one before it, so that a changed, missing or inserted entry can be
/// detected even years later.
///
/// The digest excludes the ballot: it is replication state, and two copies of
/// one entry may differ in their ballot only.

#ifndef PSP_PROGRAM_HASHCHAIN_H
#define PSP_PROGRAM_HASHCHAIN_H

#include "generated/program.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace psp::program {

/// SHA-256 over the entry's content without its ballot, as raw bytes.
std::string contentHash(const messages::ProgramEntry &Entry);

/// The first position at which a chain is invalid.
struct ChainFault {
  std::uint64_t m_Index = 0; ///< Position in the log, starting at 1.
  std::string m_Reason;

  bool operator==(const ChainFault &) const = default;
};

/// Checks the indexes and digests of all entries, starting at the first.
/// Returns the first fault, if any.
std::optional<ChainFault>
verifyChain(const std::vector<messages::ProgramEntry> &Entries);

} // namespace psp::program

#endif
