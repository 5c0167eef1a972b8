/// \file
/// Monitors whether a history node has capacity for more programs.

#ifndef PSP_HISTORY_CAPACITYMONITOR_H
#define PSP_HISTORY_CAPACITYMONITOR_H

#include <algorithm>
#include <cstdint>
#include <utility>

namespace psp::history {

/// In bytes; zero means no limit.
struct ResourceLimits {
  std::uint64_t m_MemoryBytes = 0; ///< The process is killed at it.
  std::uint64_t m_DiskBytes = 0;   ///< Size of the data disk.
};

struct ResourceUsage {
  std::uint64_t m_MemoryBytes = 0;
  std::uint64_t m_DiskBytes = 0;
};

/// Load pattern: data arrives faster than it expires by its retention time. New
/// programs are rejected before the instance is full, and those that have begun
/// continue.
class CapacityMonitor {
public:
  explicit CapacityMonitor(ResourceLimits Limits) : m_Limits(Limits) {}

  /// Whether \p Usage exceeds the threshold that applies now: a full instance
  /// has to fall below the lower one.
  bool isFullAt(const ResourceUsage &Usage) const {
    return std::max(share(Usage.m_MemoryBytes, m_Limits.m_MemoryBytes),
                    share(Usage.m_DiskBytes, m_Limits.m_DiskBytes)) >
           (m_Full ? ReopenThreshold : FullThreshold);
  }
  /// True if isFull() has changed.
  bool update(const ResourceUsage &Usage) {
    const bool Full = isFullAt(Usage);
    return std::exchange(m_Full, Full) != Full;
  }
  bool isFull() const { return m_Full; }

private:
  /// Shares of a limit above which new programs are rejected, and below which
  /// they are accepted again. Programs that have begun need the rest until they
  /// end.
  static constexpr double FullThreshold = 0.7;
  static constexpr double ReopenThreshold = 0.6;

  static double share(std::uint64_t Used, std::uint64_t Limit) {
    return Limit == 0 ? 0
                      : static_cast<double>(Used) / static_cast<double>(Limit);
  }

  ResourceLimits m_Limits;
  bool m_Full = false;
};

} // namespace psp::history

#endif
