#include "core/relay/dispatch_plan.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

/// A prefill and a decode engine, and a prompt that neither caches.
struct Fixture {
  Fixture() {
    this->service.name = ServiceName("model");
    this->service.model.emplace();
    this->service.model->kv_token_bytes = 18432;
    this->service.model->link_megabits_per_second = 370000;
    this->add("reader", EngineStage::kPrefill);
    this->add("maker", EngineStage::kDecode);
    this->query.placement.service = &this->service;
    this->query.placement.prompt = &this->prompt;
    this->query.retry_budget = 10;
  }

  void add(const std::string& id, EngineStage stage) {
    EngineRecord record;
    record.id = EngineId(id);
    record.service = this->service.name;
    record.stage = stage;
    this->engines.upsert(record);
  }

  std::optional<DispatchPlan> plan() {
    return plan_dispatch(kNow, this->engines, this->query, {}, {});
  }

  EngineDirectory engines;
  RelayedService service;
  PromptShape prompt{{{1, 9000}, {2, 1000}}, 10000, 80};
  DispatchQuery query;
};

}  // namespace

Test(dispatch_plan, prefills_a_long_prompt_remotely) {
  Fixture fixture;
  cr_assert(fixture.plan()->remote_prefill);
  cr_assert_eq(fixture.plan()->placement.engine.value(), "reader");
}

Test(dispatch_plan, uses_the_decode_engine_that_caches_the_prompt) {
  Fixture fixture;
  fixture.engines.find(EngineId("maker"))
      ->cache.on_prompt_read(fixture.prompt.parts, 1000000, kNow);
  cr_assert_not(fixture.plan()->remote_prefill);
  cr_assert_eq(fixture.plan()->placement.engine.value(), "maker");
}

Test(dispatch_plan, prefills_remotely_only_once) {
  Fixture fixture;
  fixture.query.prefill_sent = true;
  cr_assert_not(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, avoids_likely_refusals_without_retry_budget) {
  Fixture fixture;
  fixture.query.retry_budget = 0.9;
  cr_assert(fixture.plan()->remote_prefill,
            "no budget needed for an engine that is not in backoff");
  fixture.engines.on_attempt_health(kNow, EngineId("reader"), AttemptHealth::kBusy);
  cr_assert_not(fixture.plan()->remote_prefill);
  fixture.query.retry_budget = 1;
  cr_assert(fixture.plan()->remote_prefill);
}

// Guards against budget spent at the last prefill engine, which refuses during its stage change.
Test(dispatch_plan, avoids_a_prefill_engine_about_to_change_without_retry_budget) {
  Fixture fixture;
  fixture.query.retry_budget = 0.9;
  fixture.engines.on_stage_notice(kNow, EngineId("reader"),
                                  {EngineStage::kDecode, 1, std::chrono::seconds(1)});
  cr_assert_not(fixture.plan()->remote_prefill);
  fixture.query.retry_budget = 1;
  cr_assert(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, needs_retry_budget_for_the_decode_dispatch) {
  Fixture fixture;
  fixture.query.extra_dispatch = true;
  fixture.query.retry_budget = 0.9;
  cr_assert_not(fixture.plan()->remote_prefill);
  fixture.query.retry_budget = 1;
  cr_assert(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, prefills_at_the_decode_engine_when_the_prefill_queue_is_long) {
  Fixture fixture;
  fixture.engines.on_attempt_sent(EngineId("reader"), {500000, false});
  cr_assert_not(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, plans_nothing_without_a_decode_engine) {
  Fixture fixture;
  fixture.engines.remove(EngineId("maker"));
  cr_assert_not(fixture.plan().has_value());
}

Test(dispatch_plan, does_not_prefill_beside_streams_close_to_the_gap_target) {
  // Guards against prefills that push streams over their gap target.
  Fixture fixture;
  fixture.prompt = {{{1, 200}}, 200, 80};
  fixture.query.gap_target = std::chrono::milliseconds(150);
  cr_assert_not(fixture.plan()->remote_prefill);
  fixture.engines.on_event_interval(kNow, EngineId("maker"), std::chrono::milliseconds(140));
  cr_assert(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, ignores_stale_stream_gaps) {
  Fixture fixture;
  fixture.prompt = {{{1, 200}}, 200, 80};
  fixture.query.gap_target = std::chrono::milliseconds(150);
  fixture.engines.on_event_interval(kNow - std::chrono::seconds(2), EngineId("maker"),
                                    std::chrono::milliseconds(140));
  cr_assert_not(fixture.plan()->remote_prefill);
}

Test(dispatch_plan, defers_requests_that_cannot_meet_the_objective) {
  // Guards against overloads in which requests served in order all miss their objective.
  Fixture fixture;
  fixture.query.time_to_objective = std::chrono::milliseconds(600);
  cr_assert_not(fixture.plan()->deferred);
  fixture.engines.on_attempt_sent(EngineId("reader"), {500000, false});
  fixture.engines.on_attempt_sent(EngineId("maker"), {500000, false});
  cr_assert(fixture.plan()->deferred);
}

Test(dispatch_plan, does_not_wait_behind_deferred_requests) {
  Fixture fixture;
  fixture.query.time_to_objective = std::chrono::milliseconds(600);
  fixture.engines.on_attempt_sent(EngineId("maker"), {500000, false});
  fixture.engines.on_attempt_sent(EngineId("reader"), {500000, true});
  fixture.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("reader"), {9, 400000, 400000}}});
  cr_assert_not(fixture.plan()->deferred);
  fixture.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("reader"), {9, 400000, 0}}});
  cr_assert(fixture.plan()->deferred);
}

Test(dispatch_plan, releases_deferred_work_once_read) {
  Fixture fixture;
  const EngineId prefill_engine("reader");
  fixture.engines.on_attempt_sent(prefill_engine, {5000, true});
  fixture.engines.on_attempt_sent(prefill_engine, {3000, false});
  fixture.engines.on_prompt_read(prefill_engine, {5000, true});
  cr_assert_eq(fixture.engines.find(prefill_engine)->deferred_tokens, 0);
  cr_assert_eq(fixture.engines.find(prefill_engine)->prefill_tokens, 3000);
}

// Guards against a crash when a request that would miss its objective is planned again as deferred
// and has no candidate: the rate limit of the only engine would admit it too late.
Test(dispatch_plan, keeps_the_first_plan_when_no_deferred_plan_exists) {
  Fixture fixture;
  fixture.query.prefill_sent = true;
  const EngineId decode_engine("maker");
  fixture.engines.on_limit(decode_engine, {2.0, kNow});
  fixture.engines.on_next_permit(decode_engine, kNow + std::chrono::milliseconds(100));
  fixture.engines.on_attempt_sent(decode_engine, {50000, true});
  const double expected_ms = fixture.plan()->expected_ms;
  fixture.query.time_to_objective = from_seconds(expected_ms / 0.95 / 1000);
  fixture.query.placement.max_expected_ms = to_ms(fixture.query.time_to_objective);
  const auto plan = fixture.plan();
  cr_assert(plan.has_value());
  cr_assert_eq(plan->placement.engine, decode_engine);
}

// Guards against comparing the permit wait, a time, with a placement cost. The cost is reduced at
// the home engine of a shared prompt part and may be negative there; remote prefills were then
// rejected.
Test(dispatch_plan, prefills_remotely_at_the_home_of_a_partly_cached_prompt) {
  Fixture fixture;
  fixture.prompt = {{{1, 3000}, {3, 6000}, {2, 1000}}, 10000, 80};
  fixture.engines.find(EngineId("maker"))->cache.on_prompt_read({{1, 3000}}, 1000000, kNow);
  cr_assert(fixture.plan()->remote_prefill);
}

// Guards against plans that expect requests in time at engines whose slots are all taken.
Test(dispatch_plan, expects_the_wait_for_a_slot_of_the_decode_engine) {
  Fixture fixture;
  const auto before = fixture.plan();
  cr_assert(before->remote_prefill);
  cr_assert_eq(before->slot_wait_ms, 0);
  fixture.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("maker"), {1, 0, 0}}});
  const auto full = fixture.plan();
  cr_assert(full->remote_prefill);
  cr_assert_gt(full->slot_wait_ms, 100);
  cr_assert_float_eq(full->expected_ms, before->expected_ms + full->slot_wait_ms, 0.1);
  cr_assert_float_eq(
      full->expected_ms,
      full->placement.expected_ms + full->handover_ms + full->transfer_ms + full->slot_wait_ms,
      0.1);
  fixture.query.prefill_sent = true;
  const auto direct = fixture.plan();
  cr_assert_not(direct->remote_prefill);
  cr_assert_float_eq(direct->slot_wait_ms, full->slot_wait_ms, 0.1);
  cr_assert_gt(direct->expected_ms, direct->slot_wait_ms);
}

Test(dispatch_plan, defers_a_request_that_waits_too_long_for_a_slot) {
  Fixture fixture;
  fixture.query.time_to_objective = std::chrono::milliseconds(600);
  cr_assert_not(fixture.plan()->deferred);
  fixture.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("maker"), {3, 0, 0}}});
  cr_assert(fixture.plan()->deferred);
}
