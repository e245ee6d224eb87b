/// @file
/// The command `load`: runs load and prints a table.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench load`. Fails when an answer was cut or crossed.
ExitCode run_load_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors);

}  // namespace shuntbank
