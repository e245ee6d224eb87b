/// @file
/// Decides how many spot and full-price engines a service should have in each zone. The provider
/// may reclaim spot engines, all those of a zone at once; full-price engines stay.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::capacity {

/// Scaling limits and prices of the engines of one service.
struct EngineScale {
  std::uint32_t min = 1;                   ///< Per zone, spot and full price together.
  std::uint32_t max = 1;                   ///< Per zone, spot and full price together.
  Duration startup = Duration::zero();     ///< From a purchase until the new engine serves.
  std::optional<double> spot_price;        ///< Fraction of the full price; unset: no spot engines.
  std::map<ZoneName, double> zone_prices;  ///< Per second, of a full-price engine.

  bool operator==(const EngineScale&) const = default;
};

/// Engines of one service in one zone that serve and are not being drained.
struct ZoneEngines {
  std::uint32_t full = 0;
  std::uint32_t spot = 0;

  bool operator==(const ZoneEngines&) const = default;
};

using EnginesByZone = std::map<ZoneName, ZoneEngines>;

/// @return the sum over all zones.
ZoneEngines total_engines(const EnginesByZone& present);

/// Kind of engine to buy from the provider: spot or full price, in one zone. The number to buy is
/// not part of it.
struct Purchase {
  ZoneName zone;
  bool spot = false;

  auto operator<=>(const Purchase&) const = default;
};

/// Target number of engines of each kind, including those already present.
using Purchases = std::map<Purchase, std::uint32_t>;

/// How spot engines are used.
enum class SpotStrategy {
  kNone,       ///< The planner is off: its plans are empty.
  kSpotSwap,   ///< As many spot engines as needed, without spares.
  kSpotSpare,  ///< Enough spot engines to lose those of any one zone.
};

/// Reads and writes the names `none`, `spot-swap` and `spot-spare`.
std::istream& operator>>(std::istream& in, SpotStrategy& strategy);
std::ostream& operator<<(std::ostream& out, SpotStrategy strategy);

/// Settings of the planner.
struct CapacitySettings {
  SpotStrategy strategy = SpotStrategy::kSpotSpare;
  /// Spot engines are used below this fraction of the full price only: with three zones a third of
  /// them are spares, which makes the needed ones cost one and a half times as much.
  double max_spot_price = 0.6;
  /// Fraction of the needed engines that always stays at full price, since the caches of spot
  /// engines are lost when these are reclaimed.
  double min_full_price_share = 0.5;
  /// Delay before unavailable engines are requested again.
  Duration unavailable_retry_interval = std::chrono::seconds(3);
  /// How long a surplus must last at least before full-price engines are released: starting engines
  /// may be counted shortly before they serve, and a released engine cannot be replaced at once, so
  /// that the startup time applies where it is longer.
  Duration surplus_release_delay = std::chrono::milliseconds(1200);
};

/// Plans for one service. Callers pass in the time.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacitySettings& own_settings) : settings(own_settings) {}

  /// @param needed engines that the service must have at any time.
  /// @param serving the present engines, without those that are starting.
  /// @return the target numbers of engines.
  Purchases plan(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                 const EnginesByZone& serving);

  /// Engines of this kind were ordered. Full-price engines count as present from now on, so that an
  /// order is neither repeated nor taken back because of its own delay.
  /// @param engines including those already present.
  /// @param until when the order must have taken effect.
  void on_ordered(const Purchase& purchase, std::uint32_t engines, MonotonicTime until);

  /// The last order of this kind has failed.
  void on_order_failed(const Purchase& purchase);

  /// The provider had no engines of this kind.
  void on_unavailable(MonotonicTime now, const Purchase& purchase);

  /// @return whether engines of this kind may be requested now.
  bool may_request(MonotonicTime now, const Purchase& purchase) const;

 private:
  /// An order whose engines may still be starting.
  struct PendingOrder {
    std::uint32_t engines = 0;
    MonotonicTime until{};
  };

  EnginesByZone with_ordered(MonotonicTime now, const EnginesByZone& present) const;
  std::uint32_t min_full_price_engines(const EngineScale& scale, std::uint32_t needed) const;
  std::uint32_t spot_target(const EngineScale& scale, std::uint32_t needed,
                            std::size_t zones) const;
  std::uint32_t full_price_target(MonotonicTime now, const EngineScale& scale, std::uint32_t needed,
                                  const EnginesByZone& present);
  void place_full_price(MonotonicTime now, const EngineScale& scale, std::uint32_t wanted,
                        const EnginesByZone& present, Purchases& plan) const;

  CapacitySettings settings;
  std::map<Purchase, MonotonicTime> unavailable_until;
  std::map<Purchase, PendingOrder> pending_orders;
  std::optional<MonotonicTime> surplus_since;
};

}  // namespace shuntbank::capacity
