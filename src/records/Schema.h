/// \file
/// Record schemas by version. Operators add versions while traffic runs; each
/// record is validated by the version that it was written under.

#ifndef PSP_RECORDS_SCHEMA_H
#define PSP_RECORDS_SCHEMA_H

#include "generated/control.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::records {

/// The highest version of the schema \p Name; zero when there is none.
std::uint32_t schemaVersionInForce(const messages::Configuration &Current,
                                   const std::string &Name);

/// The given version, or null when the configuration doesn't have it.
const messages::RecordSchema *findSchema(const messages::Configuration &Current,
                                         const std::string &Name,
                                         std::uint32_t Version);

/// What \p Next does to versions that \p Current has: one sentence for each
/// that is missing or changed. Records of these could no longer be validated,
/// so a configuration with any such line is refused.
std::vector<std::string>
findBrokenSchemas(const messages::Configuration &Current,
                  const messages::Configuration &Next);

} // namespace psp::records

#endif
