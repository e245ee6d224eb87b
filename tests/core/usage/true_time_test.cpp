#include "core/usage/true_time.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::usage;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(500)};
constexpr UnixMs kNoon = 1'796'000'000'000;

/// A node's clock, looked at each second.
struct Clock {
  void pass(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now += 1s;
      jumped += time.look(now, truth() + wrong_ms);
    }
  }
  UnixMs truth() const {
    return kNoon + std::chrono::duration_cast<std::chrono::milliseconds>(now - kStart).count();
  }
  MonotonicTime now = kStart;
  UnixMs wrong_ms = 0;
  UnixMs jumped = 0;
  TrueTime time{{}, kStart, kNoon};
};

}  // namespace

Test(true_time, a_jump_of_the_time_of_day_is_left_out_there_and_back) {
  for (const UnixMs jump : {2400L, -2400L, 3'600'000L, -300'000L}) {
    Clock clock;
    clock.pass(3);
    clock.wrong_ms = jump;
    clock.pass(8);
    cr_assert_eq(clock.time.own(clock.now), clock.truth(), "%ld", jump);
    cr_assert_eq(clock.jumped, jump);
    clock.wrong_ms = 0;
    clock.pass(3);
    cr_assert_eq(clock.time.own(clock.now), clock.truth());
  }
}

Test(true_time, a_slow_correction_is_followed) {
  Clock clock;
  for (int i = 0; i < 100; ++i) {
    clock.wrong_ms += 1;
    clock.pass(1);
  }
  cr_assert_eq(clock.time.own(clock.now), clock.truth() + 100);
}

Test(true_time, a_jump_that_stands_for_hours_was_a_correction) {
  Clock clock;
  clock.wrong_ms = 60'000;
  clock.pass(2 * 3600 + 5);
  cr_assert_eq(clock.time.own(clock.now), clock.truth() + 60'000);
}

Test(true_time, the_median_of_all_clocks_outvotes_a_third_that_are_wrong) {
  Clock clock;
  // This node itself started while its time of day was an hour ahead.
  TrueTime wrong({}, kStart, kNoon + 3'600'000);
  for (int i = 0; i < 6; ++i) {
    const UnixMs error = i < 2 ? 3'600'000 : i;
    wrong.on_clock(kStart, NodeId("n" + std::to_string(i)), kNoon + error);
  }
  cr_assert(wrong.take_median(kStart).has_value());
  cr_assert_lt(std::abs(wrong.agreed(kStart) - kNoon), 10);
  cr_assert_eq(wrong.own(kStart), kNoon + 3'600'000, "what is told to others stays uncorrected");
}

Test(true_time, too_few_clocks_say_nothing) {
  TrueTime time({}, kStart, kNoon);
  time.on_clock(kStart, NodeId("a"), kNoon + 50'000);
  cr_assert_not(time.take_median(kStart).has_value());
  cr_assert_eq(time.agreed(kStart), kNoon);
  time.on_clock(kStart, NodeId("b"), kNoon + 50'000);
  cr_assert_eq(time.take_median(kStart).value(), kNoon + 50'000);
  cr_assert_not(time.take_median(kStart + 6s).has_value(), "they were told long ago");
}
