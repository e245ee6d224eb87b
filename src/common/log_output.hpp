/// @file
/// Where log lines go: a descriptor that is never waited for, with a bound on lines a second. Lines
/// that find no room are left out and counted.
#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// How much a line matters when not all can be written.
enum class LogImportance {
  kStep,     ///< One step of a request; the first to go.
  kOutcome,  ///< The final outcome of a request, or a change of what the process believes.
  kProblem,  ///< A warning or an error; only a full descriptor holds it back.
};

/// Bounds on lines a second; zero means no bound.
struct LogLimits {
  std::uint32_t steps_per_second = 0;
  std::uint32_t lines_per_second = 0;  ///< Steps and outcomes together.
};

/// Writes lines to one descriptor. Not thread safe.
class LogOutput {
 public:
  explicit LogOutput(int descriptor) : descriptor_(descriptor) {}

  void set_limits(const LogLimits& limits) { limits_ = limits; }

  /// Writes a line without waiting. @param line without its end of line.
  /// @return whether it was written.
  bool write(MonotonicTime now, LogImportance importance, const std::string& line);

  /// @return lines left out so far.
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
  std::uint64_t reported_drops_ = 0;  ///< Of `dropped_lines_`, told in the log itself.
};

}  // namespace shuntbank
