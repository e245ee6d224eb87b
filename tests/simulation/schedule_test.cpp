#include "simulation/schedule.hpp"

#include <criterion/criterion.h>

#include "common/log.hpp"
#include "simulation/fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::simulation;

Test(schedule, invariants_hold_over_a_fixed_range_of_seeds) {
  cr_assert(set_log_levels("off").has_value());
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const ScheduleResult result = run_schedule(seed);
    cr_assert(result.violation.empty(), "seed %lu: %s", seed, result.violation.c_str());
    cr_assert_gt(result.completed, 0);
  }
}

Test(schedule, the_same_seed_gives_the_same_events) {
  cr_assert(set_log_levels("off").has_value());
  const ScheduleResult first = run_schedule(77);
  const ScheduleResult second = run_schedule(77);
  cr_assert(first.events == second.events);
  cr_assert_eq(first.completed, second.completed);
}

// Regression test for seeds that violated an invariant.
Test(schedule, invariants_hold_for_seeds_that_failed_before) {
  cr_assert(set_log_levels("off").has_value());
  for (const std::uint64_t seed :
       {105, 133, 182, 187, 194, 197, 223, 638, 1181, 1192, 1196, 1999}) {
    const ScheduleResult result = run_schedule(seed);
    cr_assert(result.violation.empty(), "seed %lu: %s", seed, result.violation.c_str());
  }
}

Test(fleet, a_change_reaches_every_node_of_three_regions) {
  cr_assert(set_log_levels("off").has_value());
  FleetSettings settings;
  settings.nodes = 24;
  settings.zones = 6;
  settings.regions = 3;
  settings.engines = 6;
  Fleet fleet(settings);
  fleet.configure();
  fleet.edit_tenant(0, "everywhere");
  fleet.run_for(std::chrono::seconds(14));
  cr_assert_eq(fleet.check_settled(), "", "%s", fleet.check_settled().c_str());
}
