// Guards against numbers from outside that overflow a duration, or the time points made with it.
#include "common/time.hpp"

#include <limits>

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

Test(time, bounds_durations_from_seconds) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double seconds : {1e9 + 1, 1e13, 1e300, kInfinity}) {
    cr_expect_eq(from_seconds(seconds).count(), kMaxSecondsDuration.count(), "%g", seconds);
    cr_expect_eq(from_seconds(-seconds).count(), -kMaxSecondsDuration.count(), "%g", seconds);
  }
  cr_expect_eq(from_seconds(std::numeric_limits<double>::quiet_NaN()).count(), 0);
  cr_expect_eq(from_seconds(1.5).count(), 1'500'000);
  cr_expect_eq(from_seconds(-0.25).count(), -250'000);
  const auto nanoseconds = std::chrono::nanoseconds(from_seconds(1e300));
  cr_expect(nanoseconds == kMaxSecondsDuration, "timers count in nanoseconds");
}

Test(time, keeps_durations_through_seconds) {
  SHUNTBANK_PROPERTY("from_seconds(to_seconds(d)) differs from d by a microsecond at most", [] {
    const Duration duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000));
    RC_ASSERT(std::chrono::abs(from_seconds(to_seconds(duration)) - duration) <= 1us);
  });
}
