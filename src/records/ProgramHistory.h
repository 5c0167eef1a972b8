/// \file
/// A program's committed entries, as a ledger or an owner holds them, and the
/// filter by which an inspector asks for them.

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

/// What an inspector asks about.
enum class RecordKind { Program, Order, Notice };

/// Which records to return. Empty identifiers match everything.
struct RecordFilter {
  RecordKind m_Kind = RecordKind::Program;
  base::OrganisationId m_Organisation{};
  base::ProgramId m_Program{};
  base::WallTime m_From = 0; ///< Inclusive.
  base::WallTime m_Until = std::numeric_limits<base::WallTime>::max();
  std::size_t m_MaxRecords = 1000; ///< The answer says when it was cut.

  bool operator==(const RecordFilter &) const = default;
};

} // namespace psp::records

#endif
