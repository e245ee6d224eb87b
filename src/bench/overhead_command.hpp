/// @file
/// The command `overhead`: what a node adds to a request, against the same requests straight to the
/// engine, in turn, in one run.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench overhead` on a site that is running. scripts/overhead starts one.
ExitCode run_overhead_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors);

}  // namespace shuntbank
