/// \file
/// Which transfers of bytes of calls are too slow to go on.

#ifndef PSP_GATEWAY_SLOWTRANSFERS_H
#define PSP_GATEWAY_SLOWTRANSFERS_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace psp::gateway {

/// How long a transfer goes on without a byte.
struct StallLimits {
  base::Duration m_Usual{0};
  base::Duration m_Scarce{0}; ///< While calls lack memory.
};

struct SlowTransferOptions {
  /// While calls lack memory, a transfer ends below this mean rate once the
  /// time has passed.
  base::Duration m_ScarceGraceTime = base::seconds(1);
  std::uint64_t m_ScarceBytesPerSecond = 16U << 10U;
  /// A process that hasn't looked for this long was suspended itself, and the
  /// time of all transfers begins anew.
  base::Duration m_MaxCheckGap = base::milliseconds(600);
};

/// Of a caller that takes nothing of its answer.
inline constexpr StallLimits CallerStallLimits = {
    .m_Usual = base::seconds(3), .m_Scarce = base::milliseconds(600)};

/// Load pattern: callers read nothing of long answers or send little of long
/// bodies, and endpoints read long bodies slowly; what is held for them would
/// be kept from others, and endpoints would be kept busy. Decides without I/O.
class SlowTransfers {
public:
  explicit SlowTransfers(SlowTransferOptions Options = {})
      : m_Options(Options) {}
  SlowTransfers(const SlowTransfers &) = delete;
  SlowTransfers &operator=(const SlowTransfers &) = delete;

  /// A transfer that waits for the other side. \p End is called once if it is
  /// too slow. The result identifies it.
  std::uint64_t add(StallLimits Limits, base::TimePoint Now,
                    std::function<void()> End);
  void onProgress(std::uint64_t Id, std::uint64_t Bytes, base::TimePoint Now);
  void remove(std::uint64_t Id) { m_Transfers.erase(Id); }

  /// Ends those that are too slow. \p Scarce: calls lack memory. Returns how
  /// many have ended.
  std::size_t check(bool Scarce, base::TimePoint Now);
  std::size_t count() const { return m_Transfers.size(); }

private:
  struct Transfer {
    StallLimits m_Limits;
    base::TimePoint m_StartedAt;
    base::TimePoint m_ProgressAt;
    std::uint64_t m_Bytes = 0; ///< Since the start.
    std::function<void()> m_End;
  };

  bool isTooSlow(const Transfer &Seen, bool Scarce, base::TimePoint Now) const;

  SlowTransferOptions m_Options;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Transfer> m_Transfers;
  base::TimePoint m_CheckedAt;
};

} // namespace psp::gateway

#endif
