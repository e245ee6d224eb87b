#include "core/relay/stage_change_queue.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kFence = 7;
constexpr std::size_t kManyOrders = 100;

EngineRecord engine(const std::string& id, EngineStage stage = EngineStage::kDecode) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName("model");
  record.address = id + ":1";
  record.slots = 4;
  record.stage = stage;
  return record;
}

/// A queue with the change of one decode engine, announced at `kNow`.
struct OneChange {
  OneChange() {
    engines.upsert(engine("e"));
    queue.announce(kNow, change, kFence);
  }

  StageChangeStep poll(Duration after, bool wanted = true, std::size_t max_orders = kManyOrders) {
    const auto steps = queue.poll(
        kNow + after, engines, [wanted](const StageChange&) { return wanted; }, max_orders);
    cr_assert_eq(steps.size(), 1);
    return steps.front();
  }

  StageChangeSettings settings;
  StageChangeQueue queue{settings};
  EngineDirectory engines;
  StageChange change{EngineId("e"), EngineStage::kPrefill};
};

}  // namespace

// Guards against an order that arrives before the notice: the other nodes learn of it by refusals.
Test(stage_change_queue, orders_only_after_the_notice_had_time_to_arrive) {
  OneChange one;
  cr_assert(one.poll(0ms).action == StageChangeAction::kNotify);
  cr_assert(one.poll(one.settings.notice_lead - 1ms).action == StageChangeAction::kNotify);
  cr_assert(one.poll(one.settings.notice_lead).action == StageChangeAction::kOrder);
  cr_assert(one.poll(one.settings.notice_lead + 1ms).action == StageChangeAction::kNotify,
            "one order only");
}

// Guards against an order that the planner no longer wants when the notice has arrived.
Test(stage_change_queue, withdraws_a_change_that_is_no_longer_wanted) {
  OneChange one;
  const StageChangeStep step = one.poll(one.settings.notice_lead, false);
  cr_assert(step.action == StageChangeAction::kWithdraw);
  cr_assert_not(step.ordered);
  cr_assert_eq(one.queue.size(), 0);
}

// Guards against the withdrawal of a notice whose order may still be carried out.
Test(stage_change_queue, keeps_an_ordered_change_that_is_no_longer_wanted) {
  OneChange one;
  one.poll(one.settings.notice_lead);
  cr_assert(one.poll(one.settings.notice_lead + 400ms, false).action == StageChangeAction::kNotify);
}

// Guards against refusals of what waits at the engine when the order arrives.
Test(stage_change_queue, puts_an_order_off_while_requests_wait_at_the_engine) {
  OneChange one;
  for (int i = 0; i < 5; ++i) one.engines.on_attempt_sent(EngineId("e"), {});
  const Duration lead = one.settings.notice_lead;
  cr_assert(one.poll(lead).action == StageChangeAction::kNotify);
  cr_assert(one.poll(lead + one.settings.max_queue_wait - 1ms).action ==
            StageChangeAction::kNotify);
  cr_assert(one.poll(lead + one.settings.max_queue_wait).action == StageChangeAction::kOrder);
}

Test(stage_change_queue, orders_once_nothing_waits_at_the_engine) {
  OneChange one;
  for (int i = 0; i < 5; ++i) one.engines.on_attempt_sent(EngineId("e"), {});
  cr_assert(one.poll(one.settings.notice_lead).action == StageChangeAction::kNotify);
  one.engines.on_attempt_ended(EngineId("e"));
  cr_assert(one.poll(one.settings.notice_lead + 1ms).action == StageChangeAction::kOrder);
}

Test(stage_change_queue, completes_when_the_list_shows_the_new_stage) {
  OneChange one;
  one.poll(one.settings.notice_lead);
  one.queue.on_ordered(kNow + 500ms, EngineId("e"));
  one.engines.upsert(engine("e", EngineStage::kPrefill));
  const StageChangeStep step = one.poll(4s);
  cr_assert(step.action == StageChangeAction::kComplete);
  cr_assert(step.ordered);
  cr_assert_eq(one.queue.size(), 0);
}

// Guards against an engine that gets no work for ever after a lost order, and against work for one
// that carries out its order seconds late.
Test(stage_change_queue, repeats_the_notice_until_the_effect_of_the_order_is_overdue) {
  OneChange one;
  one.poll(one.settings.notice_lead);
  one.queue.on_ordered(kNow + 500ms, EngineId("e"));
  cr_assert(one.poll(500ms + one.settings.effect_timeout - 1ms).action ==
            StageChangeAction::kNotify);
  const StageChangeStep step = one.poll(500ms + one.settings.effect_timeout);
  cr_assert(step.action == StageChangeAction::kExpire);
  cr_assert_eq(one.queue.size(), 0);
}

Test(stage_change_queue, withdraws_a_change_of_an_engine_that_drains_or_is_gone) {
  OneChange draining;
  draining.engines.on_draining(EngineId("e"));
  cr_assert(draining.poll(400ms).action == StageChangeAction::kWithdraw);
  OneChange gone;
  gone.engines.remove(EngineId("e"));
  cr_assert(gone.poll(400ms).action == StageChangeAction::kWithdraw);
}

// Guards against an order after a stall, or after a while without the lease, when the nodes'
// notices have expired.
Test(stage_change_queue, restarts_the_time_to_the_order_after_a_gap_between_notices) {
  OneChange one;
  one.poll(100ms);
  cr_assert(one.poll(5s).action == StageChangeAction::kNotify);
  cr_assert(one.poll(5s + one.settings.notice_lead - 1ms).action == StageChangeAction::kNotify);
  cr_assert(one.poll(5s + one.settings.notice_lead).action == StageChangeAction::kOrder);
}

// Guards against an order under the fence of an earlier lease.
Test(stage_change_queue, drops_the_changes_of_earlier_leases) {
  OneChange one;
  cr_assert(one.queue.drop_before(kNow + 1s, kFence).empty());
  const auto dropped = one.queue.drop_before(kNow + 1s, kFence + 1);
  cr_assert_eq(dropped.size(), 1);
  cr_assert(dropped.front().action == StageChangeAction::kExpire);
  cr_assert_eq(dropped.front().fence, kFence);
  cr_assert_eq(one.queue.size(), 0);
}

// Guards against a burst of calls: each order takes two of them.
Test(stage_change_queue, gives_no_more_orders_than_allowed) {
  OneChange one;
  cr_assert(one.poll(one.settings.notice_lead, true, 0).action == StageChangeAction::kNotify);
  cr_assert(one.poll(one.settings.notice_lead, true, 1).action == StageChangeAction::kOrder);
}

// Guards against notices without bound where many engines have the wrong stage.
Test(stage_change_queue, has_room_for_a_bounded_number_of_announced_changes) {
  StageChangeSettings settings;
  settings.max_announced = 2;
  StageChangeQueue queue(settings);
  cr_assert(queue.announce(kNow, {EngineId("a"), EngineStage::kPrefill}, kFence));
  cr_assert_not(queue.announce(kNow, {EngineId("a"), EngineStage::kDecode}, kFence));
  cr_assert(queue.has_room());
  cr_assert(queue.announce(kNow, {EngineId("b"), EngineStage::kPrefill}, kFence));
  cr_assert_not(queue.has_room());
}

// Guards against bytes without bound: each standing notice is repeated to all nodes on each tick.
Test(stage_change_queue, bounds_the_standing_notices) {
  StageChangeSettings settings;
  settings.max_standing = 2;
  StageChangeQueue queue(settings);
  EngineDirectory engines;
  for (const char* id : {"a", "b"}) {
    engines.upsert(engine(id));
    queue.announce(kNow, {EngineId(id), EngineStage::kPrefill}, kFence);
  }
  const auto wanted = [](const StageChange&) { return true; };
  queue.poll(kNow + settings.notice_lead, engines, wanted, kManyOrders);
  cr_assert_not(queue.has_room(), "ordered changes still have notices");
  engines.upsert(engine("a", EngineStage::kPrefill));
  queue.poll(kNow + 4s, engines, wanted, kManyOrders);
  cr_assert(queue.has_room());
}

// Guards against a notice that ends although the holder is alive and two repetitions were lost, and
// against one that outlives the lease of a dead holder.
Test(stage_change_queue, notices_survive_two_lost_repetitions_but_no_lease) {
  const StageChangeSettings settings;
  cr_assert_geq(settings.notice_validity, 3 * 400ms + settings.notice_lead);
  cr_assert_lt(settings.notice_validity, 5s);
  cr_assert_lt(settings.effect_timeout, StagePlannerSettings{}.engine_cooldown);
}
