/// \file
/// Records of streams' versions that history hasn't confirmed yet.

#ifndef PSP_GATEWAY_LATESTREAMRECORDS_H
#define PSP_GATEWAY_LATESTREAMRECORDS_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace psp::gateway {

struct LateStreamRecord {
  messages::fleet::Request m_Request; ///< With stream.
  base::TimePoint m_Until;            ///< The stream can't be taken up later.
  /// Whether a caller may still take up the stream.
  std::function<bool()> m_IsNeeded;
};

struct LateStreamRecordsOptions {
  /// Records that wait, in number. Each holds a few hundred bytes.
  std::size_t m_MaxRecords = 4096;
};

/// Load pattern: streams begin while history has no leader, and are taken up
/// once it has one. Their records wait here and are sent one after another, so
/// that what is sent doesn't grow with their number. Decides without I/O.
class LateStreamRecords {
public:
  explicit LateStreamRecords(LateStreamRecordsOptions Options = {})
      : m_Options(Options) {}

  /// Returns false if too many wait; the record is given up then.
  bool add(LateStreamRecord Record);
  /// The record to send next; empty if none is needed any more.
  std::optional<LateStreamRecord> takeNext(base::TimePoint Now);

  std::size_t size() const { return m_Records.size(); }

private:
  LateStreamRecordsOptions m_Options;
  std::deque<LateStreamRecord> m_Records;
};

} // namespace psp::gateway

#endif
