/// \file
/// Reads a ledger's data folder offline and checks every byte of it: batch
/// checksums, sequences, the folder's identity, and each program's hash chain.
/// Nothing is changed, not even a torn tail.

#ifndef PSP_RECORDS_VERIFYFOLDER_H
#define PSP_RECORDS_VERIFYFOLDER_H

#include "base/Ids.h"
#include "records/ProgramHistory.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace psp::records {

/// One program's chain.
struct ProgramReport {
  base::ProgramId m_Program;
  std::uint64_t m_Entries = 0;
  std::string m_HeadHash; ///< Digest of the last entry, in hexadecimal digits;
                          ///< equal on ledgers that hold the same history.
  std::string m_Fault;    ///< Empty: the chain is whole.

  bool operator==(const ProgramReport &) const = default;
};

struct FolderReport {
  std::size_t m_Journals = 0;
  std::size_t m_Records = 0;
  std::vector<ProgramReport> m_Programs; ///< Ordered by identifier.
  std::vector<std::string> m_Faults;     ///< Files that are damaged.

  bool isIntact() const {
    return m_Faults.empty() && std::all_of(m_Programs.begin(), m_Programs.end(),
                                           [](const ProgramReport &Each) {
                                             return Each.m_Fault.empty();
                                           });
  }
};

/// What a folder holds, and what was found wrong on the way.
struct FolderContent {
  std::vector<ProgramHistory> m_Histories; ///< Ordered by identifier.
  FolderReport m_Report;
};

/// Reads all journals below \p Folder. Run it on a stopped ledger or a copy:
/// the last batch of a running one may be half written. Throws
/// base::UserError(NotFound) when there is no journal.
FolderContent readFolder(const std::string &Folder);

/// The histories below \p Folder that can hold a match for \p Filter, for a
/// ledger that is running: a last batch that is half written is left out, as
/// it isn't synced. Throws base::UserError(Internal) when synced records are
/// damaged, rather than return a history with a gap.
std::vector<ProgramHistory> readHistories(const std::string &Folder,
                                          const RecordFilter &Filter);

FolderReport verifyFolder(const std::string &Folder);

} // namespace psp::records

#endif
