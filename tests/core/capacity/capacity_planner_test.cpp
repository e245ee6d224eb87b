#include "core/capacity/capacity_planner.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::capacity;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(500)};
const ZoneName kA("a");
const ZoneName kB("b");
const ZoneName kC("c");

EngineScale scale_of(std::uint32_t most) {
  EngineScale scale;
  scale.least = 1;
  scale.most = most;
  scale.spot_price = 0.2;
  scale.zone_prices = {{kA, 0.85}, {kB, 1.2}, {kC, 1.0}};
  return scale;
}

/// Nothing is kept at full price.
CapacitySettings without_floor(BuyingWay way = BuyingWay::kSpotSpare) {
  CapacitySettings settings;
  settings.way = way;
  settings.full_floor = 0;
  return settings;
}

/// A provider that does what it is asked, as far as it has the engines.
struct Provider {
  explicit Provider(CapacitySettings settings = {}) : planner(settings) {}

  /// Lets the planner see what is there and carries its plan out.
  Purchases turn(Duration passes = 1s) {
    now += passes;
    const Purchases plan = planner.plan(now, scale, needed, present);
    for (const auto& [purchase, wanted] : plan) {
      std::uint32_t& there =
          purchase.spot ? present[purchase.zone].spot : present[purchase.zone].full;
      if (wanted > there && none.count(purchase) > 0) {
        planner.on_none_there(now, purchase);
        continue;
      }
      there = wanted;
    }
    return plan;
  }
  void settle() {
    for (int i = 0; i < 8; ++i) turn();
  }
  std::uint32_t all() const {
    std::uint32_t sum = 0;
    for (const auto& [zone, engines] : present) sum += engines.full + engines.spot;
    return sum;
  }
  std::uint32_t full() const {
    std::uint32_t sum = 0;
    for (const auto& [zone, engines] : present) sum += engines.full;
    return sum;
  }

  CapacityPlanner planner;
  EngineScale scale = scale_of(94);
  std::uint32_t needed = 30;
  EnginesByZone present{{kA, {10, 0}}, {kB, {10, 0}}, {kC, {10, 0}}};
  std::map<Purchase, bool> none;
  MonotonicTime now = kNow;
};

}  // namespace

Test(capacity_planner, cheap_engines_take_over_and_any_one_zone_of_them_may_be_lost) {
  Provider provider;
  provider.settle();
  cr_assert_eq(provider.full(), 15, "half of what is needed stays");
  for (const ZoneName& lost : {kA, kB, kC}) {
    cr_assert_geq(provider.all() - provider.present[lost].spot, provider.needed);
  }
}

Test(capacity_planner, never_has_fewer_than_needed_while_it_changes_over) {
  Provider provider;
  provider.scale = scale_of(12);  // There is little room beside those at full price.
  for (int i = 0; i < 20; ++i) {
    provider.turn(200ms);
    cr_assert_geq(provider.all(), provider.needed, "turn %d: %u", i, provider.all());
    for (const auto& [zone, engines] : provider.present) {
      cr_assert_leq(engines.full + engines.spot, provider.scale.most);
    }
  }
}

Test(capacity_planner, fills_up_at_full_price_when_two_zones_are_taken_back_and_gives_back_after) {
  Provider provider(without_floor());
  provider.settle();
  provider.present[kA].spot = 0;
  provider.present[kB].spot = 0;
  provider.none[{kA, true}] = true;
  provider.none[{kB, true}] = true;
  provider.settle();
  cr_assert_geq(provider.all(), provider.needed);
  cr_assert_gt(provider.present[kA].full, 0, "where they are cheapest");
  cr_assert_eq(provider.present[kB].full, 0);
  provider.none.clear();
  provider.settle();
  cr_assert_eq(provider.full(), 0);
}

Test(capacity_planner, asks_elsewhere_while_a_zone_has_none) {
  Provider provider;
  provider.scale.spot_price.reset();
  provider.present = {{kA, {0, 0}}, {kB, {10, 0}}, {kC, {10, 0}}};
  provider.none[{kA, false}] = true;
  provider.turn();
  cr_assert_not(provider.planner.may_ask(provider.now, {kA, false}));
  provider.turn();
  cr_assert_eq(provider.all(), 30);
  cr_assert_eq(provider.present[kC].full, 20, "the next in price");
}

Test(capacity_planner, orders_nothing_that_does_not_pay_for_its_risk) {
  Provider provider;
  provider.scale.spot_price = 0.9;
  provider.settle();
  cr_assert_eq(provider.all(), 30);
  cr_assert_eq(provider.full(), 30);
}

Test(capacity_planner, keeps_the_least_of_each_zone_and_the_ways_differ_as_they_say) {
  Provider none(without_floor(BuyingWay::kNone));
  cr_assert(none.turn().empty());
  Provider swap(without_floor(BuyingWay::kSpotSwap));
  swap.settle();
  cr_assert_eq(swap.all(), 30);
  Provider spare(without_floor());
  spare.scale.least = 20;
  spare.settle();
  for (const auto& [zone, engines] : spare.present) {
    cr_assert_geq(engines.full + engines.spot, 20);
  }
  Provider wrong;
  wrong.scale.least = 100;
  cr_assert(wrong.turn().empty());
}

Test(capacity_planner, a_short_surplus_gives_nothing_back) {
  Provider provider(without_floor());
  provider.present = {{kA, {10, 10}}, {kB, {10, 10}}, {kC, {10, 10}}};
  const Purchases first = provider.planner.plan(kNow, provider.scale, 30, provider.present);
  cr_assert_eq(first.at({kA, false}), 10);
  const Purchases later = provider.planner.plan(kNow + 2s, provider.scale, 30, provider.present);
  cr_assert_eq(later.at({kA, false}), 0);
}
