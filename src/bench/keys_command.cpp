#include "bench/keys_command.hpp"

#include <malloc.h>

#include <ostream>

#include "common/hash.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank {
namespace {

struct KeysSettings {
  std::uint64_t tenants = 10000;
  std::uint64_t keys_per_tenant = 3;
  std::uint64_t requests = 1000000;
};

std::string make_key(std::uint64_t tenant, std::uint64_t key) {
  return "key-" + std::to_string(tenant) + "-" + std::to_string(key);
}

/// Hashes the keys as the platform adapter does when it decodes a tenant (platform/codec.cpp).
relay::RouteConfiguration make_configuration(const KeysSettings& settings) {
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
    for (std::uint64_t k = 0; k < settings.keys_per_tenant; ++k) {
      tenant.keys.push_back({sha256_hex(make_key(i, k)), std::nullopt});
    }
    configuration.tenants->push_back(std::move(tenant));
  }
  return configuration;
}

double allocated_bytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

}  // namespace

ExitCode run_keys_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors) {
  KeysSettings settings;
  OptionSet options("shuntbank-bench keys [options]");
  options.add_unsigned("tenants", settings.tenants, 1, 1000000, "Tenants in the configuration.");
  options.add_unsigned("keys", settings.keys_per_tenant, 1, 100, "Keys of each tenant.");
  options.add_unsigned("requests", settings.requests, 1, 100000000, "Key lookups.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const double bytes_before = allocated_bytes();
  const MonotonicTime start = monotonic_now();
  const relay::RouteTable table(make_configuration(settings));
  const MonotonicTime build_end = monotonic_now();
  const double table_bytes = allocated_bytes() - bytes_before;
  const relay::Route& route = table.configuration().routes.front();
  std::uint64_t admitted = 0;
  for (std::uint64_t i = 0; i < settings.requests; ++i) {
    // Every second key is valid.
    const std::uint64_t key = i % 2 == 0 ? 0 : settings.keys_per_tenant;
    if (table.admit(route, make_key(i % settings.tenants, key), 0).admitted) ++admitted;
  }
  const MonotonicTime lookup_end = monotonic_now();
  const double us_per_lookup =
      to_seconds(lookup_end - build_end) * 1e6 / static_cast<double>(settings.requests);
  output << "applied in " << to_ms(build_end - start) << " ms, " << table_bytes / (1 << 20)
         << " MiB; " << us_per_lookup << " us per lookup, " << admitted << " of "
         << settings.requests << " admitted\n";
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
