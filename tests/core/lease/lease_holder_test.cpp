#include "core/lease/lease_holder.hpp"

#include <map>

#include "core/lease/order.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

/// A store with compare-and-set, and the current time.
struct LeaseStore {
  VersionedLease lease;
  std::uint64_t last_version = 0;
  MonotonicTime now{};

  bool compare_and_set(const VersionedLease& write) {
    if (write.version != lease.version) return false;
    lease = {++last_version, write.record};
    return true;
  }
};

}  // namespace

Test(lease_holder, acquires_a_free_lease_and_stops_before_it_expires) {
  LeaseStore store;
  LeaseHolder holder(NodeId("a"), {10s, 3s, 2s});
  cr_assert_eq(holder.poll(store.now, true, "w1"), LeaseAction::kRead);
  holder.on_read(store.now, {});
  store.now += 3s;
  cr_assert_eq(holder.poll(store.now, true, "w2"), LeaseAction::kWrite);
  cr_assert(store.compare_and_set(holder.pending_write()));
  const MonotonicTime sent = store.now;
  store.now += 1s;
  holder.on_written(store.now, true, store.last_version);
  cr_assert_eq(*holder.authority(sent + 7s), 1);
  cr_assert(!holder.authority(sent + 8s));
}

Test(lease_holder, confirms_an_unanswered_write_by_reading_back) {
  LeaseStore store;
  LeaseHolder holder(NodeId("a"), {10s, 3s, 2s});
  holder.poll(store.now, true, "w1");
  holder.on_read(store.now, {});
  store.now += 3s;
  holder.poll(store.now, true, "w2");
  store.compare_and_set(holder.pending_write());
  holder.on_write_unanswered(store.now);
  cr_assert(!holder.authority(store.now));
  store.now += 3s;
  cr_assert_eq(holder.poll(store.now, true, "w3"), LeaseAction::kRead);
  holder.on_read(store.now, store.lease);
  cr_assert_eq(*holder.authority(store.now), 1);
}

Test(lease_holder, never_two_holders_under_one_fence_nor_two_at_once) {
  SHUNTBANK_PROPERTY("one authority at a time, fences grow", [] {
    LeaseStore store;
    std::vector<LeaseHolder> holders{{NodeId("a"), {10s, 3s, 2s}}, {NodeId("b"), {10s, 3s, 2s}}};
    std::map<Fence, std::size_t> holder_by_fence;
    int next_write_id = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      store.now += std::chrono::milliseconds(step % 7 == 0 ? 12000 : step * 4);
      LeaseHolder& holder = holders[static_cast<std::size_t>(step) % 2];
      const auto action = holder.poll(store.now, step % 11 != 0, std::to_string(++next_write_id));
      if (action == LeaseAction::kRead) {
        if (step % 5 == 0) holder.on_read_failed(store.now);
        if (step % 5 != 0) holder.on_read(store.now, store.lease);
      }
      if (action == LeaseAction::kWrite) {
        const bool delivered = step % 3 != 0;
        const bool applied = delivered && store.compare_and_set(holder.pending_write());
        store.now += std::chrono::milliseconds(step % 13 == 0 ? 9000 : 10);
        if (!delivered || step % 4 == 0) holder.on_write_unanswered(store.now);
        if (delivered && step % 4 != 0) holder.on_written(store.now, applied, store.last_version);
      }
      int active_holders = 0;
      for (std::size_t i = 0; i < holders.size(); ++i) {
        const auto fence = holders[i].authority(store.now);
        if (!fence) continue;
        ++active_holders;
        RC_ASSERT(holder_by_fence.emplace(*fence, i).first->second == i);
      }
      RC_ASSERT(active_holders <= 1);
    }
  });
}

Test(order_gate, accepts_only_newer_orders_in_any_order_of_arrival) {
  SHUNTBANK_PROPERTY("held stamp only grows; one order for each stamp", [] {
    OrderGate gate;
    std::map<OrderStamp, bool> accepted;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const OrderStamp before = gate.stamp();
      const Fence fence = *rc::gen::inRange<Fence>(1, 4);
      if (*rc::gen::inRange(0, 3) == 0) {
        gate.claim(fence);
      } else {
        EngineOrder order{{fence, *rc::gen::inRange<Sequence>(1, 4)}, {}};
        order.desired.accepting = *rc::gen::arbitrary<bool>();
        const auto verdict = gate.offer(order);
        if (verdict == OrderVerdict::kAccepted) {
          RC_ASSERT(accepted.emplace(order.stamp, order.desired.accepting).second);
          RC_ASSERT(order.stamp.fence == before.fence);
        }
        if (verdict == OrderVerdict::kRepeated) {
          RC_ASSERT(accepted.at(order.stamp) == order.desired.accepting);
        }
      }
      RC_ASSERT(gate.stamp() >= before);
    }
  });
}

Test(order_gate, refuses_a_late_order_of_a_former_holder) {
  OrderGate gate;
  gate.claim(1);
  gate.claim(2);
  cr_assert_eq(gate.offer({{1, 1}, {}}), OrderVerdict::kStale);
  cr_assert_eq(gate.claim(1), OrderVerdict::kStale);
  cr_assert_eq(gate.offer({{3, 1}, {}}), OrderVerdict::kStale);
  cr_assert_eq(gate.offer({{2, 1}, {}}), OrderVerdict::kAccepted);
}
