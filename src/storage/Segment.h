/// \file
/// The layout of a journal's segment files: batches of records.
///
/// All records of one sync form one batch with one checksum, and a batch is
/// written only after the one before it was synced. So a bad batch with
/// nothing valid behind it is a write that a crash tore, and a bad batch with
/// a valid one behind it is damage to records that had been synced.

#ifndef PSP_STORAGE_SEGMENT_H
#define PSP_STORAGE_SEGMENT_H

#include "storage/Journal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace psp::storage {

/// Longest batch, in bytes without its head.
inline constexpr std::size_t MaxBatchBytes = 64U << 20U;

/// Length of the head of each record inside a batch, in bytes.
inline constexpr std::size_t RecordHeadBytes = 4;

/// Serialises records whose first one has the sequence \p First.
std::string encodeBatch(std::uint64_t First,
                        const std::vector<std::string> &Records);

/// What reading a segment found.
struct SegmentContent {
  std::uint64_t m_NextSequence = 0;
  std::uint64_t m_ValidBytes = 0; ///< What follows is a torn tail.
};

/// One record of a segment.
struct SegmentRecord {
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Offset = 0; ///< Of the record's first byte in the file.
  std::string_view m_Bytes;
};
using SegmentHandler = std::function<void(const SegmentRecord &)>;

/// Offset of the first record's bytes in an encoded batch.
inline constexpr std::size_t FirstRecordOffset = 20 + RecordHeadBytes;

/// Reads a segment that starts at sequence \p First and hands on each record
/// with a sequence above \p Covered. Throws UserError(Internal) that names
/// \p Name and the offset when synced records are damaged.
SegmentContent readSegment(const std::string &Name, std::string_view Content,
                           std::uint64_t First, std::uint64_t Covered,
                           const SegmentHandler &Handle);

} // namespace psp::storage

#endif
