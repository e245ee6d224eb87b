/// @file
/// How many engines should prefill and how many should decode, as the mix of tokens shifts.
#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// Tokens that a service was asked for in one interval.
struct DemandSample {
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
};

/// Speeds of one engine and the price of a change.
struct PlannerSettings {
  double prefill_tokens_per_second = 8000;             ///< Of an engine in the prefill role.
  double decode_tokens_per_second = 1600;              ///< Of an engine in the decode role.
  Duration change_duration = std::chrono::seconds(4);  ///< An engine is away for so long.
  Duration smoothing_time = std::chrono::seconds(5);   ///< Smoothing of demand.
  Duration horizon = std::chrono::seconds(20);         ///< A change has to pay within this time.
  double role_change_cost = 1.0;  ///< Goodput-seconds that a change has to earn besides.
};

/// A plan with its reasons.
struct RolePlan {
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  double expected_gain = 0;  ///< Goodput-seconds over the horizon, against staying as it is.
  double expected_cost = 0;  ///< Goodput-seconds lost by the change and asked by the policy.
  std::string reason;        ///< One phrase for the log and status.
};

/// Plans the split of one service's engines between prefill and decode.
class RolePlanner {
 public:
  explicit RolePlanner(const PlannerSettings& settings);

  /// Adds what was asked for since the last sample.
  void observe(MonotonicTime now, const DemandSample& sample);

  /// @param engines engines that answer; at least two for a split.
  /// @param current_prefill engines in the prefill role now.
  /// @return the split to aim for; the present one when a change does not pay.
  RolePlan plan(std::uint32_t engines, std::uint32_t current_prefill) const;

  /// @return the demand expected after the time that a change takes.
  DemandSample forecast() const;

  /// @return the share of the demand that a split can serve, from zero to one.
  double served_share(std::uint32_t prefill, std::uint32_t decode,
                      const DemandSample& demand) const;

 private:
  PlannerSettings settings_;
  bool has_sample_ = false;
  MonotonicTime last_sample_at_{};
  DemandSample level_;
  DemandSample trend_;  ///< Change of the level a second.
};

}  // namespace shuntbank
