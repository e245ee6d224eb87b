#include "core/usage/true_time.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::usage;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(500)};
constexpr UnixMs kNoon = 1'796'000'000'000;

/// A node's clock, updated once a second.
struct Clock {
  void advance(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now += 1s;
      total_jump_ms += time.update(now, truth() + error_ms);
    }
  }
  UnixMs truth() const {
    return kNoon + std::chrono::duration_cast<std::chrono::milliseconds>(now - kStart).count();
  }
  MonotonicTime now = kStart;
  UnixMs error_ms = 0;
  UnixMs total_jump_ms = 0;
  TrueTime time{{}, kStart, kNoon};
};

}  // namespace

Test(true_time, a_jump_of_the_time_of_day_and_its_return_are_ignored) {
  for (const UnixMs jump : {2400L, -2400L, 3'600'000L, -300'000L}) {
    Clock clock;
    clock.advance(3);
    clock.error_ms = jump;
    clock.advance(8);
    cr_assert_eq(clock.time.local_time(clock.now), clock.truth(), "%ld", jump);
    cr_assert_eq(clock.total_jump_ms, jump);
    clock.error_ms = 0;
    clock.advance(3);
    cr_assert_eq(clock.time.local_time(clock.now), clock.truth());
  }
}

Test(true_time, a_slewed_correction_is_followed) {
  Clock clock;
  for (int i = 0; i < 100; ++i) {
    clock.error_ms += 1;
    clock.advance(1);
  }
  cr_assert_eq(clock.time.local_time(clock.now), clock.truth() + 100);
}

Test(true_time, a_jump_that_lasts_for_hours_is_accepted_as_a_correction) {
  Clock clock;
  clock.error_ms = 60'000;
  clock.advance(2 * 3600 + 5);
  cr_assert_eq(clock.time.local_time(clock.now), clock.truth() + 60'000);
}

Test(true_time, the_median_is_right_while_a_third_of_the_clocks_are_wrong) {
  Clock clock;
  // This node itself started with its time of day an hour ahead.
  TrueTime wrong_clock({}, kStart, kNoon + 3'600'000);
  for (int i = 0; i < 6; ++i) {
    const UnixMs error = i < 2 ? 3'600'000 : i;
    wrong_clock.on_peer_clock(kStart, NodeId("n" + std::to_string(i)), kNoon + error);
  }
  cr_assert(wrong_clock.apply_median(kStart).has_value());
  cr_assert_lt(std::abs(wrong_clock.corrected_time(kStart) - kNoon), 10);
  cr_assert_eq(wrong_clock.local_time(kStart), kNoon + 3'600'000,
               "the local time sent to others stays uncorrected");
}

Test(true_time, too_few_clocks_give_no_median) {
  TrueTime time({}, kStart, kNoon);
  time.on_peer_clock(kStart, NodeId("a"), kNoon + 50'000);
  cr_assert_not(time.apply_median(kStart).has_value());
  cr_assert_eq(time.corrected_time(kStart), kNoon);
  time.on_peer_clock(kStart, NodeId("b"), kNoon + 50'000);
  cr_assert_eq(time.apply_median(kStart).value(), kNoon + 50'000);
  cr_assert_not(time.apply_median(kStart + 6s).has_value(), "the received clocks have timed out");
}
