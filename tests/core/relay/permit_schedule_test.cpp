#include "core/relay/permit_schedule.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <random>

#include "support/limit_checker.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};

}  // namespace

Test(permit_schedule, spaces_sends_and_predicts_the_next) {
  PermitSchedule schedule;
  schedule.reset(kNow, {2});
  cr_assert_not(schedule.take(kNow, {2}, kNow + 400ms).has_value(), "no burst after a reset");
  cr_assert_eq(schedule.take(kNow, {2}, kNow + 500ms), kNow + 500ms);
  cr_assert_eq(schedule.next(kNow, {2}), kNow + 1s);
  const MonotonicTime later = kNow + 10s;
  cr_assert_eq(schedule.take(later, {2}, later), later);
  cr_assert_eq(schedule.take(later, {2}, later), later, "two at once after a pause");
  cr_assert_eq(schedule.next(later, {2}), later + 500ms);
}

Test(permit_schedule, grants_one_permit_in_ten_seconds_at_rate_zero) {
  PermitSchedule schedule;
  schedule.reset(kNow, {0});
  cr_assert_not(schedule.take(kNow + 9s, {0}, kNow + 9s).has_value());
  cr_assert(schedule.take(kNow + 10s, {0}, kNow + 10s).has_value());
  cr_assert_not(schedule.take(kNow + 10s, {0}, kNow + 19s).has_value());
}

Test(permit_schedule, bounds_every_window_and_uses_the_rate) {
  SHUNTBANK_PROPERTY("sends in a window", [] {
    const double per_second = *rc::gen::inRange(2, 500) / 10.0;
    PermitSchedule schedule;
    schedule.reset(kNow, {per_second});
    std::deque<MonotonicTime> window;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    MonotonicTime now = kNow;
    int sends = 0;
    while (now < kNow + 30s) {
      now += std::chrono::milliseconds(random() % 40);
      const auto send_at = schedule.take(now, {per_second}, now + 1s);
      if (!send_at) continue;
      ++sends;
      window.push_back(*send_at);
      while (window.front() <= *send_at - LimitChecker::kWindow) window.pop_front();
      const double max_sends = per_second * to_seconds(LimitChecker::kWindow) + kPermitBurst;
      RC_ASSERT(static_cast<double>(window.size()) <= max_sends + 0.001);
    }
    RC_ASSERT(sends >= 0.8 * per_second * 30 - 2);
  });
}
