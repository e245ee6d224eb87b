/// @file
/// `shuntbank-bench configuration`: measures the cost of transferring a
/// configuration between nodes.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench configuration`.
ExitCode run_configuration_command(const std::vector<std::string>& arguments, std::ostream& output,
                                   std::ostream& errors);

}  // namespace shuntbank
