/// @file
/// Entry point of the stand-in: emulates one platform or one engine per process.

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "common/log.hpp"
#include "config/option_set.hpp"
#include "net/address.hpp"
#include "net/asio_runtime.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"

namespace shuntbank {
namespace {

constexpr std::size_t kMaxStandinBody = 64UL << 20U;

/// Serves `standin` on its address until SIGTERM or SIGINT.
template <typename Standin>
void serve(asio::io_context& loop, const HttpServerSettings& settings, Standin& standin) {
  const HttpServer server(
      loop, settings,
      [&standin](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
        standin.handle(std::move(request), responder);
      });
  log_event(LogArea::kProcess, LogLevel::kInfo, "listening",
            {{"interface", "api"}, {"address", format_endpoint(server.local_endpoint())}});
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](const std::error_code&, int) { loop.stop(); });
  loop.run();
}

/// Adds the listening address, an option of both roles.
void add_listen(OptionSet& options, HttpServerSettings& server) {
  server.max_body = kMaxStandinBody;
  options.add("listen", "IP:PORT to listen on; port 0: any.", "127.0.0.1:0",
              [&server](const std::string& text) -> tl::expected<void, std::string> {
                const auto endpoint = parse_endpoint(text);
                if (!endpoint) return tl::make_unexpected(endpoint.error());
                server.listen = *endpoint;
                return {};
              });
  server.listen = *parse_endpoint("127.0.0.1:0");
}

/// Parses `NAME@VERSION` or `NAME@VERSION:ADAPTER,ADAPTER`.
tl::expected<ModelSpec, std::string> parse_model(const std::string& text) {
  const std::size_t at = text.find('@');
  if (at == std::string::npos || at == 0) {
    return tl::make_unexpected("'" + text + "' is not NAME@VERSION[:ADAPTER,...]");
  }
  ModelSpec model;
  model.name = text.substr(0, at);
  const std::size_t colon = std::min(text.find(':', at), text.size());
  model.version = text.substr(at + 1, colon - at - 1);
  std::size_t begin = colon + 1;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    model.adapters.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return model;
}

int run_platform(const std::vector<std::string>& arguments) {
  HttpServerSettings server;
  PlatformStandinSettings settings;
  OptionSet options("shuntbank-standin platform [options]");
  add_listen(options, server);
  options.add_unsigned("max-watches", settings.max_watches, 1, 10000,
                       "Maximum number of concurrent watches.");
  options.add_duration("machine-list-lag", settings.machine_list_lag, Duration(0),
                       std::chrono::minutes(10), "Lag of the machine list.");
  const OptionsOutcome outcome = options.read(arguments, std::cout, std::cerr);
  if (!outcome.run) return static_cast<int>(outcome.code);
  asio::io_context loop(1);
  AsioRuntime runtime(loop);
  PlatformStandin platform(runtime, settings);
  serve(loop, server, platform);
  return static_cast<int>(ExitCode::kSuccess);
}

int run_engine(const std::vector<std::string>& arguments) {
  HttpServerSettings server;
  EngineStandinSettings settings;
  OptionSet options("shuntbank-standin engine [options]");
  add_listen(options, server);
  options.add_flag("plain", settings.plain, "Emulate a plain service instead of a model engine.");
  options.add("model", "Model loaded at the start, NAME@VERSION[:ADAPTER,...]. May be repeated.",
              "", [&settings](const std::string& text) -> tl::expected<void, std::string> {
                const auto model = parse_model(text);
                if (!model) return tl::make_unexpected(model.error());
                settings.preloaded.push_back(*model);
                return {};
              });
  options.add_number("time-scale", settings.time_scale, 0.01, 1000,
                     "Emulated seconds per real second.");
  options.add_duration("load-lag", settings.load_lag, Duration(0), std::chrono::minutes(1),
                       "Age of load reports.");
  options.add_duration("step-base", settings.costs.step_base, Duration(1), std::chrono::minutes(1),
                       "Minimum emulated time of a batch step.");
  options.add_duration("step-per-sequence", settings.costs.step_per_sequence, Duration(0),
                       std::chrono::minutes(1), "Emulated time that each sequence adds to a step.");
  options.add_number("prefill-rate", settings.costs.prefill_tokens_per_second, 1, 1e12,
                     "Prompt tokens prefilled per emulated second.");
  std::uint64_t max_waiting = settings.costs.max_waiting;
  options.add_unsigned("max-waiting", max_waiting, 1, 1'000'000,
                       "Requests beyond this are refused.");
  std::uint64_t max_batch = settings.costs.max_batch;
  options.add_unsigned("max-batch", max_batch, 1, 100000,
                       "Maximum number of sequences decoded concurrently.");
  options.add_duration("role-change-time", settings.costs.role_change_time, Duration(0),
                       std::chrono::hours(1), "Emulated time of a role change.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX, "Random seed for lost cache events.");
  const OptionsOutcome outcome = options.read(arguments, std::cout, std::cerr);
  if (!outcome.run) return static_cast<int>(outcome.code);
  settings.costs.max_batch = max_batch;
  settings.costs.max_waiting = max_waiting;
  asio::io_context loop(1);
  AsioRuntime runtime(loop);
  EngineStandin engine(runtime, settings);
  serve(loop, server, engine);
  return static_cast<int>(ExitCode::kSuccess);
}

int print_usage(std::ostream& output, ExitCode code) {
  output << "usage: shuntbank-standin platform|engine [options]\n"
            "  Each has --help. --version prints the version.\n";
  return static_cast<int>(code);
}

int run_command_line(std::vector<std::string> arguments) {
  if (arguments.empty()) return print_usage(std::cerr, ExitCode::kUsage);
  const std::string command = arguments.front();
  arguments.erase(arguments.begin());
  if (command == "platform") return run_platform(arguments);
  if (command == "engine") return run_engine(arguments);
  if (command == "--help") return print_usage(std::cout, ExitCode::kSuccess);
  if (command == "--version") {
    std::cout << "shuntbank " SHUNTBANK_VERSION "\n";
    return static_cast<int>(ExitCode::kSuccess);
  }
  std::cerr << "'" << command << "' is not a known role\n";
  return print_usage(std::cerr, ExitCode::kUsage);
}

}  // namespace
}  // namespace shuntbank

int main(int argc, char** argv) {
  try {
    return shuntbank::run_command_line({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(shuntbank::ExitCode::kFailure);
  }
}
