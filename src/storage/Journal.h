/// \file
/// A journal of records that survives crashes. A snapshot replaces its oldest
/// records.

#ifndef PSP_STORAGE_JOURNAL_H
#define PSP_STORAGE_JOURNAL_H

#include "base/RecordSink.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace psp::storage {

/// Receives the records of an opened journal, oldest first. The snapshot, if
/// there is one, is passed before them, with the sequence of the last record
/// that it replaces.
using RecordHandler =
    std::function<void(std::uint64_t Sequence, std::string_view Record)>;

/// Appended records are durable only after sync() has returned their sequence.
///
/// append() may be called on one thread while another one calls sync() and
/// writeSnapshot().
class Journal : public base::RecordSink {
public:
  /// Makes all records durable that were appended before this call, and returns
  /// the sequence of the last durable record. After a failure nothing more can
  /// be appended or synced, because the content of the disk is unknown until it
  /// is read again.
  virtual std::uint64_t sync() = 0;

  /// Syncs, durably replaces all records up to the sequence \p Covered by
  /// \p Snapshot, and drops records that are no longer needed.
  virtual void writeSnapshot(std::string_view Snapshot,
                             std::uint64_t Covered) = 0;

  /// Sequence of the last durable record.
  virtual std::uint64_t syncedSequence() const = 0;
};

} // namespace psp::storage

#endif
