/// \file
/// A journal of records that survives crashes, with a snapshot that stands
/// for its oldest part.

#ifndef PSP_STORAGE_JOURNAL_H
#define PSP_STORAGE_JOURNAL_H

#include "base/RecordSink.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace psp::storage {

/// Receives the records of an opened journal, oldest first. The snapshot, if
/// there is one, comes first of all, with the sequence up to which it covers.
using RecordHandler =
    std::function<void(std::uint64_t Sequence, std::string_view Record)>;

/// Appended records count only once sync() has returned their sequence.
///
/// append() may be called on one thread while another one calls sync() and
/// writeSnapshot().
class Journal : public base::RecordSink {
public:
  /// Makes everything appended before this call last, and returns the
  /// sequence up to which records last now. After a failure nothing more can
  /// be appended or synced: what the disk holds is unknown until it is read
  /// again.
  virtual std::uint64_t sync() = 0;

  /// Puts \p Snapshot in the place of all records up to \p Covered, syncs,
  /// and drops what is no longer needed.
  virtual void writeSnapshot(std::string_view Snapshot,
                             std::uint64_t Covered) = 0;

  /// Sequence of the last record that lasts.
  virtual std::uint64_t syncedSequence() const = 0;
};

} // namespace psp::storage

#endif
