#include "bench/configuration_command.hpp"

#include <algorithm>
#include <functional>
#include <ostream>

#include "common/time.hpp"
#include "protocol/configuration_message.hpp"

namespace shuntbank {
namespace {

struct ConfigurationSettings {
  std::uint64_t routes = 1450;
  std::uint64_t changed = 1;
  std::uint64_t rounds = 50;
};

relay::RouteConfiguration configuration_of(std::uint64_t routes) {
  relay::RouteConfiguration configuration;
  configuration.version = 1;
  configuration.services.push_back({ServiceName("service"), 100, std::nullopt});
  for (std::uint64_t i = 0; i < routes; ++i) {
    relay::Route route;
    route.name = "route-" + std::to_string(i);
    route.host = "host-" + std::to_string(i % 20) + ".example";
    route.path_prefix = "/path-" + std::to_string(i) + "/";
    route.split = {{ServiceName("service"), 1}};
    configuration.routes.push_back(std::move(route));
  }
  return configuration;
}

/// @return milliseconds that one of so many calls takes on average.
double ms_each(std::uint64_t rounds, const std::function<void()>& call) {
  const MonotonicTime begun = monotonic_now();
  for (std::uint64_t i = 0; i < rounds; ++i) call();
  return to_ms(monotonic_now() - begun) / static_cast<double>(rounds);
}

}  // namespace

ExitCode run_configuration_command(const std::vector<std::string>& arguments, std::ostream& output,
                                   std::ostream& errors) {
  ConfigurationSettings settings;
  OptionSet options("shuntbank-bench configuration [options]");
  options.add_unsigned("routes", settings.routes, 1, 1000000, "Routes in the configuration.");
  options.add_unsigned("changed", settings.changed, 0, 1000000,
                       "Routes that the newer one changes.");
  options.add_unsigned("rounds", settings.rounds, 1, 100000, "Times that each step is done.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const relay::RouteConfiguration held = configuration_of(settings.routes);
  relay::RouteConfiguration newer = held;
  for (std::uint64_t i = 0; i < std::min(settings.changed, settings.routes); ++i) {
    newer.routes[i].max_attempts = 7;
  }
  const ConfigurationSummary known = summarize(held, 1);
  const ConfigurationSummary own = summarize(newer, 2);
  const std::string call = encode(ConfigurationCall{known, kMaxConfigurationMessage});
  const std::string whole = encode(ConfigurationMessage{2, newer});
  const std::string part = encode(part_for(known, {2, newer}, own));
  const double summary_ms = ms_each(settings.rounds, [&] { summarize(newer, 2); });
  const double part_ms = ms_each(settings.rounds, [&] {
    encode(part_for(known, {2, newer}, own));
  });
  const double take_ms = ms_each(settings.rounds, [&] {
    auto message = decode_configuration(part);
    if (message) complete(std::move(*message), held);
  });
  const double whole_ms = ms_each(settings.rounds, [&] { decode_configuration(whole); });
  output << "call " << call.size() << " B, part " << part.size() << " B, whole " << whole.size()
         << " B; summary " << summary_ms << " ms, part " << part_ms << " ms to make and " << take_ms
         << " ms to take, whole " << whole_ms << " ms to take\n";
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
