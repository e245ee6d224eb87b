/// @file
/// `shuntbank-bench placement`: measures what choosing an engine and reading a list of engines
/// cost.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench placement`.
ExitCode run_placement_command(const std::vector<std::string>& arguments, std::ostream& output,
                               std::ostream& errors);

}  // namespace shuntbank
