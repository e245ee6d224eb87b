/// @file
/// Entry point of the node daemon.

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "common/crash_report.hpp"
#include "common/log.hpp"
#include "node/node_server.hpp"

namespace shuntbank {
namespace {

int run_node(const NodeSettings& settings) {
  asio::io_context loop(1);
  // First of all: until then a signal ends the process.
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  NodeServer node(loop, settings, [&loop] { loop.stop(); });
  signals.async_wait([&](const std::error_code& error, int) {
    if (error) return;
    node.leave();
    // A second signal stops at once, without draining.
    signals.async_wait([&loop](const std::error_code&, int) { loop.stop(); });
  });
  loop.run();
  return static_cast<int>(ExitCode::kSuccess);
}

int run_command_line(const std::vector<std::string>& arguments) {
  NodeSettings settings;
  OptionSet options = node_options(settings);
  const OptionsOutcome outcome =
      options.read(arguments, std::cout, std::cerr, [&] { return check_node_settings(settings); });
  if (!outcome.run) return static_cast<int>(outcome.code);
  return run_node(settings);
}

}  // namespace
}  // namespace shuntbank

int main(int argc, char** argv) {
  shuntbank::report_crashes();
  // The reader of the log may end between a check and a write.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return shuntbank::run_command_line({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    shuntbank::log_event(shuntbank::LogArea::kProcess, shuntbank::LogLevel::kError, "fatal",
                         {{"error", error.what()}});
    return static_cast<int>(shuntbank::ExitCode::kFailure);
  }
}
