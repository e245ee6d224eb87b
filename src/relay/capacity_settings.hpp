/// @file
/// Tunables of the ordering of engines, in one place.
#pragma once

#include <string>

#include "common/time.hpp"
#include "core/capacity/capacity_planner.hpp"

namespace shuntbank::relay {

/// Tunables of the coordinator.
struct CapacityCoordinatorSettings {
  capacity::CapacitySettings planner;
  /// A new holder has heard of what the one before has ordered by then.
  Duration takeover_delay = std::chrono::milliseconds(800);
  /// What the operator has sized a service for is known once its engines have not become more for
  /// so long: two of their heartbeats, by which all have registered, and the reading of the list.
  Duration stable_count_interval = std::chrono::milliseconds(2600);
  /// An order whose effect does not show within this, beyond the time that engines take to start,
  /// is given again.
  Duration effect_timeout = std::chrono::seconds(3);
  /// Engines of a service bought and given back, in all. Each change of an engine reaches every
  /// node: with 3,000 engines changed over within five seconds, nodes with an eighth of a core knew
  /// of one that left 3.7 s late. A hundred engines are changed over in three seconds all the same.
  double max_changes_per_second = 40;
  Duration call_timeout = std::chrono::milliseconds(1500);
  std::string record_kind = "shuntbank-capacity";
};

}  // namespace shuntbank::relay
