#include "protocol/configuration_summary.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <random>

#include "protocol/configuration_message.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;
using relay::DeclaredTenant;
using relay::Route;
using relay::RouteConfiguration;

namespace {

Route route(int number) {
  Route result;
  result.name = "r" + std::to_string(number);
  result.host = "h" + std::to_string(number % 7);
  result.path_prefix = "/" + std::to_string(number) + "/";
  result.split = {{ServiceName("m"), 1}};
  return result;
}

RouteConfiguration with_routes(int count) {
  RouteConfiguration configuration;
  configuration.version = 3;
  for (int i = 0; i < count; ++i) configuration.routes.push_back(route(i));
  configuration.services.push_back({ServiceName("m"), 5, std::nullopt});
  return configuration;
}

/// Asserts that the delta from `base` to `newer`, applied to `base`, gives `newer`.
/// @param bytes set to the size of the encoded delta.
void expect_delta_applies(const RouteConfiguration& base, const RouteConfiguration& newer,
                          std::size_t* bytes = nullptr) {
  const auto known = summarize(base, 10);
  const auto summary = summarize(newer, 12);
  const std::string answer = encode(make_delta(known, {12, newer}, summary));
  if (bytes != nullptr) *bytes = answer.size();
  auto message = decode_configuration(answer);
  cr_assert(message.has_value());
  const auto whole = apply_delta(std::move(*message), base);
  cr_assert(whole.has_value(), "%s", whole ? "" : whole.error().c_str());
  cr_assert_eq(whole->revision, 12);
  cr_assert_eq(whole->configuration.version, newer.version);
  cr_assert_eq(whole->configuration.routes.size(), newer.routes.size());
  cr_assert(summarize(whole->configuration, 12) == summary);
  cr_assert_eq(whole->configuration.services.size(), newer.services.size());
}

}  // namespace

Test(configuration_summary, covers_every_route_field) {
  const std::vector<std::function<void(Route&)>> changes = {
      [](Route& r) { r.name = "x"; },
      [](Route& r) { r.host = "x"; },
      [](Route& r) { r.path_prefix = "/x/"; },
      [](Route& r) { r.kind = relay::RouteKind::kStream; },
      [](Route& r) { r.split[0].service = ServiceName("x"); },
      [](Route& r) { r.split[0].weight = 2; },
      [](Route& r) {
        r.split.push_back({ServiceName("p"), 1});
      },
      [](Route& r) { r.max_attempts = 4; },
      [](Route& r) { r.timeout = 1s; },
      [](Route& r) { r.objective = 2s; },
      [](Route& r) { r.gap_target = 1s; },
      [](Route& r) { r.priority = 3; },
      [](Route& r) { r.affinity = true; },
      [](Route& r) { r.resumable = true; },
      [](Route& r) { r.allows_anonymous = true; }};
  const RouteConfiguration before = with_routes(40);
  for (std::size_t i = 0; i < changes.size(); ++i) {
    RouteConfiguration after = before;
    changes[i](after.routes[20]);
    cr_assert_not(summarize(after, 1).same_content(summarize(before, 1)), "field %zu", i);
    expect_delta_applies(before, after);
  }
}

Test(configuration_summary, covers_every_tenant_field) {
  RouteConfiguration before = with_routes(3);
  const relay::TenantQuota quota{10, 20, true, 30};
  before.tenants = {{TenantName("a"), {{"k1", 5}}, 1, quota}, {TenantName("b"), {}, std::nullopt}};
  const std::vector<std::function<void(std::vector<DeclaredTenant>&)>> changes = {
      [](auto& tenants) { tenants[0].name = TenantName("x"); },
      [](auto& tenants) { tenants[0].priority = 2; },
      [](auto& tenants) { tenants[0].priority.reset(); },
      [](auto& tenants) { tenants[0].keys.clear(); },
      [](auto& tenants) { tenants[0].keys[0].sha256 = "k2"; },
      [](auto& tenants) { tenants[0].keys[0].expires_at.reset(); },
      [](auto& tenants) {
        tenants[1].keys.push_back({"k1", 5});
      },
      [](auto& tenants) { tenants[0].quota.reset(); },
      [](auto& tenants) { tenants[0].quota->per_second = 11; },
      [](auto& tenants) { tenants[0].quota->burst = 21; },
      [](auto& tenants) { tenants[0].quota->counts_tokens = false; },
      [](auto& tenants) { tenants[0].quota->default_tokens = 31; },
      [](auto& tenants) { tenants.pop_back(); }};
  for (std::size_t i = 0; i < changes.size(); ++i) {
    RouteConfiguration after = before;
    changes[i](*after.tenants);
    cr_assert_not(summarize(after, 1).same_content(summarize(before, 1)), "field %zu", i);
    expect_delta_applies(before, after);
  }
  RouteConfiguration without_tenants = before;
  without_tenants.tenants.reset();
  RouteConfiguration no_tenant_declared = before;
  no_tenant_declared.tenants->clear();
  cr_assert_not(summarize(without_tenants, 1).same_content(summarize(no_tenant_declared, 1)),
                "without tenants no key is needed; with an empty list no key is valid");
  expect_delta_applies(before, without_tenants);
}

Test(configuration_summary, ignores_route_order) {
  const RouteConfiguration one = with_routes(30);
  RouteConfiguration other = one;
  std::reverse(other.routes.begin(), other.routes.end());
  cr_assert(summarize(one, 1) == summarize(other, 1));
}

Test(configuration_summary, delta_of_one_route_takes_a_few_kilobytes) {
  const RouteConfiguration before = with_routes(1450);
  RouteConfiguration after = before;
  after.routes[700].timeout = 7s;
  std::size_t delta = 0;
  expect_delta_applies(before, after, &delta);
  const std::size_t whole = encode(ConfigurationMessage{12, after}).size();
  cr_assert_leq(delta, 8000, "%zu of %zu", delta, whole);
  cr_assert_geq(whole, 20 * delta);
}

Test(configuration_summary, delta_transforms_any_configuration) {
  SHUNTBANK_PROPERTY("applying the delta gives the newer configuration", [] {
    const auto count = *rc::gen::inRange(0, 60);
    const RouteConfiguration before = with_routes(count);
    RouteConfiguration after = before;
    after.version = 9;
    const auto removed = *rc::gen::inRange(0, count + 1);
    after.routes.resize(static_cast<std::size_t>(count - removed));
    const auto added = *rc::gen::inRange(0, 60);
    for (int i = 0; i < added; ++i) after.routes.push_back(route(1000 + i));
    for (Route& changed : after.routes) {
      if (*rc::gen::inRange(0, 4) == 0) changed.max_attempts = 5;
    }
    expect_delta_applies(before, after);
  });
}

Test(configuration_summary, rejects_a_delta_for_another_base) {
  const RouteConfiguration before = with_routes(40);
  RouteConfiguration newer = before;
  newer.routes[3].timeout = 9s;
  const auto delta = make_delta(summarize(before, 10), {12, newer}, summarize(newer, 12));
  // Another configuration became active between the call and the answer.
  RouteConfiguration base = before;
  base.routes[30].timeout = 8s;
  cr_assert_not(apply_delta(delta, base).has_value());
}

Test(configuration_summary, call_round_trips) {
  const ConfigurationCall call{summarize(with_routes(9), 77), 4096};
  const std::string bytes = encode(call);
  cr_assert(is_configuration_call(bytes));
  const auto decoded = decode_configuration_call(bytes);
  cr_assert(decoded.has_value());
  cr_assert(decoded->known == call.known);
  cr_assert_eq(decoded->max_bytes, 4096);
  cr_assert_leq(bytes.size(), 800);
  std::mt19937 random(5);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    std::string broken = bytes.substr(0, length);
    if (!broken.empty()) broken[random() % broken.size()] = static_cast<char>(random());
    decode_configuration_call(broken);
  }
}
