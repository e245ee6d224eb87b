// Tells a node without a path to the engines from engines that have failed.

#include "core/relay/engine_reachability.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

const EngineId kA("a");
const EngineId kB("b");

MonotonicTime at(Duration since_start) {
  return MonotonicTime(1000s) + since_start;
}

/// A node whose path has been found broken at the start.
EngineReachability cut_off() {
  EngineReachability paths(at(0s));
  paths.on_connect_failed(at(0s), kA, true);
  paths.on_check_started(at(0s));
  paths.on_check_ended(at(0s), false);
  return paths;
}

}  // namespace

Test(engine_reachability, checks_after_a_failed_connection) {
  EngineReachability paths(at(0s));
  cr_assert_not(paths.check_due(at(0s)));
  paths.on_connect_failed(at(1s), kA, true);
  cr_assert(paths.check_due(at(1s)));
  paths.on_check_started(at(1s));
  cr_assert_not(paths.check_due(at(5s)), "one check at a time");
  cr_assert_not(paths.on_check_ended(at(5s), true));
  cr_assert_not(paths.check_due(at(9s)), "the check has explained the failure");
  cr_assert_not(paths.path_broken());
}

Test(engine_reachability, bounds_the_rate_of_checks) {
  EngineReachability paths(at(0s));
  int checks = 0;
  for (Duration now = 0s; now < 10s; now += 10ms) {
    paths.on_connect_failed(at(now), kA, true);
    if (!paths.check_due(at(now))) continue;
    ++checks;
    paths.on_check_started(at(now));
    paths.on_check_ended(at(now), true);
  }
  cr_assert_leq(checks, 34);
}

Test(engine_reachability, is_restored_by_the_first_successful_check) {
  EngineReachability paths = cut_off();
  cr_assert(paths.path_broken());
  cr_assert_not(paths.check_due(at(200ms)));
  cr_assert(paths.check_due(at(300ms)), "checked without further failures");
  paths.on_check_started(at(300ms));
  cr_assert_not(paths.on_check_ended(at(550ms), false));
  cr_assert_eq(paths.broken_for(at(550ms)), Duration(550ms));
  paths.on_check_started(at(600ms));
  cr_assert(paths.on_check_ended(at(602ms), true));
  cr_assert_not(paths.path_broken());
}

// Guards against giving up all engines for the failure of some.
Test(engine_reachability, keeps_the_paths_to_engines_apart) {
  EngineReachability paths(at(0s));
  paths.on_connect_failed(at(0s), kA, true);
  paths.on_check_started(at(0s));
  paths.on_check_ended(at(2ms), true);
  cr_assert_not_null(paths.find_broken(kA));
  cr_assert_null(paths.find_broken(kB));
  paths.on_answer(at(1s), kB);
  cr_assert_not_null(paths.find_broken(kA), "another engine's answer says nothing about it");
  paths.on_answer(at(1s), kA);
  cr_assert_null(paths.find_broken(kA));
}

Test(engine_reachability, probes_each_broken_path_about_twice_a_second) {
  EngineReachability paths(at(0s));
  for (int i = 0; i < 5; ++i) {
    paths.on_connect_failed(at(0s), EngineId("e" + std::to_string(i)), false);
  }
  cr_assert(paths.take_due_probes(at(400ms), 10).empty());
  cr_assert_eq(paths.take_due_probes(at(500ms), 3).size(), 3U);
  cr_assert_eq(paths.take_due_probes(at(500ms), 3).size(), 2U);
  cr_assert(paths.take_due_probes(at(900ms), 3).empty());
  paths.on_probed(at(700ms), EngineId("e0"), true);
  paths.on_probed(at(700ms), EngineId("e1"), false);
  cr_assert_null(paths.find_broken(EngineId("e0")));
  cr_assert_eq(paths.take_due_probes(at(1s), 10).size(), 3U, "e1 has just been tried");
}

Test(engine_reachability, checks_rarely_while_engines_are_silent) {
  EngineReachability paths(at(0s));
  int checks = 0;
  for (Duration now = 0s; now < 10s; now += 100ms) {
    paths.on_silence();
    if (!paths.check_due(at(now))) continue;
    ++checks;
    paths.on_check_started(at(now));
    paths.on_check_ended(at(now), true);
  }
  cr_assert_eq(checks, 10);
}
