/// @file
/// Time as it is passed into the core: a point on a monotonic clock and durations.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace shuntbank {

using Duration = std::chrono::microseconds;

/// A clock that never goes back and goes on while the machine is suspended, unlike
/// `std::chrono::steady_clock`. Whoever wakes must know how old a lease, a deadline or what was
/// heard of others has become; with a clock that stood still, a holder of a lease that has passed
/// to another would go on giving orders for as long as it slept.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The standard asks this name of a clock. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return time_point(std::chrono::seconds(since_boot.tv_sec) +
                      std::chrono::nanoseconds(since_boot.tv_nsec));
  }
};

using MonotonicTime = std::chrono::time_point<MonotonicClock, Duration>;

/// @return the current time of the process's monotonic clock. Only drivers call it, never the core.
inline MonotonicTime monotonic_now() {
  return std::chrono::time_point_cast<Duration>(MonotonicClock::now());
}

/// @return `duration` in seconds.
inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return `duration` in milliseconds, with their fraction.
inline double to_ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @return `duration` in whole milliseconds, rounded towards zero.
inline std::int64_t whole_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return `seconds` as a duration, rounded down to a microsecond.
inline Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace shuntbank
