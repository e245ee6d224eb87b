/// @file
/// Entry point of the load generator and experiment tool.

#include <iostream>

#include "bench/commands.hpp"

int main(int argc, char** argv) {
  try {
    return static_cast<int>(shuntbank::run_bench({argv + 1, argv + argc}, std::cout, std::cerr));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(shuntbank::ExitCode::kFailure);
  }
}
