/// \file
/// The format of a snapshot file: a magic string, a checksum, the sequence of
/// the last replaced record, and the content.

#ifndef PSP_STORAGE_SNAPSHOTFILE_H
#define PSP_STORAGE_SNAPSHOTFILE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::storage {

inline constexpr std::string_view SnapshotFileName = "snapshot";

struct SnapshotContent {
  /// Sequence of the last replaced record.
  std::uint64_t m_CoveredSequence = 0;
  std::string m_Data;
};

std::string encodeSnapshot(std::uint64_t Covered, std::string_view Data);

/// Throws UserError(Internal) that names \p Name if \p Content is damaged.
SnapshotContent decodeSnapshot(const std::string &Name,
                               std::string_view Content);

} // namespace psp::storage

#endif
