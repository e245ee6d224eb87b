/// @file
/// How many requests a node has under way at most, by how long its link delays them.
#pragma once

#include <cstddef>
#include <optional>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Tunables of the limit.
struct IntakeLimitSettings {
  /// The limit falls while the delay is longer.
  Duration max_delay = std::chrono::milliseconds(50);
  double decrease = 0.8;  ///< Factor in each interval with a longer delay.
  double increase = 0.1;  ///< Share added in each interval without one, if the limit is used.
  double min_limit = 4;   ///< Requests; see also `update`.
};

/// Additive increase and multiplicative decrease; unlimited until the first delay.
class IntakeLimit {
 public:
  explicit IntakeLimit(const IntakeLimitSettings& own_settings = {}) : settings(own_settings) {}

  /// Call at regular intervals. @param pending requests under way.
  /// @param delay observed since the last call; unset: nothing was observed.
  /// @param floor requests that the node carries whatever delays it; the limit falls no further.
  void update(std::size_t pending, std::optional<Duration> delay, double floor = 0);

  /// @return whether another request may be taken in beside these.
  bool has_room(std::size_t pending) const {
    return !this->limit || static_cast<double>(pending) < *this->limit;
  }

  std::optional<double> value() const { return this->limit; }

 private:
  IntakeLimitSettings settings;
  std::optional<double> limit;  ///< Unset: none.
};

}  // namespace shuntbank::relay
