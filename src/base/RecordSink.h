/// \file
/// Where decision code writes what must survive a crash.

#ifndef PSP_BASE_RECORDSINK_H
#define PSP_BASE_RECORDSINK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::base {

/// Appends records to a journal. A record counts only once the journal was
/// synced up to its sequence; the owner of the journal reports that later.
class RecordSink {
public:
  virtual ~RecordSink() = default;

  /// Appends \p Record and returns its sequence, starting at 1. Each append
  /// returns the next higher number.
  virtual std::uint64_t append(std::string_view Record) = 0;
};

/// A sink whose records can be read back.
class RecordStore : public RecordSink {
public:
  /// The record with \p Sequence, which must have been appended and not been
  /// released. Throws UserError(Internal) when it is damaged.
  virtual std::string read(std::uint64_t Sequence) const = 0;
};

} // namespace psp::base

#endif
