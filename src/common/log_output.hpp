/// @file
/// Non-blocking output of log lines to a descriptor, with limits on lines per second. Lines that do
/// not fit are dropped and counted.
#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// Decides which lines are dropped first when not all can be written.
enum class LogImportance {
  kStep,     ///< One step of a request; dropped first.
  kOutcome,  ///< The final outcome of a request, or a change of the process's state.
  kProblem,  ///< A warning or an error; dropped only if the descriptor is full.
};

/// Limits on lines per second; zero means no limit.
struct LogLimits {
  std::uint32_t steps_per_second = 0;
  std::uint32_t lines_per_second = 0;  ///< Steps and outcomes together.
};

/// Writes lines to one descriptor. Not thread safe.
class LogOutput {
 public:
  explicit LogOutput(int descriptor) : descriptor_(descriptor) {}

  void set_limits(const LogLimits& limits) { limits_ = limits; }

  /// Writes a line without blocking. @param line without the newline.
  /// @return whether it was written.
  bool write(MonotonicTime now, LogImportance importance, const std::string& line);

  /// @return the number of lines dropped so far.
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  bool admit(MonotonicTime now, LogImportance importance);
  bool try_write(const std::string& line) const;

  int descriptor_;
  LogLimits limits_;
  MonotonicTime second_start_{};
  std::uint32_t steps_ = 0;
  std::uint32_t lines_ = 0;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t reported_drops_ = 0;  ///< How many of `dropped_lines_` the log has reported.
};

}  // namespace shuntbank
