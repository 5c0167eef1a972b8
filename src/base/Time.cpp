#include "base/Time.h"

namespace psp::base {

Now readClocks() {
  const auto Monotonic = std::chrono::steady_clock::now();
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return {
      .m_Monotonic = std::chrono::time_point_cast<Duration>(Monotonic),
      .m_Wall = static_cast<WallTime>(
          std::chrono::duration_cast<microseconds>(Wall).count()),
  };
}

} // namespace psp::base
