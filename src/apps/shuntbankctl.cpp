/// @file
/// Entry point of the operators' command-line tool.

#include <iostream>

#include "ctl/commands.hpp"

int main(int argc, char** argv) {
  try {
    return static_cast<int>(shuntbank::run_ctl({argv + 1, argv + argc}, std::cout, std::cerr));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(shuntbank::ExitCode::kFailure);
  }
}
