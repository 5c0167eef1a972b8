/// \file
/// The format of a journal's segment files: batches of records.
///
/// The records of one sync form batches with a checksum each, and a batch is
/// written only after the previous one was synced. So an invalid batch without
/// a valid batch after it is a write that a crash has torn, and an invalid
/// batch before a valid one means that synced records are damaged.

#ifndef PSP_STORAGE_SEGMENT_H
#define PSP_STORAGE_SEGMENT_H

#include "storage/Journal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace psp::storage {

/// Longest batch, in bytes without its header.
inline constexpr std::size_t MaxBatchBytes = 64U << 20U;

/// Length of the header of each record inside a batch, in bytes.
inline constexpr std::size_t RecordHeaderBytes = 4;

/// Serialises records, the first of which has the sequence \p First.
std::string encodeBatch(std::uint64_t First,
                        const std::vector<std::string> &Records);

/// Result of reading a segment.
struct SegmentContent {
  std::uint64_t m_NextSequence = 0;
  std::uint64_t m_ValidBytes = 0; ///< Any bytes after them are a torn tail.
};

/// One record of a segment.
struct SegmentRecord {
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Offset = 0; ///< Of the record's first byte in the file.
  std::string_view m_Bytes;
};
using SegmentHandler = std::function<void(const SegmentRecord &)>;

/// Offset of the first record's bytes in an encoded batch.
inline constexpr std::size_t FirstRecordOffset = 20 + RecordHeaderBytes;

/// Reads a segment that starts at sequence \p First and passes each record with
/// a sequence above \p Covered to \p Handle. Throws UserError(Internal) that
/// names \p Name and the offset if synced records are damaged.
SegmentContent readSegment(const std::string &Name, std::string_view Content,
                           std::uint64_t First, std::uint64_t Covered,
                           const SegmentHandler &Handle);

} // namespace psp::storage

#endif
