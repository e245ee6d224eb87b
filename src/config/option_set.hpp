/// @file
/// Program options, read from the command line and a settings file.
/// All findings (validation errors) are reported together, each with its file, line and option.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/findings.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// Exit codes of all programs. See docs/OPERATIONS.md.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,   ///< The requested operation failed.
  kUsage = 2,     ///< Invalid options or settings.
  kConflict = 3,  ///< Edit conflict: the same objects were changed concurrently.
  kInvalid = 4,   ///< Invalid declared objects.
};

/// What a program does after reading its options.
struct OptionsOutcome {
  bool run = false;  ///< False: exit with `code` at once.
  ExitCode code = ExitCode::kSuccess;
};

/// Options of one program or command.
class OptionSet {
 public:
  /// @param usage the first line of the help text, such as `shuntbankd [options]`.
  explicit OptionSet(std::string usage);

  using Setter = std::function<tl::expected<void, std::string>(const std::string&)>;

  /// Adds an option. `setter` validates and stores its value.
  /// @param default_text shown in the help only; empty if there is no default.
  void add(const std::string& name, const std::string& help, const std::string& default_text,
           Setter setter);

  void add_text(const std::string& name, std::string& target, const std::string& help);
  void add_text_list(const std::string& name, std::vector<std::string>& target,
                     const std::string& help);
  void add_unsigned(const std::string& name, std::uint64_t& target, std::uint64_t low,
                    std::uint64_t high, const std::string& help);
  void add_number(const std::string& name, double& target, double low, double high,
                  const std::string& help);
  void add_duration(const std::string& name, Duration& target, Duration low, Duration high,
                    const std::string& help);
  void add_byte_size(const std::string& name, std::uint64_t& target, std::uint64_t low,
                     std::uint64_t high, const std::string& help);
  void add_flag(const std::string& name, bool& target, const std::string& help);

  /// Marks an option as required.
  void require(const std::string& name);

  /// Accepts positional arguments, such as file names.
  void accept_positional(std::vector<std::string>& target, const std::string& help);

  /// Reads the command line and the `--settings` file; the command line takes precedence.
  /// Handles `--help`, `--version` and `--check-settings`, and reports all findings.
  /// @param check validates options together; its findings are reported with the others.
  OptionsOutcome read(const std::vector<std::string>& arguments, std::ostream& output,
                      std::ostream& errors, const std::function<Findings()>& check = {});

  /// Writes the help text.
  void print_help(std::ostream& output) const;

 private:
  Findings parse(const std::vector<std::string>& arguments);
  struct Option {
    std::string name;
    std::string help;
    std::string default_text;
    Setter setter;
    bool is_flag = false;
    bool is_list = false;
    bool required = false;
    bool given = false;
  };

  Option* find(const std::string& name);
  void parse_command_line(const std::vector<std::string>& arguments, Findings& findings);
  void parse_file(const std::string& path, Findings& findings);
  void parse_line(const std::string& line, const std::string& place, Findings& findings);
  void apply(Option& option, const std::string& value, const std::string& place,
             Findings& findings);

  std::string usage_;
  std::vector<Option> options_;
  std::vector<std::string>* positional_ = nullptr;
  std::string positional_help_;
  std::string settings_path_;
  bool help_ = false;
  bool version_ = false;
  bool check_settings_ = false;
};

}  // namespace shuntbank
