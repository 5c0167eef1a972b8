#include "base/Time.h"

#include <ctime>

namespace psp::base {

TimePoint readMonotonic() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

Duration readBootTime() {
  timespec Reading{};
  ::clock_gettime(CLOCK_BOOTTIME, &Reading);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Reading.tv_sec) +
      std::chrono::nanoseconds(Reading.tv_nsec));
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
