/// \file
/// The committed entries of a program, as stored by a ledger or an owner, and
/// the filter of an inspector's query.

#ifndef PSP_RECORDS_PROGRAMHISTORY_H
#define PSP_RECORDS_PROGRAMHISTORY_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/program.pb.h"

#include <cstddef>
#include <limits>
#include <vector>

namespace psp::records {

/// The entries of one program in the order of their index.
struct ProgramHistory {
  base::ProgramId m_Program{};
  std::vector<messages::ProgramEntry> m_Entries;
};

/// The subject of a query.
enum class RecordKind { Program, Order, Notice };

/// Selects the records to return. Empty identifiers match everything.
struct RecordFilter {
  RecordKind m_Kind = RecordKind::Program;
  base::OrganisationId m_Organisation{};
  base::ProgramId m_Program{};
  base::WallTime m_From = 0; ///< Inclusive.
  base::WallTime m_Until = std::numeric_limits<base::WallTime>::max();
  /// The answer reports whether it was truncated.
  std::size_t m_MaxRecords = 1000;

  bool operator==(const RecordFilter &) const = default;
};

} // namespace psp::records

#endif
