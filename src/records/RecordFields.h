/// \file
/// The names of a record's fields, as used by schemas and JSON output.

#ifndef PSP_RECORDS_RECORDFIELDS_H
#define PSP_RECORDS_RECORDFIELDS_H

#include <array>
#include <string_view>

namespace psp::records {

/// All fields of a record. A schema lists the fields that must not be empty.
constexpr std::array<std::string_view, 13> RecordFieldNames = {
    "organisation",   "program",        "turn",    "key_id",
    "endpoint",       "wall_time",      "outcome", "durability",
    "service",        "schema_version", "content", "content_type",
    "idempotency_key"};

/// The names of schemas. Each is the kind of call that the schema applies to.
constexpr std::array<std::string_view, 3> SchemaNames = {"turn", "order",
                                                         "notice"};

} // namespace psp::records

#endif
