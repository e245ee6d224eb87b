/// @file
/// Time types: points on a monotonic clock, and durations.
#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace shuntbank {

using Duration = std::chrono::microseconds;

/// A monotonic clock that, unlike `std::chrono::steady_clock`, also advances while the machine is
/// suspended. With `steady_clock`, a lease holder that wakes up would believe that its lease is
/// still valid after another node has taken it over.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Name required by the Clock requirements. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return time_point(std::chrono::seconds(since_boot.tv_sec) +
                      std::chrono::nanoseconds(since_boot.tv_nsec));
  }
};

using MonotonicTime = std::chrono::time_point<MonotonicClock, Duration>;

/// @return the current monotonic time. Must not be called from the core, which is passed the time.
inline MonotonicTime monotonic_now() {
  return std::chrono::time_point_cast<Duration>(MonotonicClock::now());
}

/// @return `duration` in seconds.
inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return `duration` in milliseconds, including the fraction.
inline double to_ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @return `duration` in whole milliseconds, rounded towards zero.
inline std::int64_t whole_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Longest duration that is made from a number of seconds. Timers count in nanoseconds, and times
/// are added to it.
inline constexpr Duration kMaxSecondsDuration = std::chrono::seconds(1'000'000'000);

/// @return `seconds` as a duration, rounded towards zero to a microsecond, with an absolute value
/// of at most `kMaxSecondsDuration`; zero for NaN.
inline Duration from_seconds(double seconds) {
  if (std::isnan(seconds)) return Duration::zero();
  const double limit = to_seconds(kMaxSecondsDuration);
  const std::chrono::duration<double> bounded(std::clamp(seconds, -limit, limit));
  return std::chrono::duration_cast<Duration>(bounded);
}

}  // namespace shuntbank
