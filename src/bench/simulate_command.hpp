/// @file
/// The command `simulate`: runs seeded schedules of faults and reports broken promises.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench simulate`. Fails when a promise was broken.
ExitCode run_simulate_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors);

}  // namespace shuntbank
