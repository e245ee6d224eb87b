#include "relay/relay_node.hpp"

#include <criterion/criterion.h>

#include "relay/catalog.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

Test(relay_node, answers_503_and_is_not_ready_without_a_configuration) {
  ManualRuntime runtime;
  ScriptedHttpClient http;
  TestDialect dialect;
  relay::RelayNode node({runtime, http, dialect}, {});
  cr_assert_not(node.ready());
  HttpRequest request;
  request.headers.add("Host", "site");
  auto reply = std::make_shared<RecordedReply>();
  node.handle(request, std::make_shared<RecordingResponder>(reply));
  cr_assert_eq(reply->status, 503);
  cr_assert_not(reply->headers.get("Retry-After").empty());
}

Test(relay_node, answers_404_without_a_matching_route) {
  RelayFixture site;
  cr_assert_eq(site.request("/elsewhere/a")->status, 404);
}

Test(relay_node, never_adopts_an_older_configuration) {
  RelayFixture site;
  cr_assert(site.node->adopt(RelayFixture::configuration(9)));
  cr_assert_not(site.node->adopt(RelayFixture::configuration(8)));
  cr_assert_not(site.node->adopt(RelayFixture::configuration(9)));
  cr_assert_eq(site.node->table()->version(), 9);
}

Test(relay_node, keeps_the_last_configuration_when_a_new_one_is_invalid) {
  RelayFixture site;
  auto invalid = RelayFixture::configuration(2);
  invalid.routes.front().path_prefix = "no-slash";
  cr_assert_not(site.node->adopt(invalid));
  cr_assert_eq(site.node->table()->version(), 1);
}

Test(relay_node, keeps_the_configuration_of_a_request_in_flight) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto reply = site.request("/once/a");
  auto without_once = RelayFixture::configuration(2);
  std::erase_if(without_once.routes,
                [](const relay::Route& route) { return route.name == "once"; });
  cr_assert(site.node->adopt(without_once));
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
  cr_assert_eq(site.request("/once/a")->status, 404);
}

Test(relay_node, sends_nothing_to_a_draining_engine_and_lets_its_requests_finish) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto reply = site.request("/once/a");
  site.add_engine("e1", "plain", relay::EngineStage::kNone, true);
  cr_assert_eq(site.request("/once/b")->status, 503);
  site.node->remove_engine("e1");
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
}

Test(relay_node, ignores_a_late_record_from_before_draining) {
  RelayFixture site;
  site.add_engine("e1", "plain", relay::EngineStage::kNone, true);
  site.add_engine("e1", "plain", relay::EngineStage::kNone, false);
  cr_assert_eq(site.request("/once/a")->status, 503);
}

Test(relay_node, reports_released_addresses) {
  RelayFixture site;
  std::string freed;
  site.node->on_address_released([&](const std::string& address) { freed = address; });
  site.add_engine("e1", "plain");
  site.node->remove_engine("e1");
  cr_assert_eq(freed, "e1:80");
}

Test(relay_node, is_not_ready_but_serves_while_stopping) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  cr_assert(site.node->ready());
  site.node->begin_stop();
  cr_assert_not(site.node->ready());
  const auto reply = site.request("/once/a");
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
}

Test(relay_node, spends_no_slack_before_the_fleet_is_known) {
  // A process that assumes too small a fleet spends more than its share; many that start together
  // exceed the fleet's budget.
  RelayFixture site;
  site.restart();
  site.runtime.advance(charge_duration(site.settings.retry_budget));
  cr_assert_not(site.sends_retry());
  site.node->set_fleet({7, 0});
  cr_assert(site.sends_retry());
}

Test(relay_node, spends_no_slack_in_the_first_window_after_a_restart) {
  // A restarted process does not know how many extra dispatches its previous run made in the same
  // window.
  RelayFixture site;
  site.restart();
  site.node->set_fleet({7, 0});
  cr_assert_not(site.sends_retry());
  site.runtime.advance(charge_duration(site.settings.retry_budget));
  cr_assert(site.sends_retry());
}

// Guards against shares that stay as small as the fleet was large, though nodes have been removed.
Test(relay_node, divides_the_slack_by_the_nodes_that_are_left) {
  for (const bool in_time : {false, true}) {
    RelayFixture site;
    site.settings.retry_budget.slack = 12;
    site.restart();
    site.node->set_fleet({31, 0});
    site.runtime.advance(charge_duration(site.settings.retry_budget));
    site.node->set_fleet({7, 0});
    // Until then the removed nodes may have spent their shares.
    if (in_time) site.runtime.advance(charge_duration(site.settings.retry_budget));
    cr_assert_eq(site.sends_retry(), in_time);
  }
}

// A node that never sent to an engine took its cache for unlimited and counted on parts that the
// engine had evicted long ago.
Test(relay_node, bounds_the_cache_view_of_an_engine_that_only_other_nodes_use) {
  RelayFixture site;
  site.add_engine("e1", "model", relay::EngineStage::kPrefill);
  const relay::PromptShape older{{{1, 60000}}, 60000, 1};
  const relay::PromptShape newer{{{2, 60000}}, 60000, 1};
  site.node->on_peer_prompt_read({EngineId("e1"), older.parts});
  site.runtime.advance(1s);
  site.node->on_peer_prompt_read({EngineId("e1"), newer.parts});
  const relay::PromptCacheView& cache = site.node->engines().find(EngineId("e1"))->cache;
  cr_assert_eq(cache.cached_tokens(older), 0);
  cr_assert_eq(cache.cached_tokens(newer), 60000);
}
