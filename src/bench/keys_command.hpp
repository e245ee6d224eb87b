/// @file
/// `shuntbank-bench keys`: measures lookup time and memory of tenant keys on a node.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs `shuntbank-bench keys`.
ExitCode run_keys_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors);

}  // namespace shuntbank
