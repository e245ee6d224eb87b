/// @file
/// The command `simulate`: runs seeded fault schedules and reports violated invariants.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench simulate`. Fails when an invariant was violated.
ExitCode run_simulate_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors);

}  // namespace shuntbank
