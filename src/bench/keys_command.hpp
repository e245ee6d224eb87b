/// @file
/// `shuntbank-bench keys`: what tenants' keys cost a node at a size.
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
