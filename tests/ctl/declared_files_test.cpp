#include "ctl/declared_files.hpp"

#include <sstream>

#include "ctl/commands.hpp"
#include "support/property.hpp"

using namespace shuntbank;

namespace {

struct CommandResult {
  ExitCode code;
  std::string output;
  std::string errors;
};

CommandResult run(const std::vector<std::string>& arguments) {
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = run_ctl(arguments, output, errors);
  return {code, output.str(), errors.str()};
}

}  // namespace

Test(ctl, the_shipped_examples_are_valid) {
  for (const char* site : {"partida-guardada", "petalwire"}) {
    const CommandResult result =
        run({"validate", "-f", std::string(SHUNTBANK_SOURCE "/examples/") + site});
    cr_assert_eq(result.code, ExitCode::kSuccess, "%s", result.errors.c_str());
    cr_assert_eq(result.output, "19 objects are valid\n");
  }
}

Test(ctl, reports_unknown_commands_options_and_files) {
  cr_assert_eq(run({"aply"}).code, ExitCode::kUsage);
  cr_assert_eq(run({"apply", "--fil", "x"}).code, ExitCode::kUsage);
  cr_assert_eq(run({"validate", "-f", "/nonexistent.json"}).code, ExitCode::kInvalid);
  cr_assert_eq(run({"tenant-key", "--tenant", "t", "--grace", "10"}).code, ExitCode::kUsage);
  cr_assert_eq(run({"--help"}).code, ExitCode::kSuccess);
}
