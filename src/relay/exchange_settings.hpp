/// @file
/// Settings of the exchange of state between relay nodes.
#pragma once

#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/collector_selector.hpp"
#include "core/relay/load_collector.hpp"
#include "core/relay/peer_liveness.hpp"
#include "core/relay/sample_buffer.hpp"

namespace shuntbank::relay {

/// Settings of the list of nodes.
struct PeerDirectorySettings {
  std::string kind = "shuntbank-nodes";  ///< Kind of the store objects with the node records.
  /// Delay before the first list, so that it includes nodes that start at the same time.
  Duration initial_list_delay = std::chrono::milliseconds(1500);
};

/// Settings of the exchange by zones.
struct ZoneExchangeSettings {
  CollectorSelectorSettings collector_selection;
  LoadCollectorSettings collector;
  /// Interval between two sums if the collector's capacity allows it. With an older view more nodes
  /// choose the same engine: in an overload of 66 nodes, 100 ms lost a seventh more requests than
  /// 30 ms.
  Duration min_collect_interval = std::chrono::milliseconds(30);
  /// Must stay below the view timeout of `collector_selection`.
  Duration max_collect_interval = std::chrono::milliseconds(120);
  /// Messages per second that a collector sends for each core of its machine; about 4% of its CPU
  /// at 10 us per message.
  double messages_per_core = 4000;
  /// Engine samples in the views of a node: about 3 KB a second.
  SampleBufferSettings view_samples{std::chrono::seconds(1), 150, 40};
  /// Entries a second in the views that a collector sends to all its members: 76 KB.
  double member_samples_per_second = 4000;
  /// Engine samples in the sums that a zone sends to each collector of the others: 0.5 KB a second.
  /// A collector has more of these receivers the more zones there are.
  SampleBufferSettings zone_samples{std::chrono::seconds(1), 25, 25};
  /// Maximum number of prompt reads in one sum.
  std::size_t max_prompt_reads = 1000;
};

/// Settings of the configuration exchange.
struct ConfigurationExchangeSettings {
  /// Timeout until a peer's answer begins. Connecting over a saturated link takes half of it.
  Duration first_byte_timeout = std::chrono::seconds(1);
  /// A node that has been silent for longer is not asked, as a connection to it may hang.
  Duration peer_timeout = LoadCollectorSettings{}.member_timeout;
};

/// Settings of the load exchange.
struct LoadExchangeSettings {
  PeerDirectorySettings peers;
  PeerLivenessSettings liveness;
  ZoneExchangeSettings zones;
  ConfigurationExchangeSettings configurations;
  ZoneName zone;                                         ///< Zone of this node.
  double capacity = 1;                                   ///< CPU cores of this machine.
  Duration flush_delay = std::chrono::milliseconds(15);  ///< Batches changes.
  /// Up to this many peers, each node sends its load to all others; beyond it, by zones. The
  /// fleet's message rate grows with the square of this value.
  std::size_t max_direct_peers = 24;
  /// With more peers than this, the flush delay grows in proportion, which bounds a node's message
  /// rate.
  std::size_t peers_per_flush = 9;
  Duration refresh_interval = std::chrono::seconds(1);  ///< Between messages while nothing changes.
  /// A node that joins a running system pulls a snapshot of the engines' caches from a peer.
  bool join_existing = false;
  int max_pulls = 8;
  Duration pull_interval = std::chrono::milliseconds(250);
  Duration pull_timeout = std::chrono::seconds(1);
};

/// Three datagrams (to the collector, to that of another zone, to the node) at under 1 ms each, and
/// the time until small nodes get to read them.
constexpr Duration kDatagramAllowance = std::chrono::milliseconds(20);

/// @return an upper bound of the time in which an update reaches all nodes if no message is lost:
/// the sender's flush and one that was due before it, the sums of the sender's and the receiver's
/// zone, and the datagrams. Covers the direct exchange of small fleets too.
inline Duration update_arrival_bound(const LoadExchangeSettings& settings) {
  return 2 * settings.zones.max_collect_interval + 2 * settings.flush_delay + kDatagramAllowance;
}

}  // namespace shuntbank::relay
