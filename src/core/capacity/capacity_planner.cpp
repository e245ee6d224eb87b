#include "core/capacity/capacity_planner.hpp"

#include <algorithm>
#include <cmath>
#include <istream>
#include <ostream>
#include <string>
#include <utility>

namespace shuntbank::capacity {
namespace {

std::uint32_t rounded_up(std::uint32_t all, std::size_t parts) {
  const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(parts, 1));
  return (all + divisor - 1) / divisor;
}

double price_in(const EngineScale& scale, const ZoneName& zone) {
  const auto price = scale.zone_prices.find(zone);
  return price == scale.zone_prices.end() ? 1 : price->second;
}

/// @return the zones, those where engines are cheapest first.
std::vector<ZoneName> by_price(const EngineScale& scale, const EnginesByZone& present) {
  std::vector<ZoneName> zones;
  for (const auto& [zone, engines] : present) zones.push_back(zone);
  std::stable_sort(zones.begin(), zones.end(), [&](const ZoneName& left, const ZoneName& right) {
    return price_in(scale, left) < price_in(scale, right);
  });
  return zones;
}

constexpr std::pair<BuyingWay, const char*> kWays[] = {{BuyingWay::kNone, "none"},
                                                       {BuyingWay::kSpotSwap, "spot-swap"},
                                                       {BuyingWay::kSpotSpare, "spot-spare"}};

}  // namespace

ZoneEngines in_all(const EnginesByZone& present) {
  ZoneEngines sum;
  for (const auto& [zone, engines] : present) {
    sum.full += engines.full;
    sum.spot += engines.spot;
  }
  return sum;
}

std::istream& operator>>(std::istream& in, BuyingWay& way) {
  std::string name;
  in >> name;
  for (const auto& [known, text] : kWays) {
    if (name != text) continue;
    way = known;
    return in;
  }
  in.setstate(std::ios::failbit);
  return in;
}

std::ostream& operator<<(std::ostream& out, BuyingWay way) {
  for (const auto& [known, text] : kWays) {
    if (known == way) return out << text;
  }
  return out;
}

void CapacityPlanner::on_none_there(MonotonicTime now, const Purchase& purchase) {
  this->none_until[purchase] = now + this->settings.asked_again;
}

bool CapacityPlanner::may_ask(MonotonicTime now, const Purchase& purchase) const {
  const auto until = this->none_until.find(purchase);
  return until == this->none_until.end() || now >= until->second;
}

/// @return engines at full price that are kept in any case.
std::uint32_t CapacityPlanner::floor(const EngineScale& scale, std::uint32_t needed) const {
  const bool pays = scale.spot_price && *scale.spot_price < this->settings.dearest_spot;
  if (!pays) return needed;
  return static_cast<std::uint32_t>(std::ceil(this->settings.full_floor * needed));
}

/// @return spot engines for each zone.
std::uint32_t CapacityPlanner::spot_wanted(const EngineScale& scale, std::uint32_t needed,
                                           std::size_t zones) const {
  const std::uint32_t cheap = needed - std::min(needed, this->floor(scale, needed));
  const bool spare = this->settings.way == BuyingWay::kSpotSpare && zones > 1;
  return rounded_up(cheap, spare ? zones - 1 : zones);
}

/// What the spot engines that serve now leave to be had at full price. More is wanted at once, less
/// only once it has stood for a while.
std::uint32_t CapacityPlanner::full_wanted(MonotonicTime now, const EngineScale& scale,
                                           std::uint32_t needed, const EnginesByZone& present) {
  const auto [full, spot] = in_all(present);
  const std::uint32_t wanted =
      std::max(this->floor(scale, needed), needed - std::min(needed, spot));
  if (wanted >= full) {
    this->surplus_since.reset();
    return wanted;
  }
  if (!this->surplus_since) this->surplus_since = now;
  return now - *this->surplus_since >= this->settings.surplus_stands ? wanted : full;
}

/// Engines that are there stay where they are, as their caches are worth something; more are had
/// where they are cheapest, and given back where they are dearest.
void CapacityPlanner::spread_full(MonotonicTime now, const EngineScale& scale, std::uint32_t wanted,
                                  const EnginesByZone& present, Purchases& plan) const {
  const std::vector<ZoneName> zones = by_price(scale, present);
  std::uint32_t left = wanted;
  for (const ZoneName& zone : zones) {
    const std::uint32_t kept = std::min(left, present.at(zone).full);
    plan[{zone, false}] = kept;
    left -= kept;
  }
  for (const ZoneName& zone : zones) {
    const Purchase purchase{zone, false};
    if (left == 0 || !this->may_ask(now, purchase)) continue;
    const std::uint32_t room =
        scale.most - std::min(scale.most, plan[purchase] + present.at(zone).spot);
    const std::uint32_t more = std::min(left, room);
    plan[purchase] += more;
    left -= more;
  }
}

Purchases CapacityPlanner::plan(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                                const EnginesByZone& present) {
  Purchases plan;
  if (this->settings.way == BuyingWay::kNone || scale.least > scale.most) return plan;
  const std::uint32_t spot = this->spot_wanted(scale, needed, present.size());
  this->spread_full(now, scale, this->full_wanted(now, scale, needed, present), present, plan);
  for (const auto& [zone, engines] : present) {
    const Purchase purchase{zone, true};
    // Both together stay within the limits, also while those at full price are still there.
    const std::uint32_t full = std::max(engines.full, plan[{zone, false}]);
    const std::uint32_t room = scale.most - std::min(scale.most, full);
    if (scale.spot_price) plan[purchase] = std::min(spot, room);
    const std::uint32_t both = plan[{zone, false}] + (scale.spot_price ? plan[purchase] : 0);
    if (both < scale.least) plan[{zone, false}] += scale.least - both;
  }
  return plan;
}

}  // namespace shuntbank::capacity
