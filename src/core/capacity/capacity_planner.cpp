#include "core/capacity/capacity_planner.hpp"

#include <algorithm>
#include <cmath>
#include <istream>
#include <ostream>
#include <string>
#include <utility>

namespace shuntbank::capacity {
namespace {

std::uint32_t divide_rounding_up(std::uint32_t all, std::size_t parts) {
  const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(parts, 1));
  return (all + divisor - 1) / divisor;
}

double price_in(const EngineScale& scale, const ZoneName& zone) {
  const auto price = scale.zone_prices.find(zone);
  return price == scale.zone_prices.end() ? 1 : price->second;
}

/// @return the zones, cheapest first.
std::vector<ZoneName> zones_by_price(const EngineScale& scale, const EnginesByZone& present) {
  std::vector<ZoneName> zones;
  for (const auto& [zone, engines] : present) zones.push_back(zone);
  std::stable_sort(zones.begin(), zones.end(), [&](const ZoneName& left, const ZoneName& right) {
    return price_in(scale, left) < price_in(scale, right);
  });
  return zones;
}

constexpr std::pair<SpotStrategy, const char*> kStrategies[] = {
    {SpotStrategy::kNone, "none"},
    {SpotStrategy::kSpotSwap, "spot-swap"},
    {SpotStrategy::kSpotSpare, "spot-spare"}};

}  // namespace

ZoneEngines total_engines(const EnginesByZone& present) {
  ZoneEngines sum;
  for (const auto& [zone, engines] : present) {
    sum.full += engines.full;
    sum.spot += engines.spot;
  }
  return sum;
}

std::istream& operator>>(std::istream& in, SpotStrategy& strategy) {
  std::string name;
  in >> name;
  for (const auto& [known, text] : kStrategies) {
    if (name != text) continue;
    strategy = known;
    return in;
  }
  in.setstate(std::ios::failbit);
  return in;
}

std::ostream& operator<<(std::ostream& out, SpotStrategy strategy) {
  for (const auto& [known, text] : kStrategies) {
    if (known == strategy) return out << text;
  }
  return out;
}

void CapacityPlanner::on_ordered(const Purchase& purchase, std::uint32_t engines,
                                 MonotonicTime until) {
  this->pending_orders[purchase] = {engines, until};
}

void CapacityPlanner::on_order_failed(const Purchase& purchase) {
  this->pending_orders.erase(purchase);
}

/// @return the present engines, and the full-price ones that may still be starting.
EnginesByZone CapacityPlanner::with_ordered(MonotonicTime now, const EnginesByZone& present) const {
  EnginesByZone all = present;
  for (const auto& [purchase, order] : this->pending_orders) {
    const auto zone = all.find(purchase.zone);
    if (purchase.spot || zone == all.end() || now >= order.until) continue;
    zone->second.full = std::max(zone->second.full, order.engines);
  }
  return all;
}

void CapacityPlanner::on_unavailable(MonotonicTime now, const Purchase& purchase) {
  this->on_order_failed(purchase);
  this->unavailable_until[purchase] = now + this->settings.unavailable_retry_interval;
}

bool CapacityPlanner::may_request(MonotonicTime now, const Purchase& purchase) const {
  const auto until = this->unavailable_until.find(purchase);
  return until == this->unavailable_until.end() || now >= until->second;
}

/// @return the minimum number of full-price engines.
std::uint32_t CapacityPlanner::min_full_price_engines(const EngineScale& scale,
                                                      std::uint32_t needed) const {
  const bool spot_worthwhile =
      scale.spot_price && *scale.spot_price < this->settings.max_spot_price;
  if (!spot_worthwhile) return needed;
  return static_cast<std::uint32_t>(std::ceil(this->settings.min_full_price_share * needed));
}

/// @return the number of spot engines per zone.
std::uint32_t CapacityPlanner::spot_target(const EngineScale& scale, std::uint32_t needed,
                                           std::size_t zones) const {
  const std::uint32_t spot_share =
      needed - std::min(needed, this->min_full_price_engines(scale, needed));
  const bool spare = this->settings.strategy == SpotStrategy::kSpotSpare && zones > 1;
  return divide_rounding_up(spot_share, spare ? zones - 1 : zones);
}

/// @return the full-price engines needed besides the present spot engines. Increases apply at once,
/// decreases only after `surplus_release_delay`.
std::uint32_t CapacityPlanner::full_price_target(MonotonicTime now, const EngineScale& scale,
                                                 std::uint32_t needed,
                                                 const EnginesByZone& present) {
  const auto [full, spot] = total_engines(present);
  const std::uint32_t wanted =
      std::max(this->min_full_price_engines(scale, needed), needed - std::min(needed, spot));
  if (wanted >= full) {
    this->surplus_since.reset();
    return wanted;
  }
  if (!this->surplus_since) this->surplus_since = now;
  const Duration delay = std::max(this->settings.surplus_release_delay, scale.startup);
  return now - *this->surplus_since >= delay ? wanted : full;
}

/// Keeps present engines in place for their caches, adds engines in the cheapest zones and releases
/// those in the most expensive ones.
void CapacityPlanner::place_full_price(MonotonicTime now, const EngineScale& scale,
                                       std::uint32_t wanted, const EnginesByZone& present,
                                       Purchases& plan) const {
  const std::vector<ZoneName> zones = zones_by_price(scale, present);
  std::uint32_t left = wanted;
  for (const ZoneName& zone : zones) {
    const std::uint32_t retained = std::min(left, present.at(zone).full);
    plan[{zone, false}] = retained;
    left -= retained;
  }
  for (const ZoneName& zone : zones) {
    const Purchase purchase{zone, false};
    if (left == 0 || !this->may_request(now, purchase)) continue;
    const std::uint32_t headroom =
        scale.max - std::min(scale.max, plan[purchase] + present.at(zone).spot);
    const std::uint32_t more = std::min(left, headroom);
    plan[purchase] += more;
    left -= more;
  }
}

Purchases CapacityPlanner::plan(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                                const EnginesByZone& serving) {
  Purchases plan;
  if (this->settings.strategy == SpotStrategy::kNone || scale.min > scale.max) return plan;
  const EnginesByZone present = this->with_ordered(now, serving);
  const std::uint32_t spot = this->spot_target(scale, needed, present.size());
  this->place_full_price(now, scale, this->full_price_target(now, scale, needed, present), present,
                         plan);
  for (const auto& [zone, engines] : present) {
    const Purchase purchase{zone, true};
    // Spot and full-price engines together stay within the maximum, also while spot engines
    // replace full-price ones.
    const std::uint32_t full = std::max(engines.full, plan[{zone, false}]);
    const std::uint32_t headroom = scale.max - std::min(scale.max, full);
    if (scale.spot_price) plan[purchase] = std::min(spot, headroom);
    const std::uint32_t both = plan[{zone, false}] + (scale.spot_price ? plan[purchase] : 0);
    if (both < scale.min) plan[{zone, false}] += scale.min - both;
  }
  return plan;
}

}  // namespace shuntbank::capacity
