/// @file
/// The command `load`: runs load and prints a table of the results.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench load`. Fails when an answer was truncated or mismatched.
ExitCode run_load_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors);

}  // namespace shuntbank
