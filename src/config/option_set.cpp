#include "config/option_set.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

#include "common/log.hpp"
#include "common/units.hpp"

namespace shuntbank {
namespace {

namespace po = boost::program_options;

constexpr const char* kCommandLine = "command line";

std::string format_number(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

template <typename Number>
tl::expected<Number, std::string> parse_number(const std::string& text, Number low, Number high) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || rest != end || value < low || value > high) {
    return tl::make_unexpected("'" + text + "' is not a number from " +
                               format_number(static_cast<double>(low)) + " to " +
                               format_number(static_cast<double>(high)));
  }
  return value;
}

/// Stores a parsed value, or returns the parser's error message.
template <typename Target, typename Result>
tl::expected<void, std::string> store(Target& target, const Result& result) {
  if (!result) return tl::make_unexpected(result.error());
  target = *result;
  return {};
}

}  // namespace

OptionSet::OptionSet(std::string usage) : usage_(std::move(usage)) {
  add_flag("help", help_, "Print this text and exit.");
  add_flag("version", version_, "Print the version and exit.");
  add_flag("check-settings", check_settings_, "Check all options and settings and exit.");
  add_text("settings", settings_path_, "File of settings, one OPTION = VALUE a line.");
  add("log-level",
      "Log level, and levels of areas: LEVEL[,AREA=LEVEL...]; levels debug, info, "
      "warning, error, off; areas callers, cluster, config, control, platform, "
      "standin, process.",
      "info", [](const std::string& text) { return set_log_levels(text); });
}

void OptionSet::add(const std::string& name, const std::string& help,
                    const std::string& default_text, Setter setter) {
  options_.push_back({name, help, default_text, std::move(setter)});
}

void OptionSet::add_text(const std::string& name, std::string& target, const std::string& help) {
  add(name, help, target, [&target](const std::string& text) -> tl::expected<void, std::string> {
    if (text.empty()) return tl::make_unexpected("must not be empty");
    target = text;
    return {};
  });
}

void OptionSet::add_text_list(const std::string& name, std::vector<std::string>& target,
                              const std::string& help) {
  add(name, help + " May be repeated.", "",
      [&target](const std::string& text) -> tl::expected<void, std::string> {
        if (text.empty()) return tl::make_unexpected("must not be empty");
        target.push_back(text);
        return {};
      });
  options_.back().is_list = true;
}

void OptionSet::add_unsigned(const std::string& name, std::uint64_t& target, std::uint64_t low,
                             std::uint64_t high, const std::string& help) {
  add(name, help, std::to_string(target), [&target, low, high](const std::string& text) {
    return store(target, parse_number<std::uint64_t>(text, low, high));
  });
}

void OptionSet::add_number(const std::string& name, double& target, double low, double high,
                           const std::string& help) {
  add(name, help, format_number(target), [&target, low, high](const std::string& text) {
    return store(target, parse_number<double>(text, low, high));
  });
}

void OptionSet::add_duration(const std::string& name, Duration& target, Duration low, Duration high,
                             const std::string& help) {
  add(name, help, format_duration(target),
      [&target, low, high](const std::string& text) -> tl::expected<void, std::string> {
        const auto parsed = parse_duration(text);
        if (parsed && (*parsed < low || *parsed > high)) {
          return tl::make_unexpected("'" + text + "' is not from " + format_duration(low) + " to " +
                                     format_duration(high));
        }
        return store(target, parsed);
      });
}

void OptionSet::add_byte_size(const std::string& name, std::uint64_t& target, std::uint64_t low,
                              std::uint64_t high, const std::string& help) {
  add(name, help, std::to_string(target),
      [&target, low, high](const std::string& text) -> tl::expected<void, std::string> {
        const auto parsed = parse_byte_size(text);
        if (parsed && (*parsed < low || *parsed > high)) {
          return tl::make_unexpected("'" + text + "' is not from " + std::to_string(low) + " to " +
                                     std::to_string(high) + " bytes");
        }
        return store(target, parsed);
      });
}

void OptionSet::add_flag(const std::string& name, bool& target, const std::string& help) {
  add(name, help, "", [&target](const std::string& text) -> tl::expected<void, std::string> {
    if (text != "true" && text != "false") return tl::make_unexpected("must be true or false");
    target = text == "true";
    return {};
  });
  options_.back().is_flag = true;
}

void OptionSet::require(const std::string& name) {
  find(name)->required = true;
}

void OptionSet::accept_positional(std::vector<std::string>& target, const std::string& help) {
  positional_ = &target;
  positional_help_ = help;
}

OptionSet::Option* OptionSet::find(const std::string& name) {
  const auto found = std::find_if(options_.begin(), options_.end(),
                                  [&name](const Option& option) { return option.name == name; });
  return found == options_.end() ? nullptr : &*found;
}

Findings OptionSet::parse(const std::vector<std::string>& arguments) {
  Findings findings;
  parse_command_line(arguments, findings);
  if (!settings_path_.empty()) parse_file(settings_path_, findings);
  if (help_ || version_) return {};
  for (const Option& option : options_) {
    if (option.required && !option.given) findings.add("--" + option.name, "is required");
  }
  return findings;
}

void OptionSet::parse_command_line(const std::vector<std::string>& arguments, Findings& findings) {
  po::options_description description;
  for (const Option& option : options_) {
    auto* value = option.is_flag ? po::value<std::string>()->implicit_value("true")
                                 : po::value<std::string>();
    description.add_options()(option.name.c_str(), value, "");
  }
  // Unknown arguments are collected, so that all are reported and not just the first.
  using Style = po::command_line_style::style_t;
  const int style = Style::allow_long | Style::long_allow_adjacent | Style::long_allow_next;
  // Each option is parsed separately, as the library stops at the first error.
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument.rfind("--", 0) != 0) {
      if (positional_ != nullptr) positional_->push_back(argument);
      if (positional_ == nullptr) findings.add(kCommandLine, "'" + argument + "' is not an option");
      continue;
    }
    const std::size_t equals = argument.find('=');
    Option* option = find(argument.substr(2, equals == std::string::npos ? equals : equals - 2));
    if (option == nullptr) {
      findings.add(kCommandLine, "'" + argument + "' is not a known option");
      continue;
    }
    std::vector<std::string> group{argument};
    const bool value_is_next_argument = equals == std::string::npos && !option->is_flag;
    if (value_is_next_argument && i + 1 < arguments.size()) group.push_back(arguments[++i]);
    try {
      const auto parsed = po::command_line_parser(group).options(description).style(style).run();
      for (const auto& item : parsed.options) {
        apply(*option, item.value.empty() ? "true" : item.value.front(), "--" + option->name,
              findings);
      }
    } catch (const po::error& error) {
      findings.add(kCommandLine, error.what());
    }
  }
  for (Option& option : options_) option.given = option.given && !option.is_list;
}

void OptionSet::parse_file(const std::string& path, Findings& findings) {
  std::ifstream file(path);
  if (!file) {
    findings.add("--settings", "cannot read '" + path + "'");
    return;
  }
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    parse_line(line, path + ":" + std::to_string(number), findings);
  }
}

void OptionSet::parse_line(const std::string& line, const std::string& place, Findings& findings) {
  po::options_description description;
  for (const Option& option : options_) {
    description.add_options()(option.name.c_str(), po::value<std::string>(), "");
  }
  std::istringstream input(line);
  try {
    for (const auto& item : po::parse_config_file(input, description, true).options) {
      Option* option = find(item.string_key);
      if (option == nullptr) {
        findings.add(place, "'" + item.string_key + "' is not a known option");
      } else if (!option->given) {
        apply(*option, item.value.front(), place + ": " + option->name, findings);
      }
    }
  } catch (const po::error& error) {
    findings.add(place, error.what());
  }
}

void OptionSet::apply(Option& option, const std::string& value, const std::string& place,
                      Findings& findings) {
  const auto result = option.setter(value);
  if (!result) findings.add(place, result.error());
  option.given = true;
}

OptionsOutcome OptionSet::read(const std::vector<std::string>& arguments, std::ostream& output,
                               std::ostream& errors, const std::function<Findings()>& check) {
  Findings findings = parse(arguments);
  if (check) findings.append(check(), "");
  if (help_) {
    print_help(output);
    return {false, ExitCode::kSuccess};
  }
  if (version_) {
    output << "shuntbank " SHUNTBANK_VERSION "\n";
    return {false, ExitCode::kSuccess};
  }
  if (!findings.empty()) {
    errors << findings.to_text();
    return {false, ExitCode::kUsage};
  }
  if (check_settings_) {
    output << "settings are valid\n";
    return {false, ExitCode::kSuccess};
  }
  return {true, ExitCode::kSuccess};
}

void OptionSet::print_help(std::ostream& output) const {
  output << "usage: " << usage_ << "\n";
  if (positional_ != nullptr) output << "  " << positional_help_ << "\n";
  output << "\noptions:\n";
  for (const Option& option : options_) {
    output << "  --" << option.name << (option.is_flag ? "" : " VALUE") << "\n      "
           << option.help;
    if (option.required) output << " Required.";
    if (!option.default_text.empty()) output << " Default: " << option.default_text << ".";
    output << "\n";
  }
}

}  // namespace shuntbank
