/// @file
/// Structured logs: one line of key=value pairs for each event. Never pass prompt text or keys.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>

#include "common/log_output.hpp"

namespace shuntbank {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

/// Parts of the system whose level can be set apart from the others.
enum class LogArea { kCallers, kCluster, kConfig, kControl, kPlatform, kStandin, kProcess };

/// One pair of a log line. Numbers are converted; text is escaped when it is written.
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
/// @return nothing, or a message that names the unknown level or area.
tl::expected<void, std::string> set_log_levels(std::string_view text);

/// Bounds the lines a second of this process; without a call there is no bound.
void set_log_limits(const LogLimits& limits);

/// @return lines that were left out, for want of room or by the bounds.
std::uint64_t dropped_log_lines();

/// Writes `time=… level=… area=… event=NAME key=value …` to standard output, never waiting.
/// @param importance what may be left out first under load; warnings and errors go last anyway.
void log_event(LogArea area, LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields = {},
               LogImportance importance = LogImportance::kOutcome);

/// @return `text` quoted and escaped when it holds anything but plain characters.
std::string escape_log_value(std::string_view text);

}  // namespace shuntbank
