#include "base/Time.h"

namespace psp::base {

TimePoint readMonotonic() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

Now readClocks() {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return {
      .m_Monotonic = readMonotonic(),
      .m_Wall = static_cast<WallTime>(
          std::chrono::duration_cast<microseconds>(Wall).count()),
  };
}

} // namespace psp::base
