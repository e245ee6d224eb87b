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
  Route made;
  made.name = "r" + std::to_string(number);
  made.host = "h" + std::to_string(number % 7);
  made.path_prefix = "/" + std::to_string(number) + "/";
  made.split = {{ServiceName("m"), 1}};
  return made;
}

RouteConfiguration with_routes(int count) {
  RouteConfiguration configuration;
  configuration.version = 3;
  for (int i = 0; i < count; ++i) configuration.routes.push_back(route(i));
  configuration.services.push_back({ServiceName("m"), 5, std::nullopt});
  return configuration;
}

/// @return what a node with `held` makes of the answer of one with `newer`; asserts that it is the
/// same as the newer one. @param bytes set to the size of the answer.
void expect_handed_on(const RouteConfiguration& held, const RouteConfiguration& newer,
                      std::size_t* bytes = nullptr) {
  const auto known = summarize(held, 10);
  const auto own = summarize(newer, 12);
  const std::string answer = encode(part_for(known, {12, newer}, own));
  if (bytes != nullptr) *bytes = answer.size();
  auto message = decode_configuration(answer);
  cr_assert(message.has_value());
  const auto whole = complete(std::move(*message), held);
  cr_assert(whole.has_value(), "%s", whole ? "" : whole.error().c_str());
  cr_assert_eq(whole->revision, 12);
  cr_assert_eq(whole->configuration.version, newer.version);
  cr_assert_eq(whole->configuration.routes.size(), newer.routes.size());
  cr_assert(summarize(whole->configuration, 12) == own);
  cr_assert_eq(whole->configuration.services.size(), newer.services.size());
}

}  // namespace

Test(configuration_summary, tells_every_field_of_a_route) {
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
    expect_handed_on(before, after);
  }
}

Test(configuration_summary, tells_every_field_of_a_tenant) {
  RouteConfiguration before = with_routes(3);
  before.tenants = {{TenantName("a"), {{"k1", 5}}, 1}, {TenantName("b"), {}, std::nullopt}};
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
      [](auto& tenants) { tenants.pop_back(); }};
  for (std::size_t i = 0; i < changes.size(); ++i) {
    RouteConfiguration after = before;
    changes[i](*after.tenants);
    cr_assert_not(summarize(after, 1).same_content(summarize(before, 1)), "field %zu", i);
    expect_handed_on(before, after);
  }
  RouteConfiguration without = before;
  without.tenants.reset();
  RouteConfiguration empty = before;
  empty.tenants->clear();
  cr_assert_not(summarize(without, 1).same_content(summarize(empty, 1)),
                "without tenants nobody needs a key; with none of them nobody has one");
  expect_handed_on(before, without);
}

Test(configuration_summary, does_not_depend_on_the_order) {
  const RouteConfiguration one = with_routes(30);
  RouteConfiguration other = one;
  std::reverse(other.routes.begin(), other.routes.end());
  cr_assert(summarize(one, 1) == summarize(other, 1));
}

Test(configuration_summary, lets_a_change_of_one_route_go_in_some_kilobytes) {
  const RouteConfiguration before = with_routes(1450);
  RouteConfiguration after = before;
  after.routes[700].timeout = 7s;
  std::size_t part = 0;
  expect_handed_on(before, after, &part);
  const std::size_t whole = encode(ConfigurationMessage{12, after}).size();
  cr_assert_leq(part, 8000, "%zu of %zu", part, whole);
  cr_assert_geq(whole, 20 * part);
}

Test(configuration_summary, brings_any_configuration_to_any_other) {
  SHUNTBANK_PROPERTY("what was asked for comes out", [] {
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
    expect_handed_on(before, after);
  });
}

Test(configuration_summary, is_not_taken_for_a_part_of_another_configuration) {
  const RouteConfiguration asked_with = with_routes(40);
  RouteConfiguration newer = asked_with;
  newer.routes[3].timeout = 9s;
  const auto part = part_for(summarize(asked_with, 10), {12, newer}, summarize(newer, 12));
  // Between the question and the answer another one came into force.
  RouteConfiguration held = asked_with;
  held.routes[30].timeout = 8s;
  cr_assert_not(complete(part, held).has_value());
}

Test(configuration_summary, asks_in_a_call_that_comes_back_as_it_was) {
  const ConfigurationCall call{summarize(with_routes(9), 77), 4096};
  const std::string bytes = encode(call);
  cr_assert(is_configuration_call(bytes));
  const auto read = decode_configuration_call(bytes);
  cr_assert(read.has_value());
  cr_assert(read->known == call.known);
  cr_assert_eq(read->most_bytes, 4096);
  cr_assert_leq(bytes.size(), 800);
  std::mt19937 random(5);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    std::string broken = bytes.substr(0, length);
    if (!broken.empty()) broken[random() % broken.size()] = static_cast<char>(random());
    decode_configuration_call(broken);
  }
}
