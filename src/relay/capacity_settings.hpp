/// @file
/// Settings of the capacity coordinator.
#pragma once

#include <string>

#include "common/time.hpp"
#include "core/capacity/capacity_planner.hpp"
#include "core/capacity/needed_engines.hpp"

namespace shuntbank::relay {

struct CapacityCoordinatorSettings {
  capacity::CapacitySettings planner;
  capacity::NeededEnginesSettings needed;
  /// Between two attempts to store the number of needed engines.
  Duration store_interval = std::chrono::seconds(2);
  /// Delay before a new lease holder sends its first order: orders of the previous holder have
  /// taken effect by then.
  Duration takeover_delay = std::chrono::milliseconds(800);
  /// The engine count of a service is taken as its baseline once it has not grown for this long:
  /// two engine heartbeats plus the read of the engine list.
  Duration stable_count_interval = std::chrono::milliseconds(2600);
  /// An order is repeated if it has no effect within this time, in addition to the startup time of
  /// engines.
  Duration effect_timeout = std::chrono::seconds(3);
  /// Limit on engines ordered plus released for one service. Every change of an engine is sent to
  /// every node: when 3,000 engines changed within 5 s, nodes with an eighth of a core learned of a
  /// draining engine 3.7 s late.
  double max_changes_per_second = 40;
  Duration call_timeout = std::chrono::milliseconds(1500);
  std::string record_kind = "shuntbank-capacity";
};

}  // namespace shuntbank::relay
