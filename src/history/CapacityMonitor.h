/// \file
/// Whether a history node has room for more programs.

#ifndef PSP_HISTORY_CAPACITYMONITOR_H
#define PSP_HISTORY_CAPACITYMONITOR_H

#include <algorithm>
#include <cstdint>
#include <utility>

namespace psp::history {

/// In bytes; a limit of zero is none.
struct ResourceLimits {
  std::uint64_t m_MemoryBytes = 0; ///< At which the process is killed.
  std::uint64_t m_DiskBytes = 0;   ///< Length of the data disk.
};

struct ResourceUsage {
  std::uint64_t m_MemoryBytes = 0;
  std::uint64_t m_DiskBytes = 0;
};

/// Load pattern: more comes in than retention lets go. New programs are refused
/// before the machine is full, and those that have begun go on.
class CapacityMonitor {
public:
  explicit CapacityMonitor(ResourceLimits Limits) : m_Limits(Limits) {}

  bool isFullWith(const ResourceUsage &Used) const {
    return std::max(share(Used.m_MemoryBytes, m_Limits.m_MemoryBytes),
                    share(Used.m_DiskBytes, m_Limits.m_DiskBytes)) >
           (m_Full ? OpenShare : FullShare);
  }
  /// True if isFull() has changed.
  bool update(const ResourceUsage &Now) {
    const bool Full = isFullWith(Now);
    return std::exchange(m_Full, Full) != Full;
  }
  bool isFull() const { return m_Full; }

private:
  /// Programs that run already need the rest until they end.
  static constexpr double FullShare = 0.7;
  static constexpr double OpenShare = 0.6;

  static double share(std::uint64_t Used, std::uint64_t Limit) {
    return Limit == 0 ? 0
                      : static_cast<double>(Used) / static_cast<double>(Limit);
  }

  ResourceLimits m_Limits;
  bool m_Full = false;
};

} // namespace psp::history

#endif
