#include "core/relay/placement.hpp"

#include <criterion/criterion.h>

#include <map>

#include "core/relay/stage_planner.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

EngineRecord engine(const std::string& id, EngineStage stage) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName("model");
  record.address = id + ":1";
  record.slots = 8;
  record.stage = stage;
  return record;
}

struct Fleet {
  Fleet() {
    ModelServing model;
    model.kv_tokens = 1000000;
    model.kv_token_bytes = 18432;
    model.link_megabits_per_second = 370000;
    service = {ServiceName("model"), 0, model};
    for (int i = 0; i < 5; ++i) {
      engines.upsert(engine("p" + std::to_string(i), EngineStage::kPrefill));
    }
    query.service = &service;
    query.prompt = &prompt;
    query.stage = EngineStage::kPrefill;
    query.cache_view_incomplete = false;
  }
  std::optional<Placement> choose() { return place(kNow, engines, query, PlacementSettings{}); }

  EngineDirectory engines;
  RelayedService service;
  PromptShape prompt{{{11, 12000}, {99, 3000}}, 15000, 100};
  PlacementQuery query;
};

}  // namespace

Test(placement, chooses_the_same_home_on_every_node) {
  Fleet one;
  Fleet other;
  cr_assert_eq(one.choose()->engine, other.choose()->engine);
}

Test(placement, excludes_draining_other_stage_and_excluded_engines) {
  Fleet fleet;
  for (int i = 0; i < 4; ++i) {
    EngineRecord draining = engine("p" + std::to_string(i), EngineStage::kPrefill);
    draining.draining = true;
    fleet.engines.upsert(draining);
  }
  cr_assert_eq(fleet.choose()->engine.value(), "p4");
  const std::vector<EngineId> excluded{EngineId("p4")};
  fleet.query.excluded_engines = &excluded;
  cr_assert_not(fleet.choose().has_value());
}

Test(placement, uses_an_avoided_engine_only_when_no_other_is_left) {
  Fleet fleet;
  const EngineId home = fleet.choose()->engine;
  fleet.engines.on_attempt_health(kNow, home, AttemptHealth::kUnreachable);
  cr_assert_neq(fleet.choose()->engine, home);
  for (int i = 0; i < 5; ++i) {
    fleet.engines.on_attempt_health(kNow, EngineId("p" + std::to_string(i)),
                                    AttemptHealth::kUnreachable);
  }
  cr_assert(fleet.choose().has_value());
}

Test(placement, fetches_cached_parts_when_their_engine_is_loaded) {
  Fleet fleet;
  const EngineId home = fleet.choose()->engine;
  fleet.engines.find(home)->cache.on_prompt_read(fleet.prompt.parts, 1000000, kNow);
  cr_assert_eq(fleet.choose()->engine, home);
  cr_assert_eq(fleet.choose()->prefill_tokens, 0);
  fleet.engines.on_attempt_sent(home, {60000, false});
  const auto spilled = fleet.choose();
  cr_assert_neq(spilled->engine, home);
  cr_assert_eq(*spilled->fetch_from, home);
  cr_assert_eq(spilled->prefill_tokens, 0);
}

Test(placement, leaves_the_home_when_reading_the_shared_parts_elsewhere_is_quicker) {
  // Guards against a fixed bonus for the home: fast engines prefill the shared parts in less time
  // than the bonus, so that requests would queue at the home for longer than they save.
  Fleet fleet;
  const EngineId home = fleet.choose()->engine;
  const double shared_prefill_ms =
      12000 * fleet.engines.model_of(fleet.service.name).prefill().token_ms();
  const auto tokens_of = [&](double ms) {
    return static_cast<std::uint64_t>(
        ms / fleet.engines.model_of(fleet.service.name).prefill().token_ms());
  };
  fleet.engines.on_attempt_sent(home, {tokens_of(shared_prefill_ms), false});
  cr_assert_eq(fleet.choose()->engine, home);
  fleet.engines.on_attempt_sent(home, {tokens_of(2 * shared_prefill_ms), false});
  cr_assert_neq(fleet.choose()->engine, home);
}

// Guards against an expected time that counts the work ahead in full, whatever was observed.
Test(placement, expects_the_learned_share_of_the_work_ahead) {
  Fleet fleet;
  for (int i = 0; i < 5; ++i) {
    fleet.engines.on_attempt_sent(EngineId("p" + std::to_string(i)), {20000, false});
  }
  const auto in_full = fleet.choose();
  EngineModel& model = fleet.engines.model_of(fleet.service.name);
  for (int i = 0; i < 200; ++i) {
    const double own_ms = model.prefill().prefill_ms(1000);
    model.on_read_behind(300, 1000, from_seconds((own_ms + 150) / 1000));
  }
  const auto learned = fleet.choose();
  cr_assert_float_eq(learned->ahead_ms, in_full->ahead_ms, 1e-6);
  cr_assert_float_eq(learned->expected_ms, in_full->expected_ms - in_full->ahead_ms / 2, 10);
}

// Guards against a handover to an engine that makes it wait, as its caches are preferred.
Test(placement, prefers_a_free_decode_engine_to_the_home_with_learned_waits) {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    EngineRecord record = engine("d" + std::to_string(i), EngineStage::kDecode);
    record.slots = 16;
    fleet.engines.upsert(record);
  }
  fleet.query.stage = EngineStage::kDecode;
  const EngineId home = fleet.choose()->engine;
  // Quick engines, so that neither caches nor a full batch count for much.
  EngineModel& model = fleet.engines.model_of(fleet.service.name);
  for (int i = 0; i < 50; ++i) model.on_prompt_read(12000, from_seconds(0.01), true);
  fleet.engines.on_peer_load(kNow, NodeId("n2"), {{home, {13, 0, 0}}});
  cr_assert_eq(fleet.choose()->engine, home);
  for (int i = 0; i < 50; ++i) model.on_handover(from_seconds(0.12), false, {13, 16});
  cr_assert_neq(fleet.choose()->engine, home);
}

Test(placement, counts_the_load_of_other_nodes) {
  Fleet fleet;
  const EngineId home = fleet.choose()->engine;
  fleet.engines.on_peer_load(kNow, NodeId("n2"), {{home, {3, 90000}}});
  cr_assert_neq(fleet.choose()->engine, home);
  fleet.engines.expire_peer_load(kNow + 3s);
  cr_assert_eq(fleet.choose()->engine, home);
}

Test(placement, assumes_parts_cached_at_home_after_a_restart) {
  Fleet fleet;
  cr_assert_eq(fleet.choose()->prefill_tokens, 15000);
  fleet.query.cache_view_incomplete = true;
  cr_assert_eq(fleet.choose()->prefill_tokens, 3000);
}

Test(placement, spreads_prompts_placed_on_a_shared_view) {
  // Guards against all nodes choosing the same least loaded engine until the next load view.
  Fleet fleet;
  fleet.engines.set_shared_view_age(200ms);
  LoadRange view;
  for (int i = 0; i < 5; ++i) {
    view.load[engine_key(EngineId("p" + std::to_string(i)))] = {9, 40000U + 100U * i, 0};
  }
  fleet.engines.on_fleet_load(kNow, view, {});
  std::map<EngineId, int> chosen;
  for (std::uint64_t request = 1; request <= 100; ++request) {
    fleet.prompt.parts = {{1000 + request, 50}, {request, 3000}};
    fleet.prompt.prompt_tokens = 3050;
    ++chosen[fleet.choose()->engine];
  }
  cr_assert_eq(chosen.size(), 5);
  for (const auto& [engine, requests] : chosen) cr_assert_lt(requests, 45, "%d", requests);
}

Test(placement, does_not_spread_over_idle_engines) {
  Fleet fleet;
  const EngineId home = fleet.choose()->engine;
  fleet.engines.set_shared_view_age(200ms);
  for (std::uint64_t request = 1; request <= 50; ++request) {
    fleet.prompt.parts.back().id = request;
    cr_assert_eq(fleet.choose()->engine, home);
  }
}

Test(engine_directory, keeps_draining_despite_late_records) {
  EngineDirectory engines;
  EngineRecord record = engine("e", EngineStage::kDecode);
  record.draining = true;
  engines.upsert(record);
  record.draining = false;
  engines.upsert(record);
  cr_assert(engines.find(EngineId("e"))->record.draining);
}

Test(prompt_cache, evicts_the_least_recently_used_part) {
  PromptCacheView cache;
  const PromptShape old{{{1, 600}}, 600, 1};
  const PromptShape recent{{{2, 600}}, 600, 1};
  cache.on_prompt_read(old.parts, 1000, kNow);
  cache.on_prompt_read(recent.parts, 1000, kNow + 1s);
  cr_assert_eq(cache.cached_tokens(old), 0);
  cr_assert_eq(cache.cached_tokens(recent), 600);
}

Test(stage_planner, counts_an_order_in_progress_as_done) {
  // Guards against repeating a stage-change order before its effect shows, and reverting it
  // afterwards.
  Fleet fleet;
  for (int i = 0; i < 5; ++i) {
    fleet.engines.upsert(engine("p" + std::to_string(i), EngineStage::kDecode));
  }
  RouteConfiguration configuration;
  configuration.services = {fleet.service};
  const RouteTable table(configuration);
  StagePlannerSettings settings;
  settings.prefill_share = 0.4;
  StagePlanner planner(settings);
  int orders = 0;
  for (int second = 0; second < 11; ++second) {
    if (planner.next(kNow + std::chrono::seconds(second), fleet.engines, table)) ++orders;
  }
  cr_assert_eq(orders, 2);
}

Test(stage_planner, keeps_the_minimum_of_decode_engines) {
  Fleet fleet;
  for (int i = 0; i < 5; ++i) {
    const auto stage = i < 2 ? EngineStage::kDecode : EngineStage::kPrefill;
    fleet.engines.upsert(engine("p" + std::to_string(i), stage));
  }
  RouteConfiguration configuration;
  configuration.services = {fleet.service};
  StagePlannerSettings settings;
  settings.prefill_share = 1;
  StagePlanner planner(settings);
  cr_assert_not(planner.next(kNow, fleet.engines, RouteTable(configuration)).has_value());
}

// Guards against sends to engines that are about to change their stage: of 1,327 sends refused with
// 503, 1,106 came within a second of a stage order to that engine, 385 of them at idle newcomers.
Test(placement, sends_nothing_new_to_an_engine_about_to_change_its_stage) {
  Fleet fleet;
  const StageNotice notice{EngineStage::kDecode, 1, 1500ms};
  const EngineId home = fleet.choose()->engine;
  fleet.engines.on_stage_notice(kNow, home, notice);
  cr_assert_neq(fleet.choose()->engine, home);
  // Idle, while all others are busy.
  for (int i = 0; i < 5; ++i) {
    const EngineId id("p" + std::to_string(i));
    for (int sent = 0; id != home && sent < 8; ++sent) {
      fleet.engines.on_attempt_sent(id, {20000, false});
    }
  }
  cr_assert_neq(fleet.choose()->engine, home);
}

// Guards against the same at an engine whose notice arrives before its record does.
Test(placement, sends_nothing_new_to_a_newly_listed_engine_about_to_change_its_stage) {
  Fleet fleet;
  const StageNotice notice{EngineStage::kDecode, 1, 1500ms};
  for (int i = 0; i < 5; ++i) {
    for (int sent = 0; sent < 8; ++sent) {
      fleet.engines.on_attempt_sent(EngineId("p" + std::to_string(i)), {20000, false});
    }
  }
  fleet.engines.on_stage_notice(kNow, EngineId("new"), notice);
  fleet.engines.upsert(engine("new", EngineStage::kPrefill));
  cr_assert_neq(fleet.choose()->engine.value(), "new");
}

// Guards against a stage without engines: a notice is a hint, and the change may be withdrawn.
Test(placement, uses_an_engine_about_to_change_only_when_no_other_is_left) {
  Fleet fleet;
  const StageNotice notice{EngineStage::kDecode, 1, 1500ms};
  for (int i = 0; i < 5; ++i) {
    const EngineId id("p" + std::to_string(i));
    if (i > 0) fleet.engines.on_stage_notice(kNow, id, notice);
  }
  fleet.engines.on_attempt_health(kNow, EngineId("p0"), AttemptHealth::kBusy);
  cr_assert_eq(fleet.choose()->engine.value(), "p0", "rather one in backoff");
  fleet.engines.on_stage_notice(kNow, EngineId("p0"), notice);
  cr_assert(fleet.choose().has_value());
}

Test(placement, uses_an_engine_again_after_its_notice_ends) {
  Fleet expired;
  const EngineId home = expired.choose()->engine;
  expired.engines.on_stage_notice(kNow - 2s, home, {EngineStage::kDecode, 1, 1500ms});
  cr_assert_eq(expired.choose()->engine, home);
  Fleet withdrawn;
  withdrawn.engines.on_stage_notice(kNow, home, {EngineStage::kDecode, 1, 1500ms});
  withdrawn.engines.on_stage_notice(kNow, home, {EngineStage::kPrefill, 1, 0ms});
  cr_assert_eq(withdrawn.choose()->engine, home);
  Fleet changed;
  changed.engines.on_stage_notice(kNow, home, {EngineStage::kPrefill, 1, 1500ms});
  cr_assert_eq(changed.choose()->engine, home, "the list shows the new stage");
}
