/// @file
/// Seeded schedules of load, faults and operators, after each step of which the promises are
/// checked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace shuntbank::simulation {

/// Result of one schedule.
struct ScheduleResult {
  std::uint64_t seed = 0;
  std::string violation;            ///< The promise that was broken, or empty text.
  std::vector<std::string> events;  ///< What was done, in order, with the time of each.
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
};

/// Runs one schedule. The same seed gives the same result.
ScheduleResult run_schedule(std::uint64_t seed);

}  // namespace shuntbank::simulation
