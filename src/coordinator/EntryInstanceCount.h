/// \file
/// The number of entry instances that rates are divided among.

#ifndef PSP_COORDINATOR_ENTRYINSTANCECOUNT_H
#define PSP_COORDINATOR_ENTRYINSTANCECOUNT_H

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace psp::coordinator {

struct EntryInstanceCountOptions {
  /// After the start of this process, all entry instances that run connect
  /// within this time.
  base::Duration m_ListeningTime = base::seconds(3);
  /// A recorded number is lowered after the instances were fewer for this long.
  /// Longer than data centres are cut off: instances that can't be reached
  /// still use their shares.
  base::Duration m_LowerAfter = base::seconds(2 * 3600);
};

/// Load pattern: all processes start at the same moment, and callers press
/// beyond their organisation's rate. Instances that divided it by a number that
/// is too small would together exceed it, so the number is part of the control
/// group's state, and unknown until it is recorded or all could connect.
class EntryInstanceCount {
public:
  explicit EntryInstanceCount(base::TimePoint StartedAt,
                              EntryInstanceCountOptions Options = {})
      : m_Options(Options), m_StartedAt(StartedAt), m_EnoughAt(StartedAt) {}

  /// \p Connected instances are connected to this node, and the group's state
  /// has \p Recorded, zero if none.
  void update(std::uint32_t Connected, std::uint32_t Recorded,
              base::TimePoint Now);
  /// The number to divide by; zero: not known.
  std::uint32_t divisor(base::TimePoint Now) const;
  /// The number that the leader has to record, if it differs from the recorded
  /// one.
  std::optional<std::uint32_t> toRecord(base::TimePoint Now) const;

  /// Most that were connected at once since the start, or since the recorded
  /// number was lowered.
  std::uint32_t peak() const { return m_Peak; }

private:
  /// Whether all instances that run have had the time to connect.
  bool hasListened(base::TimePoint Now) const {
    return Now - m_StartedAt >= m_Options.m_ListeningTime;
  }

  EntryInstanceCountOptions m_Options;
  base::TimePoint m_StartedAt;
  std::uint32_t m_Recorded = 0;
  std::uint32_t m_Peak = 0;
  /// When as many as recorded were last connected.
  base::TimePoint m_EnoughAt;
  std::uint32_t m_PeakSince = 0; ///< Most connected at once since then.
};

} // namespace psp::coordinator

#endif
