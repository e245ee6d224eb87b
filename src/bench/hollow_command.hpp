/// @file
/// The command `hollow`: measures how control-plane cost grows with the fleet. Hollow nodes run the
/// production code and codec, many of them in one process, on a simulated network.
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
