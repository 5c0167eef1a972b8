/// \file
/// The names of a record's fields, as schemas and JSON output use them.

#ifndef PSP_RECORDS_RECORDFIELDS_H
#define PSP_RECORDS_RECORDFIELDS_H

#include <array>
#include <string_view>

namespace psp::records {

/// Every field of a record. A schema names those that must not be empty.
constexpr std::array<std::string_view, 13> RecordFieldNames = {
    "organisation",   "program",        "turn",    "key_id",
    "endpoint",       "wall_time",      "outcome", "durability",
    "service",        "schema_version", "content", "content_type",
    "idempotency_key"};

/// What a schema describes.
constexpr std::array<std::string_view, 3> SchemaNames = {"turn", "order",
                                                         "notice"};

} // namespace psp::records

#endif
