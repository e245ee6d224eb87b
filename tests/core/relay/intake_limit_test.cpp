// Guards against a node that takes in more than its link carries, or that stays closed without
// need.
#include "core/relay/intake_limit.hpp"

#include <criterion/criterion.h>

#include "net/connect_delay.hpp"
#include "net/link_load.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

Test(intake_limit, is_unlimited_without_a_delay) {
  relay::IntakeLimit limit;
  for (int i = 0; i < 100; ++i) limit.update(1000, 10ms);
  cr_assert(limit.has_room(100000));
}

Test(intake_limit, falls_while_there_is_a_delay_and_rises_while_it_is_used_without_one) {
  relay::IntakeLimit limit;
  limit.update(100, 60ms);
  cr_assert_not(limit.has_room(100));
  for (int i = 0; i < 30; ++i) limit.update(40, 60ms, 20);
  cr_assert_float_eq(*limit.value(), 20, 1e-9);
  limit.update(20, std::nullopt);
  cr_assert_float_eq(*limit.value(), 20, 1e-9, "nothing was observed");
  limit.update(20, 5ms);
  cr_assert(limit.has_room(21));
}

Test(intake_limit, is_dropped_once_it_is_not_needed) {
  relay::IntakeLimit limit;
  limit.update(200, 60ms);
  limit.update(1, 0ms);
  cr_assert_not(limit.value().has_value());
}

Test(link_load, drains_at_the_rate_of_the_link) {
  LinkLoad load(1000);
  load.update(MonotonicTime(100s), 0);
  load.update(MonotonicTime(100s), 500);
  cr_assert_eq(load.delay(0), 500ms);
  cr_assert_eq(load.delay(250), 750ms);
  load.update(MonotonicTime(100400ms), 500);
  cr_assert_eq(load.delay(0), 100ms);
  load.update(MonotonicTime(200s), 500);
  cr_assert_eq(load.delay(0), 0ms);
  cr_assert_eq(LinkLoad(0).delay(1e9), 0ms, "the rate is not known");
}

Test(connect_delay, compares_with_the_best_time_of_each_peer) {
  ConnectDelay delay;
  MonotonicTime now{100s};
  delay.on_connected(now, "near", 1ms);
  delay.on_connected(now, "far", 100ms);
  cr_assert_not(delay.recent(now).has_value(), "there is nothing to compare with");
  now += 300ms;
  delay.on_connected(now, "far", 130ms);
  cr_assert_eq(*delay.recent(now), 30ms);
  delay.on_connected(now, "near", 9ms);
  cr_assert_eq(*delay.recent(now), 8ms, "the shortest counts");
  cr_assert_not(delay.recent(now + 1s).has_value());
}
