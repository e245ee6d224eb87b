/// @file
/// The command `overhead`: measures what a node adds to a request, alternating requests through the
/// node with direct requests to the engine.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench overhead` on a running site. scripts/overhead starts one.
ExitCode run_overhead_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors);

}  // namespace shuntbank
