#include "core/capacity/needed_engines.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace shuntbank;
using namespace shuntbank::capacity;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 400ms;

/// A service of 112 engines by its first sizing.
struct Sizing {
  Sizing() { needed.reset(now, 112, 112); }

  /// @return how often the number has changed.
  int run(Duration length, double work) {
    int changes = 0;
    for (const MonotonicTime end = now + length; now < end;) {
      now += kTick;
      changes += needed.update(now, work) ? 1 : 0;
    }
    return changes;
  }

  MonotonicTime now{std::chrono::seconds(100)};
  NeededEngines needed{NeededEnginesSettings()};
};

}  // namespace

Test(needed_engines, releases_slowly_down_to_what_demand_needs) {
  Sizing sizing;
  sizing.run(44s, 40);
  cr_assert_eq(sizing.needed.count(), 112, "nothing is released in the first 45 s");
  sizing.run(4s, 40);
  cr_assert_eq(sizing.needed.count(), 101, "a tenth at once, not %u", sizing.needed.count());
  sizing.run(60s, 40);
  cr_assert_eq(sizing.needed.count(), 84, "80 and a margin, not %u", sizing.needed.count());
}

Test(needed_engines, raises_at_once_and_at_most_to_the_first_sizing) {
  Sizing sizing;
  sizing.run(120s, 30);
  cr_assert_eq(sizing.needed.count(), 63);
  sizing.run(400ms, 45);
  cr_assert_eq(sizing.needed.count(), 95);
  sizing.run(400ms, 200);
  cr_assert_eq(sizing.needed.count(), 112);
}

Test(needed_engines, keeps_half_of_the_first_sizing_without_demand) {
  // Guards against a service that has released its engines when its callers come back.
  Sizing sizing;
  sizing.run(600s, 0);
  cr_assert_eq(sizing.needed.count(), 56);
}

Test(needed_engines, waves_and_losses_within_the_release_delay_change_nothing) {
  // Guards against buying and releasing engines with each wave of demand or loss.
  Sizing sizing;
  sizing.run(120s, 40);
  int changes = 0;
  for (int loss = 0; loss < 4; ++loss) {
    changes += sizing.run(5s, 44);
    changes += sizing.run(25s, 30 + 5.0 * (loss % 2));
  }
  cr_assert_eq(changes, 1, "one raise for the first loss: %d", changes);
}

Test(needed_engines, a_gap_in_the_measurement_releases_nothing) {
  // Guards against a holder that releases by demand that it has not seen.
  Sizing sizing;
  sizing.run(40s, 30);
  sizing.now += 10s;
  sizing.run(40s, 30);
  cr_assert_eq(sizing.needed.count(), 112);
}
