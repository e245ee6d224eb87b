/// @file
/// Seeded schedules of requests, faults and operator edits. Invariants are checked after each step.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace shuntbank::simulation {

/// Result of one schedule.
struct ScheduleResult {
  std::uint64_t seed = 0;
  std::string violation;            ///< First violated invariant, or empty text.
  std::vector<std::string> events;  ///< Actions in order, each with its time.
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
};

/// Runs one schedule. The same seed gives the same result.
ScheduleResult run_schedule(std::uint64_t seed);

}  // namespace shuntbank::simulation
