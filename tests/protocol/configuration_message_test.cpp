#include "protocol/configuration_message.hpp"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <random>

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

relay::RouteConfiguration full_configuration() {
  relay::RouteConfiguration configuration;
  configuration.version = 7;
  relay::Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/a/";
  route.kind = relay::RouteKind::kStream;
  route.split = {{ServiceName("m"), 90}, {ServiceName("p"), 10}};
  route.max_attempts = 2;
  route.timeout = 6s;
  route.objective = 800ms;
  route.gap_target = 400ms;
  route.priority = 2;
  route.affinity = true;
  route.resumable = true;
  route.allows_anonymous = true;
  configuration.routes = {route};
  relay::RelayedService service;
  service.name = ServiceName("m");
  service.max_connections = 800;
  service.model.emplace();
  service.model->slots = 64;
  service.model->kv_tokens = 399523;
  service.scale.emplace();
  service.scale->max = 94;
  service.scale->spot_price = 0.18;
  service.scale->zone_prices = {{ZoneName("z"), 0.85}};
  relay::RelayedService plain;
  plain.name = ServiceName("p");
  configuration.services = {service, plain};
  configuration.limits.idle_timeout = 12s;
  relay::DeclaredTenant tenant;
  tenant.name = TenantName("guild");
  tenant.keys = {{"ab12", std::nullopt}, {"cd34", 1796000000}};
  tenant.priority = 1;
  configuration.tenants = {tenant, {TenantName("post"), {}, std::nullopt}};
  return configuration;
}

}  // namespace

Test(configuration_message, round_trips) {
  const std::string bytes = encode(ConfigurationMessage{42, full_configuration()});
  const auto decoded = decode_configuration(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->revision, 42);
  // Identical bytes show that no field is lost.
  cr_assert_eq(encode(*decoded), bytes);
  cr_assert_eq(decoded->configuration.tenants->at(0).keys.at(1).expires_at.value(), 1796000000);
  cr_assert_eq(decoded->configuration.routes.at(0).split.at(1).weight, 10);
  cr_assert(decoded->configuration.services.at(0).scale == full_configuration().services[0].scale);
}

Test(configuration_message, round_trips_without_tenants) {
  auto configuration = full_configuration();
  configuration.tenants.reset();
  const auto decoded = decode_configuration(encode(ConfigurationMessage{1, configuration}));
  cr_assert_not(decoded->configuration.tenants.has_value());
}

// A node that gets a configuration from a peer would otherwise limit no tenant.
Test(configuration_message, includes_the_quotas_of_tenants) {
  relay::RouteConfiguration configuration = full_configuration();
  configuration.tenants->at(0).quota = relay::TenantQuota{982686, 491343, true, 200};
  const auto decoded = decode_configuration(encode(ConfigurationMessage{7, configuration}));
  cr_assert(decoded->configuration.tenants->at(0).quota == configuration.tenants->at(0).quota);
  cr_assert_not(decoded->configuration.tenants->at(1).quota.has_value());
}

// Earlier versions hand on configurations without the quotas that they do not know.
Test(configuration_message, rejects_tenants_of_a_sender_without_quotas) {
  nlohmann::json document =
      nlohmann::json::from_msgpack(encode(ConfigurationMessage{7, full_configuration()}));
  document.erase("quotas");
  std::string bytes;
  nlohmann::json::to_msgpack(document, bytes);
  cr_assert_not(decode_configuration(bytes).has_value());
}

Test(configuration_message, tolerates_corrupted_bytes) {
  std::mt19937 random(20261204);  // NOLINT: repeatable on purpose
  const std::string whole = encode(ConfigurationMessage{42, full_configuration()});
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string changed = whole;
    changed[random() % changed.size()] = static_cast<char>(random() % 256);
    if (i % 3 == 0) changed.resize(random() % changed.size());
    if (!decode_configuration(changed)) ++rejected;
  }
  cr_assert_gt(rejected, 0);
}
