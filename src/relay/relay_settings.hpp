/// @file
/// Settings of a relay node.
#pragma once

#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/answer_memory.hpp"
#include "core/lease/lease_holder.hpp"
#include "core/relay/admission.hpp"
#include "core/relay/dispatch_plan.hpp"
#include "core/relay/placement.hpp"
#include "core/relay/request_urgency.hpp"
#include "core/relay/retry_budget.hpp"
#include "core/relay/stage_change_queue.hpp"
#include "core/relay/stage_planner.hpp"
#include "relay/capacity_settings.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/usage_settings.hpp"

namespace shuntbank::relay {

/// A standby replaces a dead holder within this and one read interval, 6.2 s in all. Gathering the
/// usage counts takes about 2 s more, and the reports are due after 10 s.
constexpr Duration kLeaseDuration = std::chrono::seconds(5);

/// With a tick of 400 ms the lease is renewed every 1.2 s: three attempts within its duration, plus
/// a read after a lost answer.
constexpr Duration kLeaseRenewInterval = std::chrono::milliseconds(1100);

/// A holder stops acting this long before its lease ends, to allow for clock drift and calls in
/// flight. More than half of the renewal interval.
constexpr Duration kLeaseSafetyMargin = std::chrono::milliseconds(700);

/// Settings of the lease held by the node that acts for the whole fleet.
struct LeaseKeeperSettings {
  LeaseSettings lease{kLeaseDuration, kLeaseRenewInterval, kLeaseSafetyMargin};
  std::size_t standbys = 3;  ///< Nodes that read the lease at the renewal rate.
  /// Read interval of all other nodes per node in the fleet, so that the total rate stays constant.
  Duration read_interval_per_node = std::chrono::milliseconds(400);
  Duration tick_interval = std::chrono::milliseconds(400);
  Duration call_timeout = std::chrono::milliseconds(1500);
};

/// Settings of the stage orders sent by the lease holder.
struct RoleCoordinatorSettings {
  /// Delay before a new holder's first order, which separates it from orders of the previous
  /// holder.
  Duration takeover_delay = std::chrono::seconds(3);
  Duration order_timeout = std::chrono::milliseconds(1500);
  StageChangeSettings changes;  ///< `notice_lead` is set from the exchange's settings.
};

/// Settings of the checks whether a node's list of engines is the store's.
struct EngineListCheckSettings {
  /// Until the store's answer begins.
  Duration call_timeout = std::chrono::milliseconds(500);
  /// Between two calls of a node, times the nodes of the fleet, within the bounds below.
  Duration interval_per_node = std::chrono::milliseconds(10);
  Duration min_interval = std::chrono::milliseconds(20);
  Duration max_interval = std::chrono::milliseconds(500);
};

/// Settings of the store watches. Waits grow with the fleet, so that its total call rate stays
/// constant; nodes that miss a change get a hint from others.
struct CatalogSettings {
  bool join_existing = false;  ///< Joins a running system; stale reads are not accepted at start.
  /// A node of a small fleet that knows no peers yet reads the newest state itself after this long.
  /// In a large fleet see `peer_reader_timeout`.
  Duration reader_timeout = std::chrono::milliseconds(4500);
  /// Delay between a hint of a newer configuration and the first request to a peer, which gives the
  /// store time to deliver it.
  Duration peer_fetch_delay = std::chrono::milliseconds(50);
  /// Delay between requests to peers; doubles up to the maximum. A configuration reaches a zone of
  /// 20 nodes in four or five rounds, which must fit into the time until it has to be active.
  Duration initial_peer_fetch_backoff = std::chrono::milliseconds(100);
  Duration max_peer_fetch_backoff = std::chrono::milliseconds(700);
  /// Least time between two requests to peers for changed engines.
  Duration engine_fetch_interval = std::chrono::milliseconds(300);
  /// Requests of nodes that get a hint at the same time are spread over this time.
  Duration peer_fetch_spread = std::chrono::milliseconds(50);
  /// Delay of such a request at a node that watches the store itself.
  Duration watching_fetch_delay = std::chrono::milliseconds(300);
  /// A node without a list of engines reads it from the store after this long and the time per node
  /// for each one that ranks before it, so that the store's link carries one list after another:
  /// 10,000 engines are about 3.5 MB, 28 ms at 1,000 Mbit/s.
  Duration peer_list_timeout = std::chrono::seconds(5);
  Duration peer_list_timeout_per_node = std::chrono::milliseconds(30);
  /// A node watches the store itself if it lacks a change, and its peers have given it nothing, for
  /// this long and the time per node for each one that ranks before it. Sooner if `drain_time` is
  /// too short for that; see `fallback_timing`.
  Duration peer_change_timeout = std::chrono::seconds(2);
  /// The same if the store has not confirmed its state to any reader for this long.
  Duration peer_reader_timeout = std::chrono::milliseconds(2500);
  Duration peer_timeout_per_node = std::chrono::milliseconds(1);
  /// For how long it does so at least. Longer than a change takes to be given.
  Duration fallback_time = std::chrono::seconds(10);
  /// Longest wait of a reader's watch where other nodes depend on it for their engines; see
  /// `fallback_timing`.
  Duration reader_wait = std::chrono::seconds(1);
  /// Size limit of a peer's answer, in bytes, while the store's is being received: enough for a
  /// change of some routes (about 5 KB), but not for a whole configuration (about 230 KB with 1,450
  /// routes).
  std::size_t max_peer_answer_while_receiving = 32UL << 10U;
  /// Maximum share of this node's link for large answers to peers; callers take precedence.
  double peer_bandwidth_share = 0.33;
  double link_megabits_per_second = 1000;        ///< Link rate of this machine.
  std::size_t large_answer_bytes = 64UL << 10U;  ///< Smaller answers are not rate-limited.
  Duration wait_per_node = std::chrono::milliseconds(200);
  Duration min_wait = std::chrono::seconds(3);
  Duration max_wait = std::chrono::seconds(12);  ///< Must stay below the store's history.
  /// Per node in the fleet: how long further engine changes are batched after a change, so that the
  /// total of calls does not grow with the square of the fleet while engines are replaced.
  Duration batch_delay_per_node = std::chrono::milliseconds(15);
  Duration min_batch_delay = std::chrono::milliseconds(300);
  Duration max_batch_delay = std::chrono::milliseconds(600);  ///< Well below the drain time.
  /// For how long a draining engine accepts requests.
  Duration drain_time = std::chrono::seconds(2);
  /// Per node in the fleet: maximum backoff between failing calls, so that the total rate stays
  /// constant while the store is down. Store readers use the minimum to detect recovery early.
  Duration backoff_limit_per_node = std::chrono::milliseconds(10);
  Duration min_backoff_limit = std::chrono::milliseconds(800);
  Duration max_backoff_limit = std::chrono::seconds(3);
  EngineListCheckSettings list_check;
};

/// Settings of one node.
struct RelaySettings {
  std::string node;
  ZoneName zone;
  bool bootstrap = true;          ///< First start of the whole system.
  LoadExchangeSettings exchange;  ///< `zone` and `join_existing` are overridden from this struct.
  PlacementSettings placement;
  PrefillSettings prefill;
  RequestOrder order = RequestOrder::kSlack;  ///< What the urgency sent to engines follows from.
  AdmissionSettings admission;
  RetryBudgetSettings retry_budget;
  LeaseKeeperSettings lease;
  RoleCoordinatorSettings roles;
  StagePlannerSettings stages;
  UsageSettings usage;
  CapacityCoordinatorSettings capacity;
  bool engine_ordering_enabled = false;
  CatalogSettings catalog;
  AnswerLimits answers;
  double expected_nodes = 7;  ///< Divides an engine's connection limit among the nodes.
  Duration connect_timeout = std::chrono::milliseconds(600);
  Duration retry_after = std::chrono::milliseconds(250);  ///< Sent with rejections.
  Duration stop_grace = std::chrono::seconds(8);          ///< From the signal to process exit.
  /// Long enough for two failed readiness probes, sent every second, to divert new callers.
  /// Requests accepted later could exceed the grace period.
  Duration stop_listening_after = std::chrono::milliseconds(2600);
};

/// @return the wait in seconds, formatted for rejections.
std::string retry_after_text(Duration wait);

}  // namespace shuntbank::relay
