/// @file
/// The commands of `shuntbank-bench`.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/option_set.hpp"

namespace shuntbank {

/// Runs one command line.
/// @param arguments the command and its options, without the program's name.
ExitCode run_bench(std::vector<std::string> arguments, std::ostream& output, std::ostream& errors);

}  // namespace shuntbank
