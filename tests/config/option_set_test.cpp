#include "config/option_set.hpp"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

struct Parsed {
  OptionsOutcome outcome;
  std::string errors;
  std::string name;
  Duration wait = 1s;
  std::uint64_t count = 1;
};

Parsed parse(const std::vector<std::string>& arguments) {
  Parsed parsed;
  OptionSet options("test [options]");
  options.add_text("name", parsed.name, "A name.");
  options.require("name");
  options.add_duration("wait", parsed.wait, 1ms, 1h, "A wait.");
  options.add_unsigned("count", parsed.count, 1, 9, "A count.");
  std::ostringstream output;
  std::ostringstream errors;
  parsed.outcome = options.read(arguments, output, errors);
  parsed.errors = errors.str();
  return parsed;
}

std::size_t count_lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

std::string write_settings(const std::string& text) {
  const std::string path = "/tmp/shuntbank_settings_" + std::to_string(getpid());
  std::ofstream(path) << text;
  return path;
}

}  // namespace

Test(option_set, parses_command_line_options) {
  const Parsed parsed = parse({"--name", "n", "--wait=250ms", "--count", "3"});
  cr_assert(parsed.outcome.run, "%s", parsed.errors.c_str());
  cr_assert(parsed.name == "n" && parsed.wait == 250ms && parsed.count == 3);
}

Test(option_set, reports_all_findings_together) {
  const Parsed parsed = parse({"--wait", "5", "--count=12", "--nme", "stray"});
  cr_assert(!parsed.outcome.run && parsed.outcome.code == ExitCode::kUsage);
  cr_assert_eq(count_lines(parsed.errors), 5, "%s", parsed.errors.c_str());
}

Test(option_set, reports_file_and_line) {
  const std::string path = write_settings("name = n\nwait = 5\n\nspeed = 1\n");
  const Parsed parsed = parse({"--settings", path});
  std::remove(path.c_str());
  cr_assert_eq(parsed.outcome.code, ExitCode::kUsage);
  cr_assert_neq(parsed.errors.find(":2: wait: "), std::string::npos, "%s", parsed.errors.c_str());
  cr_assert_neq(parsed.errors.find(":4: 'speed'"), std::string::npos, "%s", parsed.errors.c_str());
}

Test(option_set, command_line_overrides_the_file) {
  const std::string path = write_settings("name = file\ncount = 5\n");
  const Parsed parsed = parse({"--name", "flag", "--settings", path});
  std::remove(path.c_str());
  cr_assert(parsed.outcome.run && parsed.name == "flag" && parsed.count == 5);
}

Test(option_set, handles_help_and_version) {
  cr_assert(!parse({"--help"}).outcome.run);
  cr_assert_eq(parse({"--version"}).outcome.code, ExitCode::kSuccess);
}
