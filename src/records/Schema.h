/// \file
/// Record schemas by version. Operators add versions while the system serves
/// traffic. Each record is validated by the version that it was written under.

#ifndef PSP_RECORDS_SCHEMA_H
#define PSP_RECORDS_SCHEMA_H

#include "generated/control.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::records {

/// Returns the highest version of the schema \p Name, or zero if there is none.
std::uint32_t latestSchemaVersion(const messages::Configuration &Current,
                                  const std::string &Name);

/// Returns the given version, or null if the configuration doesn't have it.
const messages::RecordSchema *findSchema(const messages::Configuration &Current,
                                         const std::string &Name,
                                         std::uint32_t Version);

/// Compares \p Next with the schema versions of \p Current and returns one
/// sentence for each version that is missing or changed. The records of such a
/// version could no longer be validated, so a configuration with any such
/// change is rejected.
std::vector<std::string>
findBreakingSchemaChanges(const messages::Configuration &Current,
                          const messages::Configuration &Next);

} // namespace psp::records

#endif
