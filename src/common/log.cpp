#include "common/log.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <mutex>

namespace shuntbank {
namespace {

constexpr std::array<std::string_view, 5> kLevelNames{"debug", "info", "warning", "error", "off"};
constexpr std::array<std::string_view, 7> kAreaNames{"callers",  "cluster", "config", "control",
                                                     "platform", "standin", "process"};

std::array<LogLevel, kAreaNames.size()> area_levels{
    LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo,
    LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo};

/// An spdlog sink that writes to standard output without blocking.
class LogSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  LogOutput output{STDOUT_FILENO};
  LogImportance importance = LogImportance::kOutcome;  ///< Of the line being logged.

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string line(formatted.data(), formatted.size());
    while (!line.empty() && line.back() == '\n') line.pop_back();
    output.write(monotonic_now(), importance, line);
  }
  void flush_() override {}
};

std::shared_ptr<LogSink>& sink() {
  static std::shared_ptr<LogSink> instance = std::make_shared<LogSink>();
  return instance;
}

spdlog::logger& spdlog_logger() {
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto created = std::make_shared<spdlog::logger>("shuntbank", sink());
    created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    created->set_level(spdlog::level::trace);
    return created;
  }();
  return *logger;
}

template <std::size_t N>
std::size_t index_of(const std::array<std::string_view, N>& names, std::string_view name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

tl::expected<void, std::string> apply_level(std::string_view item) {
  const std::size_t equals = item.find('=');
  const bool all_areas = equals == std::string_view::npos;
  const std::string_view level_name = all_areas ? item : item.substr(equals + 1);
  const std::size_t level = index_of(kLevelNames, level_name);
  if (level == kLevelNames.size()) {
    return tl::make_unexpected("unknown log level '" + std::string(level_name) + "'");
  }
  if (all_areas) {
    area_levels.fill(static_cast<LogLevel>(level));
    return {};
  }
  const std::size_t area = index_of(kAreaNames, item.substr(0, equals));
  if (area == kAreaNames.size()) {
    return tl::make_unexpected("unknown log area '" + std::string(item.substr(0, equals)) + "'");
  }
  area_levels.at(area) = static_cast<LogLevel>(level);
  return {};
}

bool is_plain(unsigned char c) {
  return std::isalnum(c) != 0 ||
         std::string_view("_-.:/@+%,").find(static_cast<char>(c)) != std::string_view::npos;
}

}  // namespace

tl::expected<void, std::string> set_log_levels(std::string_view text) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    auto result = apply_level(text.substr(0, comma));
    if (!result) return result;
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return {};
}

std::string escape_log_value(std::string_view text) {
  if (!text.empty() && std::all_of(text.begin(), text.end(), is_plain)) return std::string(text);
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < 0x20 || byte == 0x7f) {
      quoted += fmt::format("\\x{:02x}", byte);
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

void set_log_limits(const LogLimits& limits) {
  sink()->output.set_limits(limits);
}

std::uint64_t dropped_log_lines() {
  return sink()->output.dropped_lines();
}

void log_event(LogArea area, LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields, LogImportance importance) {
  if (level < area_levels.at(static_cast<std::size_t>(area))) return;
  std::string line = "level=" + std::string(kLevelNames.at(static_cast<std::size_t>(level)));
  line += " area=" + std::string(kAreaNames.at(static_cast<std::size_t>(area)));
  line += " event=" + std::string(event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += escape_log_value(field.value);
  }
  sink()->importance = level >= LogLevel::kWarning ? LogImportance::kProblem : importance;
  spdlog_logger().info(line);
}

}  // namespace shuntbank
