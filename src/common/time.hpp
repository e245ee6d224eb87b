/// @file
/// Time as it is passed into the core: a point on a monotonic clock and durations.
#pragma once

#include <chrono>

namespace shuntbank {

using Duration = std::chrono::microseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @return the current time of the process's monotonic clock. Only drivers call it, never the core.
inline MonotonicTime monotonic_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// @return `duration` in seconds.
inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return `duration` in milliseconds, with their fraction.
inline double to_ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @return `seconds` as a duration, rounded down to a microsecond.
inline Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace shuntbank
