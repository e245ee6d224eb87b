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

EngineScale scale_of(std::uint32_t max_engines) {
  EngineScale scale;
  scale.min = 1;
  scale.max = max_engines;
  scale.spot_price = 0.2;
  scale.zone_prices = {{kA, 0.85}, {kB, 1.2}, {kC, 1.0}};
  return scale;
}

/// Settings without a minimum of full-price engines.
CapacitySettings without_full_price_minimum(SpotStrategy strategy = SpotStrategy::kSpotSpare) {
  CapacitySettings settings;
  settings.strategy = strategy;
  settings.min_full_price_share = 0;
  return settings;
}

/// A provider that carries out plans, except for the kinds marked unavailable.
struct Provider {
  explicit Provider(CapacitySettings settings = {}) : planner(settings) {}

  /// Advances time, plans for the present engines and carries out the plan.
  Purchases step(Duration elapsed = 1s) {
    now += elapsed;
    const Purchases plan = planner.plan(now, scale, needed, present);
    for (const auto& [purchase, wanted] : plan) {
      std::uint32_t& running =
          purchase.spot ? present[purchase.zone].spot : present[purchase.zone].full;
      if (wanted > running && unavailable.count(purchase) > 0) {
        planner.on_unavailable(now, purchase);
        continue;
      }
      running = wanted;
    }
    return plan;
  }
  void run_until_stable() {
    for (int i = 0; i < 8; ++i) step();
  }
  std::uint32_t total() const {
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
  std::map<Purchase, bool> unavailable;
  MonotonicTime now = kNow;
};

}  // namespace

Test(capacity_planner, spot_engines_replace_full_price_ones_and_any_one_zone_may_be_lost) {
  Provider provider;
  provider.run_until_stable();
  cr_assert_eq(provider.full(), 15, "half of the needed engines stay at full price");
  for (const ZoneName& lost_zone : {kA, kB, kC}) {
    cr_assert_geq(provider.total() - provider.present[lost_zone].spot, provider.needed);
  }
}

Test(capacity_planner, never_has_fewer_than_needed_during_the_changeover) {
  Provider provider;
  provider.scale = scale_of(12);  // Leaves little headroom beside the full-price engines.
  for (int i = 0; i < 20; ++i) {
    provider.step(200ms);
    cr_assert_geq(provider.total(), provider.needed, "step %d: %u", i, provider.total());
    for (const auto& [zone, engines] : provider.present) {
      cr_assert_leq(engines.full + engines.spot, provider.scale.max);
    }
  }
}

Test(capacity_planner, replaces_reclaimed_spot_engines_at_full_price_until_they_return) {
  Provider provider(without_full_price_minimum());
  provider.run_until_stable();
  provider.present[kA].spot = 0;
  provider.present[kB].spot = 0;
  provider.unavailable[{kA, true}] = true;
  provider.unavailable[{kB, true}] = true;
  provider.run_until_stable();
  cr_assert_geq(provider.total(), provider.needed);
  cr_assert_gt(provider.present[kA].full, 0, "in the cheapest zone");
  cr_assert_eq(provider.present[kB].full, 0);
  provider.unavailable.clear();
  provider.run_until_stable();
  cr_assert_eq(provider.full(), 0);
}

Test(capacity_planner, requests_from_other_zones_while_one_is_unavailable) {
  Provider provider;
  provider.scale.spot_price.reset();
  provider.present = {{kA, {0, 0}}, {kB, {10, 0}}, {kC, {10, 0}}};
  provider.unavailable[{kA, false}] = true;
  provider.step();
  cr_assert_not(provider.planner.may_request(provider.now, {kA, false}));
  provider.step();
  cr_assert_eq(provider.total(), 30);
  cr_assert_eq(provider.present[kC].full, 20, "the next cheapest zone");
}

Test(capacity_planner, orders_no_spot_engines_above_the_price_limit) {
  Provider provider;
  provider.scale.spot_price = 0.9;
  provider.run_until_stable();
  cr_assert_eq(provider.total(), 30);
  cr_assert_eq(provider.full(), 30);
}

Test(capacity_planner, honours_the_minimum_of_each_zone_and_each_strategy) {
  Provider no_orders(without_full_price_minimum(SpotStrategy::kNone));
  cr_assert(no_orders.step().empty());
  Provider swap(without_full_price_minimum(SpotStrategy::kSpotSwap));
  swap.run_until_stable();
  cr_assert_eq(swap.total(), 30);
  Provider spare(without_full_price_minimum());
  spare.scale.min = 20;
  spare.run_until_stable();
  for (const auto& [zone, engines] : spare.present) {
    cr_assert_geq(engines.full + engines.spot, 20);
  }
  Provider invalid;
  invalid.scale.min = 100;
  cr_assert(invalid.step().empty());
}

Test(capacity_planner, a_short_surplus_releases_no_engines) {
  Provider provider(without_full_price_minimum());
  provider.present = {{kA, {10, 10}}, {kB, {10, 10}}, {kC, {10, 10}}};
  const Purchases first = provider.planner.plan(kNow, provider.scale, 30, provider.present);
  cr_assert_eq(first.at({kA, false}), 10);
  const Purchases later = provider.planner.plan(kNow + 2s, provider.scale, 30, provider.present);
  cr_assert_eq(later.at({kA, false}), 0);
}
