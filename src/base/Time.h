/// \file
/// Time as the decision code sees it. Decisions never read a clock: the time
/// arrives with each event, so that a randomised run can drive it from a seed.

#ifndef PSP_BASE_TIME_H
#define PSP_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace psp::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A reading of the process's own monotonic clock. Readings of two processes
/// can't be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Microseconds since 1970 by the wall clock. Used in records only, never to
/// decide anything.
using WallTime = std::uint64_t;

/// The time at which an event is handled.
struct Now {
  TimePoint m_Monotonic;
  WallTime m_Wall = 0;
};

/// Reads both clocks of this machine.
Now readClocks();
/// Reads the monotonic one only.
TimePoint readMonotonic();
/// Time since the machine started. Unlike the monotonic clock, it also passes
/// while the machine is suspended.
Duration readBootTime();

/// For fields of messages that count milliseconds.
constexpr std::uint64_t wholeMilliseconds(Duration Length) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Length).count());
}

} // namespace psp::base

#endif
