#include <criterion/criterion.h>

#include "common/hash.hpp"
#include "relay/relay_node.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;

namespace {

relay::DeclaredTenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  relay::DeclaredTenant declared;
  declared.name = TenantName(name);
  for (const std::string& key : keys) declared.keys.push_back({sha256_hex(key), std::nullopt});
  return declared;
}

relay::RouteConfiguration with_tenants(std::uint64_t version,
                                       std::vector<relay::DeclaredTenant> tenants) {
  relay::RouteConfiguration configuration = RelayFixture::configuration(version);
  configuration.tenants = std::move(tenants);
  return configuration;
}

/// Two tenants; the second has a key for each of two callers.
struct TenantSite : RelayFixture {
  TenantSite() {
    add_engine("e1", "plain");
    add_engine("m1", "model", relay::EngineStage::kDecode);
    node->adopt(with_tenants(2, {tenant("guild", {"g-key"}), tenant("post", {"p-1", "p-2"})}));
  }

  const HttpHeaders& sent() { return http.at(http.count() - 1).request.headers; }
};

}  // namespace

Test(tenants, engine_receives_tenant_name_but_not_the_key) {
  TenantSite site;
  site.request("/once/a", {{"key", "p-2"}, {"tenant", "guild"}});
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(site.sent().count("tenant"), 1);
  cr_assert_eq(site.sent().get("tenant"), "post");
  cr_assert_eq(site.sent().count("key"), 0);
}

Test(tenants, request_without_a_valid_key_is_rejected) {
  TenantSite site;
  cr_assert_eq(site.request("/once/a")->status, 401);
  cr_assert_eq(site.request("/once/a", {{"key", ""}})->status, 401);
  cr_assert_eq(site.request("/once/a", {{"key", "unknown"}})->status, 401);
  cr_assert_eq(site.request("/once/a", {{"key", "g-key"}, {"key", "p-1"}})->status, 401);
  cr_assert_eq(site.http.count(), 0);
}

Test(tenants, removed_key_is_rejected_immediately) {
  TenantSite site;
  site.request("/once/a", {{"key", "p-1"}});
  site.node->adopt(with_tenants(3, {tenant("guild", {"g-key"}), tenant("post", {"p-2"})}));
  cr_assert_eq(site.request("/once/a", {{"key", "p-1"}})->status, 401);
  site.request("/once/a", {{"key", "p-2"}});
  cr_assert_eq(site.http.count(), 2);
}

Test(tenants, tenant_may_have_no_keys) {
  TenantSite site;
  cr_assert(site.node->adopt(with_tenants(3, {tenant("guild", {}), tenant("post", {"p-1"})})));
  cr_assert_eq(site.request("/once/a", {{"key", "g-key"}})->status, 401);
}

Test(tenants, key_shared_by_two_tenants_is_rejected) {
  TenantSite site;
  cr_assert(site.node->adopt(with_tenants(3, {tenant("guild", {"k"}), tenant("post", {"k"})})));
  cr_assert_eq(site.request("/once/a", {{"key", "k"}})->status, 401);
}

Test(tenants, open_route_needs_no_key_but_identifies_known_tenants) {
  TenantSite site;
  auto configuration = with_tenants(3, {tenant("guild", {"g-key"})});
  for (relay::Route& route : configuration.routes) route.allows_anonymous = true;
  site.node->adopt(configuration);
  site.request("/once/a", {{"tenant", "guild"}});
  cr_assert_eq(site.sent().count("tenant"), 0);
  site.request("/once/a", {{"key", "g-key"}});
  cr_assert_eq(site.sent().get("tenant"), "guild");
}

Test(tenants, without_tenants_keys_are_optional_and_not_forwarded) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a", {{"key", "k"}, {"tenant", "forged"}});
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(site.http.at(0).request.headers.count("key"), 0);
  cr_assert_eq(site.http.at(0).request.headers.count("tenant"), 0);
}

Test(tenants, tenant_priority_overrides_route_priority) {
  TenantSite site;
  relay::DeclaredTenant urgent = tenant("guild", {"g-key"});
  urgent.priority = 0;
  auto configuration = with_tenants(3, {urgent, tenant("post", {"p-1"})});
  for (relay::Route& route : configuration.routes) route.priority = 4;
  site.node->adopt(configuration);
  site.request("/stream/a", {{"key", "g-key"}, {"tokens", "100"}});
  cr_assert_eq(site.sent().get("urgency"), "0");
  site.request("/stream/a", {{"key", "p-1"}, {"tokens", "100"}});
  cr_assert_eq(site.sent().get("urgency"), "4");
}

Test(tenants, in_flight_request_survives_key_removal) {
  TenantSite site;
  const auto reply = site.request("/once/a", {{"key", "g-key"}});
  site.node->adopt(with_tenants(3, {tenant("post", {"p-1"})}));
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
}
