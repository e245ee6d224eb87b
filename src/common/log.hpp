/// @file
/// Structured logs: one line of key=value pairs per event. Never log prompt text or tenant keys.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>

#include "common/log_output.hpp"

namespace shuntbank {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

/// Parts of the system whose log levels are set independently.
enum class LogArea { kCallers, kCluster, kConfig, kControl, kPlatform, kStandin, kProcess };

/// One key=value pair of a log line. Text is escaped when it is written.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view name, std::string_view text) : key(name), value(text) {}
  LogField(std::string_view name, const char* text) : key(name), value(text) {}
  LogField(std::string_view name, const std::string& text) : key(name), value(text) {}
  LogField(std::string_view name, bool flag) : key(name), value(flag ? "true" : "false") {}
  template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
  LogField(std::string_view name, Number number) : key(name), value(std::to_string(number)) {}
};

/// Sets the levels from text such as `info` or `info,cluster=debug`.
/// @return an error message that names the unknown level or area, if any.
tl::expected<void, std::string> set_log_levels(std::string_view text);

/// Limits the lines per second of this process; there is no limit by default.
void set_log_limits(const LogLimits& limits);

/// @return the number of lines dropped by the limits or because the descriptor was full.
std::uint64_t dropped_log_lines();

/// Writes `time=… level=… area=… event=NAME key=value …` to standard output without blocking.
/// @param importance decides what is dropped first; warnings and errors are dropped last anyway.
void log_event(LogArea area, LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields = {},
               LogImportance importance = LogImportance::kOutcome);

/// @return `text`, quoted and escaped if it is empty or contains anything but letters, digits and
/// `_-.:/@+%,`.
std::string escape_log_value(std::string_view text);

}  // namespace shuntbank
