#include "bench/commands.hpp"

#include <functional>
#include <map>
#include <ostream>

#include "bench/configuration_command.hpp"
#include "bench/hollow_command.hpp"
#include "bench/keys_command.hpp"
#include "bench/load_command.hpp"
#include "bench/overhead_command.hpp"
#include "bench/placement_command.hpp"
#include "bench/simulate_command.hpp"

namespace shuntbank {
namespace {

using CommandFunction =
    std::function<ExitCode(const std::vector<std::string>&, std::ostream&, std::ostream&)>;

struct Command {
  std::string help;
  CommandFunction run;
};

const std::map<std::string, Command>& commands() {
  static const std::map<std::string, Command> table{
      {"configuration",
       {"Cost of transferring a configuration between nodes, in bytes and time.",
        run_configuration_command}},
      {"load", {"Open-loop load on a running site; verifies every answer.", run_load_command}},
      {"overhead",
       {"Overhead of a node compared with direct requests to the engine.", run_overhead_command}},
      {"hollow",
       {"Control-plane cost of many simulated nodes in one process.", run_hollow_command}},
      {"keys", {"Lookup time and memory of tenant keys on a node.", run_keys_command}},
      {"placement",
       {"Cost of choosing an engine and of reading a list of engines.", run_placement_command}},
      {"simulate", {"Seeded fault schedules with invariants checked.", run_simulate_command}},
  };
  return table;
}

void print_usage(std::ostream& output) {
  output << "usage: shuntbank-bench COMMAND [options]\n\ncommands (each has --help):\n";
  for (const auto& [name, command] : commands()) {
    output << "  " << name << "\n      " << command.help << "\n";
  }
}

}  // namespace

ExitCode run_bench(std::vector<std::string> arguments, std::ostream& output, std::ostream& errors) {
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help") {
    print_usage(output);
    return ExitCode::kSuccess;
  }
  if (name == "--version") {
    output << "shuntbank " SHUNTBANK_VERSION "\n";
    return ExitCode::kSuccess;
  }
  const auto command = commands().find(name);
  if (command == commands().end()) {
    errors << "'" << name << "' is not a known command\n";
    print_usage(errors);
    return ExitCode::kUsage;
  }
  arguments.erase(arguments.begin());
  return command->second.run(arguments, output, errors);
}

}  // namespace shuntbank
