#include "platform/settings.hpp"

#include <criterion/criterion.h>

#include "relay/engine_update_bound.hpp"

using namespace shuntbank::platform_adapter;

namespace {

const char* const kSettingsText =
    "node=n-1\nzone=z\nip=10.1.0.38\nlisten.front=10.1.0.38:8149\nlisten.ready=10.1.0.38:8141\n"
    "port_range=7380,7395\nbootstrap=true\nplatform.addr=10.200.1.7:8142\nbounds.budget_slack=54\n"
    "bounds.grace_s=8\nsomething.new=whatever\nno equals sign\n";

}  // namespace

Test(platform_settings, reads_known_keys_and_ignores_others) {
  const auto settings = parse_settings(kSettingsText);
  cr_assert(settings.has_value());
  cr_assert_eq(settings->peer_address, "10.1.0.38:7380");
  cr_assert(settings->bootstrap);
  cr_assert_eq(relay_settings(*settings).retry_budget.slack, 54);
}

Test(platform_settings, batch_delay_stays_well_below_the_drain_time) {
  const auto settings = parse_settings(std::string(kSettingsText) + "bounds.drain_ms=3000\n");
  cr_assert(settings.has_value());
  const auto relay = relay_settings(*settings);
  cr_assert(relay.catalog.max_batch_delay == std::chrono::milliseconds(1000));
  cr_assert(relay.catalog.drain_time == std::chrono::milliseconds(3000));
}

// Guards against delays that each have a bound while their sum exceeds the drain time.
Test(platform_settings, nodes_learn_of_draining_engines_within_the_drain_time) {
  const auto relay = relay_settings(*parse_settings(kSettingsText));
  cr_assert_lt(shuntbank::relay::hinted_update_bound(relay.exchange).count(),
               relay.catalog.drain_time.count());
  cr_assert_lt(shuntbank::relay::engine_update_bound(relay.catalog, relay.exchange).count(),
               relay.catalog.drain_time.count());
}

Test(platform_settings, keeps_the_command_line_policy) {
  shuntbank::relay::RelaySettings policy;
  policy.placement.home_share = 0.5;
  const auto relay = relay_settings(*parse_settings(kSettingsText), policy);
  cr_assert_eq(relay.placement.home_share, 0.5);
  cr_assert_eq(relay.node, "n-1");
}

Test(platform_settings, rejects_a_retry_budget_without_a_window) {
  const auto settings = parse_settings(std::string(kSettingsText) + "bounds.budget_window_s=0\n");
  cr_assert_not(settings.has_value());
  const std::string text = settings.error().to_text();
  cr_assert_neq(text.find("bounds.budget_window_s: '0' is not a number above 0"), std::string::npos,
                "%s", text.c_str());
}

Test(platform_settings, reports_all_bad_values_with_their_lines) {
  const auto settings =
      parse_settings("node=n\nlisten.front=nowhere\nbounds.grace_s=soon\nbootstrap=perhaps\n");
  cr_assert_not(settings.has_value());
  const std::string text = settings.error().to_text();
  for (const char* part : {"line 2, listen.front", "line 3, bounds.grace_s", "line 4, bootstrap",
                           "listen.ready: is missing", "platform.addr: is missing"}) {
    cr_assert_neq(text.find(part), std::string::npos, "%s is missing in %s", part, text.c_str());
  }
}
