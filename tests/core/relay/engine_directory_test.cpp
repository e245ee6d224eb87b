#include "core/relay/engine_directory.hpp"

#include <criterion/criterion.h>

#include <set>

#include "core/relay/stage_planner.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

EngineRecord record(const std::string& id, EngineStage stage = EngineStage::kDecode) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName("model");
  record.address = id + ":1";
  record.stage = stage;
  return record;
}

const EngineView& view(const EngineDirectory& engines, const std::string& id) {
  return *engines.find(EngineId(id));
}

}  // namespace

Test(engine_directory, avoids_a_misdirected_engine_until_its_record_changes) {
  // Engines that had started anew while the store was down drew 1,703 attempts in five seconds,
  // since they were idle, and used up the retry budget of all nodes.
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_health(kNow, EngineId("e"), AttemptHealth::kMisdirected);
  cr_assert_gt(view(engines, "e").avoided_until, kNow + 3s);
  engines.upsert(record("e"));
  cr_assert_gt(view(engines, "e").avoided_until, kNow + 3s, "the same record tells nothing new");
  engines.upsert(record("e", EngineStage::kPrefill));
  cr_assert_leq(view(engines, "e").avoided_until, kNow);
}

Test(engine_directory, takes_another_nodes_word_for_a_misdirected_engine) {
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_health(kNow, EngineId("e"), AttemptHealth::kGood);
  engines.on_peer_trouble(kNow,
                          {EngineId("e"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_gt(view(engines, "e").avoided_until, kNow + 3s);
  engines.on_peer_trouble(
      kNow, {EngineId("unknown"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_eq(engines.size(), 1);
}

Test(engine_directory, knows_better_than_a_node_that_took_the_engine_for_another_stage) {
  EngineDirectory engines;
  engines.upsert(record("e", EngineStage::kPrefill));
  engines.on_peer_trouble(kNow,
                          {EngineId("e"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_leq(view(engines, "e").avoided_until, kNow);
}

Test(engine_directory, trusts_its_own_recent_success_more_than_another_nodes_failure) {
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_health(kNow, EngineId("e"), AttemptHealth::kGood);
  const EngineTrouble unreachable{EngineId("e"), EngineStage::kDecode,
                                  relay::TroubleKind::kUnusable};
  engines.on_peer_trouble(kNow + 100ms, unreachable);
  cr_assert_leq(view(engines, "e").avoided_until, kNow);
  engines.on_peer_trouble(kNow + 2s, unreachable);
  cr_assert_gt(view(engines, "e").avoided_until, kNow + 2s);
}

Test(engine_directory, avoids_longer_each_time_an_engine_that_refuses_again) {
  // Three engines that refused at once looked idle and drew 1,800 attempts in eight seconds.
  EngineDirectory engines;
  engines.upsert(record("e"));
  MonotonicTime now = kNow;
  Duration before{0};
  for (int i = 0; i < 3; ++i) {
    engines.on_health(now, EngineId("e"), AttemptHealth::kBusy);
    const Duration avoided = view(engines, "e").avoided_until - now;
    cr_assert_gt(avoided, before);
    before = avoided;
    now += avoided;
  }
  engines.on_health(now, EngineId("e"), AttemptHealth::kGood);
  engines.on_health(now, EngineId("e"), AttemptHealth::kBusy);
  cr_assert_lt(view(engines, "e").avoided_until - now, before);
}

Test(engine_directory, sums_what_the_others_tell_last) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("a"), {2, 100}}});
  engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("a"), {1, 50}}, {EngineId("b"), {4, 0}}});
  cr_assert_eq(view(engines, "a").peers->in_flight, 3);
  cr_assert_eq(view(engines, "a").peers->prefill_tokens, 150);
  engines.on_peer_load(kNow + 2s, NodeId("n1"), {{EngineId("b"), {1, 0}}});
  cr_assert_eq(view(engines, "a").peers->in_flight, 1);
  cr_assert_eq(view(engines, "b").peers->in_flight, 5);
  engines.forget_silent_peers(kNow + 4s);
  cr_assert_eq(view(engines, "a").peers->in_flight, 0, "n2 has been silent");
  cr_assert_eq(view(engines, "b").peers->in_flight, 1);
  engines.forget_silent_peers(kNow + 10s);
  cr_assert_not(view(engines, "a").peers.has_value());
}

Test(engine_directory, counts_what_was_told_of_an_engine_before_it_was_known) {
  EngineDirectory engines;
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("late"), {2, 100}}});
  engines.upsert(record("late"));
  cr_assert_eq(view(engines, "late").peers->in_flight, 2);
  engines.on_peer_load(kNow, NodeId("n1"), {});
  cr_assert_eq(view(engines, "late").peers->in_flight, 0);
}

Test(engine_directory, takes_the_sum_of_the_fleet_less_its_own_work) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("a"), {9, 9000}}});
  const EngineKey a = engine_key(EngineId("a"));
  LoadRange sum;
  sum.load[a] = {5, 700, 100};
  engines.on_fleet_load(kNow, sum, {{a, {2, 200, 50}}});
  cr_assert(view(engines, "a").peers == (PeerLoad{3, 500, 50}));
  cr_assert(view(engines, "b").peers == PeerLoad{});
  engines.forget_silent_peers(kNow + 1s);
  engines.on_peer_load(kNow + 1s, NodeId("n1"), {{EngineId("a"), {9, 9000}}});
  cr_assert_eq(view(engines, "a").peers->in_flight, 3, "a fresh sum stands for single nodes");
  engines.forget_silent_peers(kNow + 3s);
  cr_assert_eq(view(engines, "a").peers->in_flight, 9, "then what single nodes have told");
}

Test(engine_directory, takes_a_part_of_a_sum_for_its_engines_only) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  const EngineKey a = engine_key(EngineId("a"));
  const EngineKey b = engine_key(EngineId("b"));
  LoadRange whole;
  whole.load = {{a, {5, 0, 0}}, {b, {6, 0, 0}}};
  engines.on_fleet_load(kNow, whole, {});
  LoadRange part;
  part.first = a;
  part.last = a;
  engines.on_fleet_load(kNow, part, {});
  cr_assert_eq(view(engines, "a").peers->in_flight, 0);
  cr_assert_eq(view(engines, "b").peers->in_flight, 6);
}

Test(engine_directory, lets_few_of_many_nodes_try_a_dead_engine_again) {
  // Seen on a fleet of 295 nodes: all heard that an engine was dead within 200 ms, and a second
  // later all sent to it at once, since nobody had work there.
  const EngineTrouble trouble{EngineId("a"), EngineStage::kDecode, relay::TroubleKind::kUnusable};
  int early = 0;
  int late = 0;
  for (std::uint64_t node = 1; node <= 300; ++node) {
    EngineDirectory engines(node * 1000003);
    engines.upsert(record("a"));
    engines.on_peer_trouble(kNow, trouble);
    const MonotonicTime until = view(engines, "a").avoided_until;
    cr_assert_gt(until, kNow + 1s);
    cr_assert_leq(until, kNow + 3s);
    if (until <= kNow + 1s + 200ms) ++early;
    if (until > kNow + 2s + 800ms) ++late;
  }
  // A tenth of them each; what the first ones meet is known to all by then.
  cr_assert_gt(early, 10);
  cr_assert_lt(early, 60);
  cr_assert_gt(late, 10);
}

namespace {

RouteTable one_model_service() {
  RouteConfiguration configuration;
  RelayedService service;
  service.name = ServiceName("model");
  service.model.emplace();
  configuration.services = {service};
  return RouteTable(configuration);
}

StagePlannerSettings half_of_them_read() {
  StagePlannerSettings settings;
  settings.prefill_share = 0.5;
  return settings;
}

}  // namespace

Test(stage_planner, orders_a_tenth_of_a_large_fleet_at_once) {
  EngineDirectory engines;
  for (int i = 0; i < 90; ++i) engines.upsert(record("e" + std::to_string(i)));
  const RouteTable table = one_model_service();
  const StagePlannerSettings settings = half_of_them_read();
  StagePlanner planner(settings);
  int at_once = 0;
  while (planner.next(kNow, engines, table)) ++at_once;
  cr_assert_eq(at_once, 9);
  cr_assert_not(planner.next(kNow + settings.batch_interval - 1ms, engines, table).has_value());
  cr_assert(planner.next(kNow + settings.batch_interval, engines, table).has_value());
}

Test(stage_planner, engines_that_come_later_and_hold_nothing_wait_for_no_batch) {
  EngineDirectory engines;
  for (int i = 0; i < 20; ++i) engines.upsert(record("e" + std::to_string(i)));
  const RouteTable table = one_model_service();
  const StagePlannerSettings settings = half_of_them_read();
  StagePlanner planner(settings);
  while (planner.next(kNow, engines, table)) continue;  // The first batch: two.
  for (int i = 0; i < 20; ++i) engines.upsert(record("n" + std::to_string(i)));
  engines.find(EngineId("n0"))->cache.on_prompt_read({{7, 100}}, 0, kNow);
  std::set<std::string> changed;
  while (const auto change = planner.next(kNow + 1s, engines, table)) {
    changed.insert(change->engine.value());
  }
  cr_assert_eq(changed.size(), 18, "half of forty, with the two before");
  for (const std::string& id : changed) cr_assert_eq(id.front(), 'n');
  cr_assert_eq(changed.count("n0"), 0);
}

namespace {

relay::EngineRecord start_of(const std::string& name, std::uint64_t started) {
  relay::EngineRecord record;
  record.name = name;
  record.started_unix_ms = started;
  record.id = relay::start_id(name, started);
  record.service = ServiceName("s");
  record.address = "10.0.0.1:80";
  return record;
}

}  // namespace

Test(engine_directory, a_new_start_under_the_same_name_inherits_nothing) {
  relay::EngineDirectory engines;
  const relay::EngineRecord first = start_of("e", 1000);
  engines.upsert(first);
  engines.on_sent(first.id, {500, false});
  engines.find(first.id)->cache.on_prompt_read({{7, 100}}, 0, kNow);
  const relay::EngineRecord second = start_of("e", 2000);
  engines.upsert(second);
  cr_assert_null(engines.find(first.id));
  const relay::EngineView* view = engines.find(second.id);
  cr_assert_not_null(view);
  cr_assert_eq(view->in_flight, 0);
  cr_assert(view->cache.cached_parts().empty());
  // What was still under way at the first ends without a trace at the second.
  engines.on_ended(first.id);
  engines.on_read(first.id, {500, false});
  cr_assert_eq(engines.find(second.id)->in_flight, 0);
}

Test(engine_directory, late_news_of_an_earlier_start_do_not_touch_the_later_one) {
  relay::EngineDirectory engines;
  const relay::EngineRecord later = start_of("e", 2000);
  engines.upsert(later);
  relay::EngineRecord old = start_of("e", 1000);
  old.draining = true;
  engines.upsert(old);
  cr_assert_null(engines.find(old.id));
  cr_assert_not(engines.find(later.id)->record.draining);
  engines.replace_all({old});
  cr_assert_not_null(engines.find(later.id), "an old list names the engine");
  engines.remove(later.id);
  engines.upsert(old);
  cr_assert_eq(engines.size(), 0, "also after the later one is gone");
}

Test(engine_directory, a_start_that_drains_does_not_keep_the_next_one_from_serving) {
  relay::EngineDirectory engines;
  relay::EngineRecord first = start_of("e", 1000);
  first.draining = true;
  engines.upsert(first);
  engines.upsert(start_of("e", 2000));
  cr_assert_not(engines.find_named("e")->record.draining);
}

Test(engine_directory, an_engine_that_outlives_thousands_of_others_can_still_be_removed_by_name) {
  relay::EngineDirectory engines;
  engines.upsert(start_of("old", 1));
  for (int i = 0; i < 20000; ++i) {
    const relay::EngineRecord record = start_of("n" + std::to_string(i), 1);
    engines.upsert(record);
    engines.remove(record.id);
  }
  cr_assert_not_null(engines.find_named("old"));
  cr_assert_eq(engines.size(), 1);
}
