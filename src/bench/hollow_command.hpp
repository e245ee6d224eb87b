/// @file
/// The command `hollow`: runs many nodes in one process, with the real code and codec on a
/// simulated network, to measure how control-plane cost grows with the fleet.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench hollow`.
ExitCode run_hollow_command(const std::vector<std::string>& arguments, std::ostream& output,
                            std::ostream& errors);

}  // namespace shuntbank
