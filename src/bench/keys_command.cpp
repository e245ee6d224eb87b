#include "bench/keys_command.hpp"

#include <malloc.h>

#include <ostream>

#include "common/hash.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank {
namespace {

struct KeysSettings {
  std::uint64_t tenants = 10000;
  std::uint64_t keys_each = 3;
  std::uint64_t requests = 1000000;
};

std::string key_of(std::uint64_t tenant, std::uint64_t key) {
  return "key-" + std::to_string(tenant) + "-" + std::to_string(key);
}

/// Hashes as the adapter does when a configuration comes.
relay::RouteConfiguration configuration_of(const KeysSettings& settings) {
  relay::RouteConfiguration configuration;
  configuration.version = 1;
  relay::Route route;
  route.host = "site";
  route.path_prefix = "/";
  configuration.routes = {route};
  configuration.tenants.emplace();
  for (std::uint64_t i = 0; i < settings.tenants; ++i) {
    relay::DeclaredTenant tenant;
    tenant.name = TenantName("tenant-" + std::to_string(i));
    for (std::uint64_t k = 0; k < settings.keys_each; ++k) {
      tenant.keys.push_back({sha256_hex(key_of(i, k)), std::nullopt});
    }
    configuration.tenants->push_back(std::move(tenant));
  }
  return configuration;
}

double bytes_in_use() {
  return static_cast<double>(mallinfo2().uordblks);
}

}  // namespace

ExitCode run_keys_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors) {
  KeysSettings settings;
  OptionSet options("shuntbank-bench keys [options]");
  options.add_unsigned("tenants", settings.tenants, 1, 1000000, "Tenants in the configuration.");
  options.add_unsigned("keys", settings.keys_each, 1, 100, "Keys of each tenant.");
  options.add_unsigned("requests", settings.requests, 1, 100000000, "Keys that are looked at.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const double empty = bytes_in_use();
  const MonotonicTime begun = monotonic_now();
  const relay::RouteTable table(configuration_of(settings));
  const MonotonicTime built = monotonic_now();
  const double held = bytes_in_use() - empty;
  const relay::Route& route = table.configuration().routes.front();
  std::uint64_t admitted = 0;
  for (std::uint64_t i = 0; i < settings.requests; ++i) {
    // Each second one is in force.
    const std::uint64_t key = i % 2 == 0 ? 0 : settings.keys_each;
    if (table.admit(route, key_of(i % settings.tenants, key), 0).admitted) ++admitted;
  }
  const MonotonicTime looked = monotonic_now();
  const double us_each = to_seconds(looked - built) * 1e6 / static_cast<double>(settings.requests);
  output << "taken over in " << to_ms(built - begun) << " ms, " << held / (1 << 20) << " MiB; "
         << us_each << " us a look, " << admitted << " of " << settings.requests << " admitted\n";
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
