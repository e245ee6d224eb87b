/// @file
/// Decides how many engines of each price a service is to have in each zone. It answers one
/// pattern: cheap engines (spot) that the provider may take back, a whole zone's worth at once,
/// before engines at full price that stay.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::capacity {

/// What the operator allows and pays for the engines of one service.
struct EngineScale {
  std::uint32_t min = 1;                   ///< In each zone, of both prices together.
  std::uint32_t max = 1;                   ///< The same.
  Duration startup = Duration::zero();     ///< From an order until a new engine serves.
  std::optional<double> spot_price;        ///< Of the full price; unset: there are no such engines.
  std::map<ZoneName, double> zone_prices;  ///< Of an engine at full price, for each second.

  bool operator==(const EngineScale&) const = default;
};

/// Engines of one service in one zone that serve now and have not been told to leave.
struct ZoneEngines {
  std::uint32_t full = 0;
  std::uint32_t spot = 0;

  bool operator==(const ZoneEngines&) const = default;
};

using EnginesByZone = std::map<ZoneName, ZoneEngines>;

/// @return the engines of all zones together.
ZoneEngines total_engines(const EnginesByZone& present);

/// Engines of one price in one zone.
struct Purchase {
  ZoneName zone;
  bool spot = false;

  auto operator<=>(const Purchase&) const = default;
};

/// How many of each there are to be.
using Purchases = std::map<Purchase, std::uint32_t>;

/// How engines are bought.
enum class SpotStrategy {
  kNone,       ///< Nothing is ordered.
  kSpotSwap,   ///< As many spot engines as the service needs, without regard to their loss.
  kSpotSpare,  ///< So many that the service has what it needs while any one zone's are lost.
};

/// Reads and writes the names `none`, `spot-swap` and `spot-spare`.
std::istream& operator>>(std::istream& in, SpotStrategy& strategy);
std::ostream& operator<<(std::ostream& out, SpotStrategy strategy);

/// Tunables of the planner.
struct CapacitySettings {
  SpotStrategy strategy = SpotStrategy::kSpotSpare;
  /// Spot engines at no less than this part of the full price do not pay for their risk: of three
  /// zones one is spare, so that they cost one and a half times as much as they say.
  double max_spot_price = 0.6;
  /// Of what is needed, the part that is kept at full price whatever spot engines there are: when
  /// these are taken back, what they kept in their caches goes with them.
  double min_full_price_share = 0.5;
  /// Nobody is asked again for engines of which there are none, within this.
  Duration unavailable_retry_interval = std::chrono::seconds(3);
  /// Engines at full price are given back once they were too many for so long: those that start are
  /// counted a moment too early, and what is given back cannot be had again at once.
  Duration surplus_release_delay = std::chrono::milliseconds(1200);
};

/// Plans for one service. Knows no clock: callers pass the time in.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacitySettings& own_settings) : settings(own_settings) {}

  /// @param needed engines that the service is to have at any time.
  /// @return what there should be now.
  Purchases plan(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                 const EnginesByZone& present);

  /// There were none of these to be had.
  void on_unavailable(MonotonicTime now, const Purchase& purchase);

  /// @return whether it makes sense to ask for these now.
  bool may_request(MonotonicTime now, const Purchase& purchase) const;

 private:
  std::uint32_t min_full_price_engines(const EngineScale& scale, std::uint32_t needed) const;
  std::uint32_t spot_target(const EngineScale& scale, std::uint32_t needed,
                            std::size_t zones) const;
  std::uint32_t full_price_target(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                                  const EnginesByZone& present);
  void place_full_price(MonotonicTime now, const EngineScale& scale, std::uint32_t wanted,
                        const EnginesByZone& present, Purchases& plan) const;

  CapacitySettings settings;
  std::map<Purchase, MonotonicTime> unavailable_until;
  std::optional<MonotonicTime> surplus_since;
};

}  // namespace shuntbank::capacity
