/// @file
/// Plans how many engines prefill and how many decode, from the token demand.
#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// Token demand of a service in one interval.
struct DemandSample {
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
};

/// Throughput of one engine and the cost of a role change. Gains and costs are in goodput-seconds:
/// the share of the demand that is served, times the number of engines, times seconds. An engine
/// that serves nothing for a second costs one.
struct PlannerSettings {
  double prefill_tokens_per_second = 8000;             ///< Of an engine in the prefill role.
  double decode_tokens_per_second = 1600;              ///< Of an engine in the decode role.
  Duration change_duration = std::chrono::seconds(4);  ///< An engine serves nothing meanwhile.
  Duration smoothing_time = std::chrono::seconds(5);   ///< Time constant of the demand averages.
  Duration horizon = std::chrono::seconds(20);         ///< A change must pay off within this time.
  double role_change_cost = 1.0;  ///< Extra goodput-seconds that a change must gain.
};

/// A planned split and its reason.
struct RolePlan {
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  double expected_gain = 0;  ///< Goodput-seconds over the horizon, against no change.
  double expected_cost = 0;  ///< Goodput-seconds lost by the change plus `role_change_cost`.
  std::string reason;        ///< For the log and status.
};

/// Plans the split of one service's engines between prefill and decode.
class RolePlanner {
 public:
  explicit RolePlanner(const PlannerSettings& settings);

  /// Adds the demand since the last sample.
  void observe(MonotonicTime now, const DemandSample& sample);

  /// @param engines responsive engines; at least two for a split.
  /// @param current_prefill engines in the prefill role.
  /// @return the split to aim for; the current one when a change does not pay off.
  RolePlan plan(std::uint32_t engines, std::uint32_t current_prefill) const;

  /// @return the demand extrapolated over part of `change_duration`.
  DemandSample forecast() const;

  /// @return the share of the demand that a split can serve, from zero to one.
  double served_share(std::uint32_t prefill, std::uint32_t decode,
                      const DemandSample& demand) const;

 private:
  PlannerSettings settings_;
  bool has_sample_ = false;
  MonotonicTime last_sample_at_{};
  DemandSample level_;
  DemandSample trend_;  ///< Change of the level per second.
};

}  // namespace shuntbank
