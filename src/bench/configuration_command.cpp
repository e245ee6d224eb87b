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
  std::uint64_t changed_routes = 1;
  std::uint64_t rounds = 50;
};

relay::RouteConfiguration make_configuration(std::uint64_t routes) {
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

/// @return mean time of one call in milliseconds.
double mean_ms(std::uint64_t rounds, const std::function<void()>& operation) {
  const MonotonicTime start = monotonic_now();
  for (std::uint64_t i = 0; i < rounds; ++i) operation();
  return to_ms(monotonic_now() - start) / static_cast<double>(rounds);
}

}  // namespace

ExitCode run_configuration_command(const std::vector<std::string>& arguments, std::ostream& output,
                                   std::ostream& errors) {
  ConfigurationSettings settings;
  OptionSet options("shuntbank-bench configuration [options]");
  options.add_unsigned("routes", settings.routes, 1, 1000000, "Routes in the configuration.");
  options.add_unsigned("changed", settings.changed_routes, 0, 1000000,
                       "Routes that the new configuration changes.");
  options.add_unsigned("rounds", settings.rounds, 1, 100000, "Repetitions of each step.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const relay::RouteConfiguration old_configuration = make_configuration(settings.routes);
  relay::RouteConfiguration new_configuration = old_configuration;
  for (std::uint64_t i = 0; i < std::min(settings.changed_routes, settings.routes); ++i) {
    new_configuration.routes[i].max_attempts = 7;
  }
  const ConfigurationSummary old_summary = summarize(old_configuration, 1);
  const ConfigurationSummary new_summary = summarize(new_configuration, 2);
  const std::string call_message = encode(ConfigurationCall{old_summary, kMaxConfigurationMessage});
  const std::string full_message = encode(ConfigurationMessage{2, new_configuration});
  const std::string delta_message =
      encode(make_delta(old_summary, {2, new_configuration}, new_summary));
  const double summary_ms = mean_ms(settings.rounds, [&] { summarize(new_configuration, 2); });
  const double encode_delta_ms = mean_ms(settings.rounds, [&] {
    encode(make_delta(old_summary, {2, new_configuration}, new_summary));
  });
  const double apply_delta_ms = mean_ms(settings.rounds, [&] {
    auto message = decode_configuration(delta_message);
    if (message) apply_delta(std::move(*message), old_configuration);
  });
  const double decode_full_ms =
      mean_ms(settings.rounds, [&] { decode_configuration(full_message); });
  output << "call " << call_message.size() << " B, delta " << delta_message.size() << " B, full "
         << full_message.size() << " B; summary " << summary_ms << " ms, delta " << encode_delta_ms
         << " ms to encode and " << apply_delta_ms << " ms to apply, full " << decode_full_ms
         << " ms to decode\n";
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
