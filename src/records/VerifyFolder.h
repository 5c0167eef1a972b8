/// \file
/// Reads a ledger's data folder offline and verifies all of its content: batch
/// checksums, sequences, the folder's identity, and the hash chain of each
/// program. It modifies nothing, not even a torn tail.

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

/// The result for the hash chain of one program.
struct ProgramReport {
  base::ProgramId m_Program;
  std::uint64_t m_Entries = 0;
  /// Digest of the last entry, in hexadecimal digits. Equal on ledgers that
  /// hold the same history.
  std::string m_HeadHash;
  std::string m_Fault; ///< Empty if the chain is intact.

  bool operator==(const ProgramReport &) const = default;
};

struct FolderReport {
  std::size_t m_Journals = 0;
  std::size_t m_Records = 0;
  std::vector<ProgramReport> m_Programs; ///< Ordered by identifier.
  /// One message for each damaged file or folder.
  std::vector<std::string> m_Faults;

  bool isIntact() const {
    return m_Faults.empty() && std::all_of(m_Programs.begin(), m_Programs.end(),
                                           [](const ProgramReport &Program) {
                                             return Program.m_Fault.empty();
                                           });
  }
};

/// The content of a folder, and the faults found in it.
struct FolderContent {
  std::vector<ProgramHistory> m_Histories; ///< Ordered by identifier.
  FolderReport m_Report;
};

/// Reads all journals below \p Folder. The ledger must be stopped, or \p Folder
/// a copy, because the last batch of a running ledger may be partially written.
/// Throws base::UserError(NotFound) when there is no journal.
FolderContent readFolder(const std::string &Folder);

/// Returns the histories below \p Folder that can contain a match for
/// \p Filter. Safe while the ledger runs: a partially written last batch is
/// ignored, because it isn't synced. Throws base::UserError(Internal) when
/// synced records are damaged, rather than return a history with a gap.
std::vector<ProgramHistory> readHistories(const std::string &Folder,
                                          const RecordFilter &Filter);

FolderReport verifyFolder(const std::string &Folder);

} // namespace psp::records

#endif
