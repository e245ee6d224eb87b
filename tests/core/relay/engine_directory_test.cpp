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

Test(engine_directory, backs_off_a_misdirected_engine_until_its_record_changes) {
  // Idle engines that restarted during a store outage would otherwise use up the retry budget.
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_attempt_health(kNow, EngineId("e"), AttemptHealth::kMisdirected);
  cr_assert_gt(view(engines, "e").backoff_until, kNow + 3s);
  engines.upsert(record("e"));
  cr_assert_gt(view(engines, "e").backoff_until, kNow + 3s,
               "an unchanged record does not end the backoff");
  engines.upsert(record("e", EngineStage::kPrefill));
  cr_assert_leq(view(engines, "e").backoff_until, kNow);
}

Test(engine_directory, backs_off_an_engine_that_a_peer_reports_as_misdirected) {
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_attempt_health(kNow, EngineId("e"), AttemptHealth::kGood);
  engines.on_peer_trouble(kNow,
                          {EngineId("e"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_gt(view(engines, "e").backoff_until, kNow + 3s);
  engines.on_peer_trouble(
      kNow, {EngineId("unknown"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_eq(engines.size(), 1);
}

Test(engine_directory, ignores_trouble_reported_for_another_stage) {
  EngineDirectory engines;
  engines.upsert(record("e", EngineStage::kPrefill));
  engines.on_peer_trouble(kNow,
                          {EngineId("e"), EngineStage::kDecode, relay::TroubleKind::kMisdirected});
  cr_assert_leq(view(engines, "e").backoff_until, kNow);
}

Test(engine_directory, ignores_trouble_reported_right_after_a_success) {
  EngineDirectory engines;
  engines.upsert(record("e"));
  engines.on_attempt_health(kNow, EngineId("e"), AttemptHealth::kGood);
  const EngineTrouble unreachable{EngineId("e"), EngineStage::kDecode,
                                  relay::TroubleKind::kUnusable};
  engines.on_peer_trouble(kNow + 100ms, unreachable);
  cr_assert_leq(view(engines, "e").backoff_until, kNow);
  engines.on_peer_trouble(kNow + 2s, unreachable);
  cr_assert_gt(view(engines, "e").backoff_until, kNow + 2s);
}

Test(engine_directory, backoff_grows_with_each_refusal) {
  // Engines that refuse at once look idle and would attract every attempt.
  EngineDirectory engines;
  engines.upsert(record("e"));
  MonotonicTime now = kNow;
  Duration before{0};
  for (int i = 0; i < 3; ++i) {
    engines.on_attempt_health(now, EngineId("e"), AttemptHealth::kBusy);
    const Duration backoff = view(engines, "e").backoff_until - now;
    cr_assert_gt(backoff, before);
    before = backoff;
    now += backoff;
  }
  engines.on_attempt_health(now, EngineId("e"), AttemptHealth::kGood);
  engines.on_attempt_health(now, EngineId("e"), AttemptHealth::kBusy);
  cr_assert_lt(view(engines, "e").backoff_until - now, before);
}

Test(engine_directory, sums_the_latest_reports_of_all_peers) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("a"), {2, 100}}});
  engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("a"), {1, 50}}, {EngineId("b"), {4, 0}}});
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 3);
  cr_assert_eq(view(engines, "a").peer_load->prefill_tokens, 150);
  engines.on_peer_load(kNow + 2s, NodeId("n1"), {{EngineId("b"), {1, 0}}});
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 1);
  cr_assert_eq(view(engines, "b").peer_load->in_flight, 5);
  engines.expire_peer_load(kNow + 4s);
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 0, "n2 has timed out");
  cr_assert_eq(view(engines, "b").peer_load->in_flight, 1);
  engines.expire_peer_load(kNow + 10s);
  cr_assert_not(view(engines, "a").peer_load.has_value());
}

Test(engine_directory, counts_load_reported_before_the_engine_was_registered) {
  EngineDirectory engines;
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("late"), {2, 100}}});
  engines.upsert(record("late"));
  cr_assert_eq(view(engines, "late").peer_load->in_flight, 2);
  engines.on_peer_load(kNow, NodeId("n1"), {});
  cr_assert_eq(view(engines, "late").peer_load->in_flight, 0);
}

Test(engine_directory, subtracts_its_own_load_from_the_fleet_sum) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_peer_load(kNow, NodeId("n1"), {{EngineId("a"), {9, 9000}}});
  const EngineKey a = engine_key(EngineId("a"));
  LoadRange sum;
  sum.load[a] = {5, 700, 100};
  engines.on_fleet_load(kNow, sum, {{a, {2, 200, 50}}});
  cr_assert(view(engines, "a").peer_load == (PeerLoad{3, 500, 50}));
  cr_assert(view(engines, "b").peer_load == PeerLoad{});
  engines.expire_peer_load(kNow + 1s);
  engines.on_peer_load(kNow + 1s, NodeId("n1"), {{EngineId("a"), {9, 9000}}});
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 3,
               "a fresh sum takes precedence over peer reports");
  engines.expire_peer_load(kNow + 3s);
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 9,
               "peer reports apply once the sum has expired");
}

Test(engine_directory, applies_a_partial_sum_to_its_key_range_only) {
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
  cr_assert_eq(view(engines, "a").peer_load->in_flight, 0);
  cr_assert_eq(view(engines, "b").peer_load->in_flight, 6);
}

Test(engine_directory, jitter_spreads_the_retries_of_many_nodes) {
  // Without jitter all nodes would retry an unreachable engine at the same moment.
  const EngineTrouble unreachable_report{EngineId("a"), EngineStage::kDecode,
                                         relay::TroubleKind::kUnusable};
  int early = 0;
  int late = 0;
  for (std::uint64_t node = 1; node <= 300; ++node) {
    EngineDirectory engines(node * 1000003);
    engines.upsert(record("a"));
    engines.on_peer_trouble(kNow, unreachable_report);
    const MonotonicTime until = view(engines, "a").backoff_until;
    cr_assert_gt(until, kNow + 1s);
    cr_assert_leq(until, kNow + 3s);
    if (until <= kNow + 1s + 200ms) ++early;
    if (until > kNow + 2s + 800ms) ++late;
  }
  // About a tenth each: the first ones report their result before the others retry.
  cr_assert_gt(early, 10);
  cr_assert_lt(early, 60);
  cr_assert_gt(late, 10);
}

namespace {

RouteTable single_service_table() {
  RouteConfiguration configuration;
  RelayedService service;
  service.name = ServiceName("model");
  service.model.emplace();
  configuration.services = {service};
  return RouteTable(configuration);
}

StagePlannerSettings half_prefill_settings() {
  StagePlannerSettings settings;
  settings.prefill_share = 0.5;
  return settings;
}

}  // namespace

Test(stage_planner, changes_a_tenth_of_a_large_fleet_per_batch) {
  EngineDirectory engines;
  for (int i = 0; i < 90; ++i) engines.upsert(record("e" + std::to_string(i)));
  const RouteTable table = single_service_table();
  const StagePlannerSettings settings = half_prefill_settings();
  StagePlanner planner(settings);
  int batch_size = 0;
  while (planner.next(kNow, engines, table)) ++batch_size;
  cr_assert_eq(batch_size, 9);
  cr_assert_not(planner.next(kNow + settings.batch_interval - 1ms, engines, table).has_value());
  cr_assert(planner.next(kNow + settings.batch_interval, engines, table).has_value());
}

Test(stage_planner, new_engines_with_empty_caches_are_not_batched) {
  EngineDirectory engines;
  for (int i = 0; i < 20; ++i) engines.upsert(record("e" + std::to_string(i)));
  const RouteTable table = single_service_table();
  const StagePlannerSettings settings = half_prefill_settings();
  StagePlanner planner(settings);
  while (planner.next(kNow, engines, table)) continue;  // The first batch has two engines.
  for (int i = 0; i < 20; ++i) engines.upsert(record("n" + std::to_string(i)));
  engines.find(EngineId("n0"))->cache.on_prompt_read({{7, 100}}, 0, kNow);
  std::set<std::string> changed;
  while (const auto change = planner.next(kNow + 1s, engines, table)) {
    changed.insert(change->engine.value());
  }
  cr_assert_eq(changed.size(), 18, "half of forty, less the first two");
  for (const std::string& id : changed) cr_assert_eq(id.front(), 'n');
  cr_assert_eq(changed.count("n0"), 0);
}

namespace {

relay::EngineRecord incarnation_of(const std::string& name, std::uint64_t started) {
  relay::EngineRecord record;
  record.name = name;
  record.started_unix_ms = started;
  record.id = relay::incarnation_id(name, started);
  record.service = ServiceName("s");
  record.address = "10.0.0.1:80";
  return record;
}

}  // namespace

Test(engine_directory, a_new_incarnation_inherits_no_state) {
  relay::EngineDirectory engines;
  const relay::EngineRecord first = incarnation_of("e", 1000);
  engines.upsert(first);
  engines.on_attempt_sent(first.id, {500, false});
  engines.find(first.id)->cache.on_prompt_read({{7, 100}}, 0, kNow);
  const relay::EngineRecord second = incarnation_of("e", 2000);
  engines.upsert(second);
  cr_assert_null(engines.find(first.id));
  const relay::EngineView* view = engines.find(second.id);
  cr_assert_not_null(view);
  cr_assert_eq(view->in_flight, 0);
  cr_assert(view->cache.cached_parts().empty());
  // Attempts at the first incarnation do not affect the second.
  engines.on_attempt_ended(first.id);
  engines.on_prompt_read(first.id, {500, false});
  cr_assert_eq(engines.find(second.id)->in_flight, 0);
}

Test(engine_directory, ignores_late_updates_of_an_earlier_incarnation) {
  relay::EngineDirectory engines;
  const relay::EngineRecord later = incarnation_of("e", 2000);
  engines.upsert(later);
  relay::EngineRecord old = incarnation_of("e", 1000);
  old.draining = true;
  engines.upsert(old);
  cr_assert_null(engines.find(old.id));
  cr_assert_not(engines.find(later.id)->record.draining);
  engines.replace_all({old});
  cr_assert_not_null(engines.find(later.id), "an old list still contains the engine");
  engines.remove(later.id);
  engines.upsert(old);
  cr_assert_eq(engines.size(), 0, "also after the later one was removed");
}

Test(engine_directory, draining_does_not_carry_over_to_the_next_incarnation) {
  relay::EngineDirectory engines;
  relay::EngineRecord first = incarnation_of("e", 1000);
  first.draining = true;
  engines.upsert(first);
  engines.upsert(incarnation_of("e", 2000));
  cr_assert_not(engines.find_by_name("e")->record.draining);
}

Test(engine_directory, a_long_lived_engine_stays_findable_by_name) {
  relay::EngineDirectory engines;
  engines.upsert(incarnation_of("old", 1));
  for (int i = 0; i < 20000; ++i) {
    const relay::EngineRecord record = incarnation_of("n" + std::to_string(i), 1);
    engines.upsert(record);
    engines.remove(record.id);
  }
  cr_assert_not_null(engines.find_by_name("old"));
  cr_assert_eq(engines.size(), 1);
}

// In a fleet of thousands, a release replaces more engines than a fixed number of names could
// cover.
Test(engine_directory, drops_a_late_update_of_a_replaced_engine_in_a_large_fleet) {
  constexpr int kEngines = 12000;
  EngineDirectory engines;
  const auto record = [](int i, std::uint64_t started) {
    EngineRecord made;
    made.name = "e" + std::to_string(i);
    made.started_unix_ms = started;
    made.id = incarnation_id(made.name, started);
    made.service = ServiceName("model");
    return made;
  };
  for (int i = 0; i < kEngines; ++i) engines.upsert(record(i, 200));
  for (int i = 0; i < kEngines; ++i) engines.remove(record(i, 200).id);
  for (int i = 0; i < kEngines; ++i) {
    cr_assert(engines.outdated(record(i, 100)), "engine %d is forgotten", i);
  }
}

// Guards against a full engine of the new stage whose refusals are taken for those of the change.
Test(engine_directory, knows_which_refusals_were_announced) {
  EngineDirectory engines;
  engines.upsert(record("e"));
  const EngineId id("e");
  cr_assert_not(engines.refusal_announced(kNow, id, EngineStage::kDecode));
  engines.on_stage_notice(kNow, id, {EngineStage::kPrefill, 1, 1500ms});
  cr_assert(engines.refusal_announced(kNow, id, EngineStage::kDecode));
  engines.upsert(record("e", EngineStage::kPrefill));
  cr_assert(engines.refusal_announced(kNow, id, EngineStage::kDecode), "sent before the change");
  cr_assert_not(engines.refusal_announced(kNow, id, EngineStage::kPrefill));
  cr_assert_not(engines.refusal_announced(kNow + 1500ms, id, EngineStage::kDecode));
  cr_assert_not(engines.refusal_announced(kNow, EngineId("unknown"), EngineStage::kDecode));
}

// Guards against forged notices that take work from engines without stages.
Test(engine_directory, ignores_notices_for_engines_without_stages) {
  EngineDirectory engines;
  engines.upsert(record("e", EngineStage::kNone));
  engines.on_stage_notice(kNow, EngineId("e"), {EngineStage::kPrefill, 1, 1500ms});
  cr_assert_not(view(engines, "e").leaves_stage(kNow));
  cr_assert_not(engines.refusal_announced(kNow, EngineId("e"), EngineStage::kNone));
}

Test(engine_directory, keeps_a_notice_until_the_engine_is_listed_or_the_notice_expires) {
  EngineDirectory engines;
  engines.on_stage_notice(kNow, engine_key(EngineId("early")), {EngineStage::kPrefill, 2, 1500ms});
  engines.on_stage_notice(kNow, EngineId("early"), {EngineStage::kDecode, 1, 1500ms});
  engines.upsert(record("early"));
  cr_assert(view(engines, "early").leaves_stage(kNow),
            "the notice of the earlier lease is ignored");
  cr_assert_not(view(engines, "early").leaves_stage(kNow + 1500ms));
  engines.upsert(record("other"));
  cr_assert_not(view(engines, "other").leaves_stage(kNow));
}

// Guards against knowledge that outlives the incarnation of an engine.
Test(engine_directory, drops_a_notice_with_the_incarnation) {
  EngineDirectory engines;
  EngineRecord first = record("e.1");
  first.name = "e";
  first.started_unix_ms = 1;
  engines.upsert(first);
  engines.on_stage_notice(kNow, EngineId("e.1"), {EngineStage::kPrefill, 1, 1500ms});
  EngineRecord second = record("e.2");
  second.name = "e";
  second.started_unix_ms = 2;
  engines.upsert(second);
  cr_assert_not(view(engines, "e.2").leaves_stage(kNow));
}

// Guards against memory without bound under forged notices.
Test(engine_directory, bounds_the_notices_of_unknown_engines) {
  EngineDirectory engines;
  for (EngineKey key = 0; key < 2000; ++key) {
    engines.on_stage_notice(kNow, key, {EngineStage::kPrefill, 1, 1500ms});
  }
  engines.on_stage_notice(kNow, EngineId("late"), {EngineStage::kPrefill, 1, 1500ms});
  engines.upsert(record("late"));
  cr_assert_not(view(engines, "late").leaves_stage(kNow));
  engines.on_stage_notice(kNow + 2s, EngineId("later"), {EngineStage::kPrefill, 1, 1500ms});
  engines.upsert(record("later"));
  cr_assert(view(engines, "later").leaves_stage(kNow + 2s), "expired notices make room");
}

// Guards against an order for a change that the fleet no longer needs, and against a change that is
// blocked for the engine's cooldown although it was not ordered.
Test(stage_planner, wants_a_change_only_while_its_stage_is_short) {
  EngineDirectory engines;
  for (const char* id : {"a", "b", "c", "d"}) engines.upsert(record(id));
  StagePlannerSettings settings;
  settings.prefill_share = 0.25;
  StagePlanner planner(settings);
  const RouteTable table = single_service_table();
  const auto change = planner.next(kNow, engines, table);
  cr_assert(change.has_value());
  cr_assert(planner.still_wanted(kNow, engines, table, *change));
  cr_assert_not(planner.next(kNow, engines, table).has_value(), "it still counts as planned");
  engines.upsert(record("e", EngineStage::kPrefill));
  cr_assert_not(planner.still_wanted(kNow, engines, table, *change));
  engines.remove(EngineId("e"));
  cr_assert(planner.still_wanted(kNow, engines, table, *change));
  planner.withdraw(change->engine);
  cr_assert(planner.next(kNow + settings.batch_interval, engines, table).has_value());
  engines.on_draining(change->engine);
  cr_assert_not(planner.still_wanted(kNow, engines, table, *change));
}

Test(engine_directory, samples_different_engines_of_all_services) {
  EngineDirectory engines;
  cr_assert(engines.sample(3, 7).empty());
  std::set<EngineId> seen;
  for (int i = 0; i < 50; ++i) {
    EngineRecord added = record("e" + std::to_string(i));
    added.service = ServiceName("s" + std::to_string(i % 3));
    engines.upsert(added);
  }
  for (std::uint64_t random = 0; random < 50; ++random) {
    const auto sampled = engines.sample(6, random);
    std::set<EngineId> ids;
    for (const EngineView* engine : sampled) ids.insert(engine->record.id);
    cr_assert_eq(ids.size(), 6U);
    seen.insert(ids.begin(), ids.end());
  }
  cr_assert_eq(seen.size(), 50U);
  cr_assert_eq(engines.sample(100, 3).size(), 50U);
}
