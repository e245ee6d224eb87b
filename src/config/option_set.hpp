/// @file
/// One definition of a program's options, for the command line and the settings file alike.
/// All findings are reported together, each with its file, line and option.
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

/// Exit codes of all programs. docs/OPERATIONS.md documents them.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,   ///< What was asked for failed.
  kUsage = 2,     ///< Options or settings are wrong.
  kConflict = 3,  ///< An edit race: somebody else changed the same objects.
  kInvalid = 4,   ///< Declared objects are wrong.
};

/// What a program does after its options were read.
struct OptionsOutcome {
  bool run = false;  ///< False: exit with `code` at once.
  ExitCode code = ExitCode::kSuccess;
};

/// Options of one program or of one of its commands.
class OptionSet {
 public:
  /// @param usage first line of the help text, such as `shuntbankd [options]`.
  explicit OptionSet(std::string usage);

  using Setter = std::function<tl::expected<void, std::string>(const std::string&)>;

  /// Adds an option whose text `setter` checks and stores.
  /// @param default_text shown in the help only; empty when there is none.
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

  /// Names an option that must be given.
  void require(const std::string& name);

  /// Accepts words that are not options, such as file names.
  void accept_positional(std::vector<std::string>& target, const std::string& help);

  /// Reads the command line and the file that `--settings` names; flags go before the file.
  /// Answers `--help`, `--version` and `--check-settings` itself and reports all findings.
  /// @param check what the options alone cannot check; its findings are reported with the others.
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
