/// @file
/// Settings and tunables of a relay node, in one place.
#pragma once

#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/lease/lease_holder.hpp"
#include "core/relay/dispatch_choice.hpp"
#include "core/relay/placement.hpp"
#include "core/relay/retry_budget.hpp"
#include "core/relay/stage_planner.hpp"
#include "relay/capacity_settings.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/usage_settings.hpp"

namespace shuntbank::relay {

/// A holder that dies is replaced within this and one reading of a standby, 6.2 s; then what the
/// fleet has counted is gathered in 2 s, and reports of usage are due after 10 s.
constexpr Duration kLeaseDuration = std::chrono::seconds(5);

/// With the tick of 400 ms a renewal each 1.2 s. Three fit into what a lease lasts, since one whose
/// answer was lost takes a reading more to settle.
constexpr Duration kLeaseRenewInterval = std::chrono::milliseconds(1100);

/// A holder stops so long before its lease ends: more than half a renewal, for clocks that run at
/// different speeds and a call that is on its way.
constexpr Duration kLeaseSafetyMargin = std::chrono::milliseconds(700);

/// The lease of the node that acts for the whole fleet.
struct LeaseKeeperSettings {
  LeaseSettings lease{kLeaseDuration, kLeaseRenewInterval, kLeaseSafetyMargin};
  std::size_t standbys = 3;  ///< Nodes that read the lease as often as its holder renews it.
  /// Times the number of nodes: how often the others read it, so that their calls do not grow.
  Duration read_interval_per_node = std::chrono::milliseconds(400);
  Duration tick_interval = std::chrono::milliseconds(400);
  Duration call_timeout = std::chrono::milliseconds(1500);
};

/// The orders of stages given under the lease.
struct RoleCoordinatorSettings {
  /// A new holder waits so long before its first order, so that orders of two holders never stand
  /// closer together than this.
  Duration takeover_delay = std::chrono::seconds(3);
  Duration order_timeout = std::chrono::milliseconds(1500);
};

/// How long the watches of the store wait. The fleet as a whole asks as often in a large fleet as
/// in a small one; who is deaf learns from the others that something has changed.
struct CatalogSettings {
  bool join_existing =
      false;  ///< A system that serves: old news are not taken, not even at the start.
  /// When the store has confirmed its state to no reader for so long, a node reads the latest
  /// itself. Longer than a reader's wait; with a call after it, well below the time to drain.
  Duration reader_timeout = std::chrono::milliseconds(4500);
  /// A node that lacks a configuration which others have seen asks one of them so long after it has
  /// heard: a store that answers at once has done so by then.
  Duration peer_fetch_delay = std::chrono::milliseconds(50);
  /// Between two of them, twice as long each time, up to the longest. A configuration reaches a
  /// zone of 20 nodes in four or five rounds, within the time to have it in force.
  Duration initial_peer_fetch_backoff = std::chrono::milliseconds(100);
  Duration max_peer_fetch_backoff = std::chrono::milliseconds(700);
  /// While the store's answer is on its way, a peer's is wanted only where it is much shorter: a
  /// change of some routes, 5 KB, and not a configuration with 1,450 of them, 232 KB.
  std::size_t max_peer_answer_while_receiving = 32UL << 10U;
  /// Longer answers are given to peers one after the other, so far apart that they take this part
  /// of the node's link: callers come before them.
  double peer_bandwidth_share = 0.33;
  double link_megabits_per_second = 1000;        ///< Of this machine.
  std::size_t large_answer_bytes = 64UL << 10U;  ///< In bytes; shorter ones are given at any time.
  Duration wait_per_node = std::chrono::milliseconds(200);
  Duration min_wait = std::chrono::seconds(3);
  Duration max_wait = std::chrono::seconds(12);  ///< Below the history that stores keep.
  /// Times the number of nodes: how long changes of engines are gathered behind a batch of them, so
  /// that the calls of a fleet do not grow with its square while engines are replaced.
  Duration batch_delay_per_node = std::chrono::milliseconds(15);
  Duration min_batch_delay = std::chrono::milliseconds(300);
  Duration max_batch_delay = std::chrono::milliseconds(600);  ///< Well below the time to drain.
  /// Times the number of nodes: the longest pause between calls of a node that fail, so that the
  /// calls of a fleet do not grow while the store is down. Readers keep to the shortest: they tell
  /// the others when it is back.
  Duration backoff_limit_per_node = std::chrono::milliseconds(10);
  Duration min_backoff_limit = std::chrono::milliseconds(800);
  Duration max_backoff_limit = std::chrono::seconds(3);
};

/// Settings of one node.
struct RelaySettings {
  std::string node;
  ZoneName zone;
  bool bootstrap = true;          ///< The whole system starts for the first time.
  LoadExchangeSettings exchange;  ///< Its zone and whether it joins are those of this.
  PlacementSettings placement;
  PrefillSettings prefill;
  RetryBudgetSettings retry_budget;
  LeaseKeeperSettings lease;
  RoleCoordinatorSettings roles;
  StagePlannerSettings stages;
  UsageSettings usage;
  CapacityCoordinatorSettings capacity;
  bool engine_ordering_enabled = false;  ///< Whether it is for this system to order engines.
  CatalogSettings catalog;
  double expected_nodes = 7;  ///< For this node's part of an engine's bound on connections.
  Duration connect_timeout = std::chrono::milliseconds(600);
  Duration retry_after = std::chrono::milliseconds(250);  ///< Told with a refusal.
  Duration stop_grace = std::chrono::seconds(8);          ///< From the signal to the end.
  /// New callers have found other nodes by then: readiness is asked each second, and two misses
  /// count. A request taken later could outlast the grace.
  Duration stop_listening_after = std::chrono::milliseconds(2600);
};

/// @return the seconds after which a refused caller may come again, as refusals tell them.
std::string retry_after_text(Duration wait);

}  // namespace shuntbank::relay
