#include "core/relay/dispatch_choice.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

/// A prefill and a decode engine, and a prompt that neither keeps.
struct Choice {
  Choice() {
    this->service.name = ServiceName("model");
    this->service.model.emplace();
    this->service.model->kv_token_bytes = 18432;
    this->service.model->link_megabits_per_second = 370000;
    this->add("reader", EngineStage::kPrefill);
    this->add("maker", EngineStage::kDecode);
    this->query.placement.service = &this->service;
    this->query.placement.prompt = &this->prompt;
    this->query.budget = 10;
  }

  void add(const std::string& id, EngineStage stage) {
    EngineRecord record;
    record.id = EngineId(id);
    record.service = this->service.name;
    record.stage = stage;
    this->engines.upsert(record);
  }

  std::optional<DispatchChoice> choose() {
    return choose_dispatch(kNow, this->engines, this->query, {}, {});
  }

  EngineDirectory engines;
  RelayedService service;
  PromptShape prompt{{{1, 9000}, {2, 1000}}, 10000, 80};
  DispatchQuery query;
};

}  // namespace

Test(dispatch_choice, has_a_long_prompt_read_apart) {
  Choice choice;
  cr_assert(choice.choose()->read_first);
  cr_assert_eq(choice.choose()->placement.engine.value(), "reader");
}

Test(dispatch_choice, reads_what_the_answering_engine_keeps_there) {
  Choice choice;
  choice.engines.find(EngineId("maker"))->cache.on_read(choice.prompt.parts, 1000000, kNow);
  cr_assert_not(choice.choose()->read_first);
  cr_assert_eq(choice.choose()->placement.engine.value(), "maker");
}

Test(dispatch_choice, reads_a_prompt_apart_once) {
  Choice choice;
  choice.query.prompt_sent = true;
  cr_assert_not(choice.choose()->read_first);
}

Test(dispatch_choice, takes_no_risk_of_a_refusal_without_budget) {
  Choice choice;
  choice.query.budget = 0.9;
  cr_assert(choice.choose()->read_first, "an engine that refuses nothing needs no budget");
  choice.engines.on_attempt_health(kNow, EngineId("reader"), AttemptHealth::kBusy);
  cr_assert_not(choice.choose()->read_first);
  choice.query.budget = 1;
  cr_assert(choice.choose()->read_first);
}

Test(dispatch_choice, reads_no_prompt_apart_that_it_could_not_pay_to_take_up) {
  Choice choice;
  choice.query.extra = true;
  choice.query.budget = 0.9;
  cr_assert_not(choice.choose()->read_first);
  choice.query.budget = 1;
  cr_assert(choice.choose()->read_first);
}

Test(dispatch_choice, reads_at_the_decode_engine_when_the_readers_queue_is_long) {
  Choice choice;
  choice.engines.on_attempt_sent(EngineId("reader"), {500000, false});
  cr_assert_not(choice.choose()->read_first);
}

Test(dispatch_choice, chooses_nothing_where_nobody_answers) {
  Choice choice;
  choice.engines.remove(EngineId("maker"));
  cr_assert_not(choice.choose().has_value());
}

Test(dispatch_choice, reads_no_prompt_beside_streams_that_are_nearly_late) {
  // Streams came 100 to 170 ms apart where 40 was free running and 150 in time: two in five late.
  Choice choice;
  choice.prompt = {{{1, 200}}, 200, 80};
  choice.query.gap_target = std::chrono::milliseconds(150);
  cr_assert_not(choice.choose()->read_first);
  choice.engines.on_event_interval(kNow, EngineId("maker"), std::chrono::milliseconds(140));
  cr_assert(choice.choose()->read_first);
}

Test(dispatch_choice, forgets_how_slow_streams_were) {
  Choice choice;
  choice.prompt = {{{1, 200}}, 200, 80};
  choice.query.gap_target = std::chrono::milliseconds(150);
  choice.engines.on_event_interval(kNow - std::chrono::seconds(2), EngineId("maker"),
                                   std::chrono::milliseconds(140));
  cr_assert_not(choice.choose()->read_first);
}

Test(dispatch_choice, defers_what_cannot_be_in_time) {
  // Four times the usual requests for four seconds: each waited in turn, and all were late.
  Choice choice;
  choice.query.time_to_objective = std::chrono::milliseconds(600);
  cr_assert_not(choice.choose()->deferred);
  choice.engines.on_attempt_sent(EngineId("reader"), {500000, false});
  choice.engines.on_attempt_sent(EngineId("maker"), {500000, false});
  cr_assert(choice.choose()->deferred);
}

Test(dispatch_choice, passes_what_is_deferred) {
  Choice choice;
  choice.query.time_to_objective = std::chrono::milliseconds(600);
  choice.engines.on_attempt_sent(EngineId("maker"), {500000, false});
  choice.engines.on_attempt_sent(EngineId("reader"), {500000, true});
  choice.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("reader"), {9, 400000, 400000}}});
  cr_assert_not(choice.choose()->deferred);
  choice.engines.on_peer_load(kNow, NodeId("n2"), {{EngineId("reader"), {9, 400000, 0}}});
  cr_assert(choice.choose()->deferred);
}

Test(dispatch_choice, counts_deferred_work_as_read_or_dropped) {
  Choice choice;
  const EngineId reader("reader");
  choice.engines.on_attempt_sent(reader, {5000, true});
  choice.engines.on_attempt_sent(reader, {3000, false});
  choice.engines.on_prompt_read(reader, {5000, true});
  cr_assert_eq(choice.engines.find(reader)->deferred_tokens, 0);
  cr_assert_eq(choice.engines.find(reader)->prefill_tokens, 3000);
}

// Seen: by reading. A request that would be just too late is chosen for again, behind all that can
// be in time; the only engine left, which takes it after a wait for a permit, was no candidate
// then. Cause: the second choice was taken for one that always finds what the first has found.
// Proved by this test, which ended the process.
Test(dispatch_choice, keeps_its_choice_where_a_limited_engine_takes_nothing_that_is_deferred) {
  Choice choice;
  choice.query.prompt_sent = true;
  const EngineId maker("maker");
  choice.engines.on_limit(maker, {2.0, kNow});
  choice.engines.on_next_permit(maker, kNow + std::chrono::milliseconds(100));
  choice.engines.on_attempt_sent(maker, {50000, true});
  const double expected_ms = choice.choose()->expected_ms;
  choice.query.time_to_objective = from_seconds(expected_ms / 0.95 / 1000);
  choice.query.placement.most_expected_ms = to_ms(choice.query.time_to_objective);
  const auto chosen = choice.choose();
  cr_assert(chosen.has_value());
  cr_assert_eq(chosen->placement.engine, maker);
}

// Seen: on ordinary days without any limit 17 in 100 less prompt memory was moved between engines,
// and large prompts were answered less often in time. How it came about: the wait for a taker's
// permit, none here, was taken for the cost of reading apart where that was below zero, as it is at
// the home of a prompt's shared part. Cause: a cost with preferences in it compared to a time.
// Proved by this test, and by the same days before and after.
Test(dispatch_choice, reads_apart_at_the_home_of_a_prompt_of_which_the_taker_keeps_a_little) {
  Choice choice;
  choice.prompt = {{{1, 3000}, {3, 6000}, {2, 1000}}, 10000, 80};
  choice.engines.find(EngineId("maker"))->cache.on_read({{1, 3000}}, 1000000, kNow);
  cr_assert(choice.choose()->read_first);
}
