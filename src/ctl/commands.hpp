/// @file
/// The commands of `shuntbankctl`. docs/OPERATIONS.md describes them.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs one command line.
/// @param arguments the command and its options, without the program's name.
ExitCode run_ctl(std::vector<std::string> arguments, std::ostream& output, std::ostream& errors);

}  // namespace shuntbank
