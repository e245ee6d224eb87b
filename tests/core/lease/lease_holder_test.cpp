#include "core/lease/lease_holder.hpp"

#include <map>

#include "core/lease/order.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

/// A store with compare-and-set, and two candidates whose calls may be lost, late or doubled.
struct World {
  VersionedLease stored;
  std::uint64_t last_version = 0;
  MonotonicTime now{};

  bool compare_and_set(const VersionedLease& write) {
    if (write.version != stored.version) return false;
    stored = {++last_version, write.record};
    return true;
  }
};

}  // namespace

Test(lease_holder, takes_a_free_lease_and_stops_on_its_own_clock) {
  World world;
  LeaseHolder holder(NodeId("a"), {10s, 3s, 2s});
  cr_assert_eq(holder.poll(world.now, true, "w1"), LeaseAction::kRead);
  holder.on_read(world.now, {});
  world.now += 3s;
  cr_assert_eq(holder.poll(world.now, true, "w2"), LeaseAction::kWrite);
  cr_assert(world.compare_and_set(holder.pending_write()));
  const MonotonicTime sent = world.now;
  world.now += 1s;
  holder.on_written(world.now, true, world.last_version);
  cr_assert_eq(*holder.authority(sent + 7s), 1);
  cr_assert(!holder.authority(sent + 8s));
}

Test(lease_holder, settles_a_lost_answer_by_reading_back) {
  World world;
  LeaseHolder holder(NodeId("a"), {10s, 3s, 2s});
  holder.poll(world.now, true, "w1");
  holder.on_read(world.now, {});
  world.now += 3s;
  holder.poll(world.now, true, "w2");
  world.compare_and_set(holder.pending_write());
  holder.on_write_unanswered(world.now);
  cr_assert(!holder.authority(world.now));
  world.now += 3s;
  cr_assert_eq(holder.poll(world.now, true, "w3"), LeaseAction::kRead);
  holder.on_read(world.now, world.stored);
  cr_assert_eq(*holder.authority(world.now), 1);
}

Test(lease_holder, never_two_authorities_under_one_fence_nor_two_at_once) {
  SHUNTBANK_PROPERTY("one authority at a time, fences grow", [] {
    World world;
    std::vector<LeaseHolder> holders{{NodeId("a"), {10s, 3s, 2s}}, {NodeId("b"), {10s, 3s, 2s}}};
    std::map<Fence, std::size_t> owners;
    int counter = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      world.now += std::chrono::milliseconds(step % 7 == 0 ? 12000 : step * 4);
      LeaseHolder& holder = holders[static_cast<std::size_t>(step) % 2];
      const auto action = holder.poll(world.now, step % 11 != 0, std::to_string(++counter));
      if (action == LeaseAction::kRead) {
        if (step % 5 == 0) holder.on_read_failed(world.now);
        if (step % 5 != 0) holder.on_read(world.now, world.stored);
      }
      if (action == LeaseAction::kWrite) {
        const bool reaches = step % 3 != 0;
        const bool applied = reaches && world.compare_and_set(holder.pending_write());
        world.now += std::chrono::milliseconds(step % 13 == 0 ? 9000 : 10);
        if (!reaches || step % 4 == 0) holder.on_write_unanswered(world.now);
        if (reaches && step % 4 != 0) holder.on_written(world.now, applied, world.last_version);
      }
      int authorities = 0;
      for (std::size_t i = 0; i < holders.size(); ++i) {
        const auto fence = holders[i].authority(world.now);
        if (!fence) continue;
        ++authorities;
        RC_ASSERT(owners.emplace(*fence, i).first->second == i);
      }
      RC_ASSERT(authorities <= 1);
    }
  });
}

Test(order_gate, holds_the_newest_order_whatever_the_arrival) {
  SHUNTBANK_PROPERTY("held stamp only grows; one order for each stamp", [] {
    OrderGate gate;
    std::map<OrderStamp, bool> taken;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const OrderStamp before = gate.held();
      const Fence fence = *rc::gen::inRange<Fence>(1, 4);
      if (*rc::gen::inRange(0, 3) == 0) {
        gate.claim(fence);
      } else {
        EngineOrder order{{fence, *rc::gen::inRange<Sequence>(1, 4)}, {}};
        order.desired.accepting = *rc::gen::arbitrary<bool>();
        const auto verdict = gate.offer(order);
        if (verdict == OrderVerdict::kAccepted) {
          RC_ASSERT(taken.emplace(order.stamp, order.desired.accepting).second);
          RC_ASSERT(order.stamp.fence == before.fence);
        }
        if (verdict == OrderVerdict::kRepeated) {
          RC_ASSERT(taken.at(order.stamp) == order.desired.accepting);
        }
      }
      RC_ASSERT(gate.held() >= before);
    }
  });
}

Test(order_gate, refuses_a_late_order_of_an_old_holder) {
  OrderGate gate;
  gate.claim(1);
  gate.claim(2);
  cr_assert_eq(gate.offer({{1, 1}, {}}), OrderVerdict::kStale);
  cr_assert_eq(gate.claim(1), OrderVerdict::kStale);
  cr_assert_eq(gate.offer({{3, 1}, {}}), OrderVerdict::kStale);
  cr_assert_eq(gate.offer({{2, 1}, {}}), OrderVerdict::kAccepted);
}
