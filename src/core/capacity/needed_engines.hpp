/// @file
/// Decides how many engines a service needs by its measured demand.
#pragma once

#include <cstdint>
#include <deque>

#include "common/time.hpp"

namespace shuntbank::capacity {

/// Settings of the sizing by demand.
struct NeededEnginesSettings {
  bool by_demand = true;  ///< Otherwise the operator's first sizing applies throughout.
  /// Share of the engines that the heaviest recent demand may keep busy. Above a half requests wait
  /// at single engines, and stages start to take engines from each other.
  double target_load = 0.5;
  /// Bounds, as shares of the operator's first sizing. Demand that comes back faster than engines
  /// start finds at least the lower one.
  double min_share = 0.5;
  double max_share = 1;
  /// How long fewer engines must be enough before any are released. A released engine takes seconds
  /// to get back, and waves of demand and losses of spot engines come several times a minute.
  Duration release_delay = std::chrono::seconds(45);
  /// Between two steps of a release, and the largest one as a share of the needed engines.
  Duration release_interval = std::chrono::seconds(10);
  double max_release_share = 0.1;
  /// Added to a raise, so that demand that grows slowly does not cause an order at each sample.
  double raise_margin = 0.05;
};

/// Needed engines of one service. Callers pass in the time.
class NeededEngines {
 public:
  explicit NeededEngines(const NeededEnginesSettings& own_settings) : settings(own_settings) {}

  /// Sets the present number, as stored by an earlier lease holder or sized by the operator.
  void reset(MonotonicTime now, std::uint32_t first_sizing, std::uint32_t needed);

  /// Updates the number by demand, which must be known.
  /// @param work of both stages in its heaviest recent seconds, in engines.
  /// @return whether the number has changed.
  bool update(MonotonicTime now, double work);

  std::uint32_t count() const { return this->needed; }
  std::uint32_t first_sizing() const { return this->sizing; }

 private:
  struct Sample {
    MonotonicTime at{};
    double wanted = 0;
  };
  std::uint32_t bounded(double engines) const;

  NeededEnginesSettings settings;
  std::uint32_t sizing = 0;
  std::uint32_t needed = 0;
  MonotonicTime observed_since{};
  MonotonicTime released_at{};
  MonotonicTime last_update{};
  /// Falling in `wanted`: a sample leaves as soon as a later one is as high.
  std::deque<Sample> highest;
};

}  // namespace shuntbank::capacity
