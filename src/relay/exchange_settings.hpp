/// @file
/// Tunables of what the relay nodes tell each other, in one place.
#pragma once

#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/collector_choice.hpp"
#include "core/relay/load_collector.hpp"

namespace shuntbank::relay {

/// Tunables of the list of nodes.
struct PeerDirectorySettings {
  std::string kind = "shuntbank-nodes";  ///< Of the objects that name the nodes.
  /// The nodes of a new system start together; a list taken later holds them all.
  Duration initial_list_delay = std::chrono::milliseconds(1500);
};

/// Tunables of the exchange by zones.
struct ZoneExchangeSettings {
  CollectorChoiceSettings choice;
  LoadCollectorSettings collector;
  /// Between two sums, as far as the collector's machine bears it. All nodes choose on the same
  /// view until the next one, so that its age is what sends them to the same engine: an overload at
  /// 66 nodes lost a seventh more requests at 100 ms than at 30.
  Duration min_collect_interval = std::chrono::milliseconds(30);
  Duration max_collect_interval = std::chrono::milliseconds(120);  ///< Well below `choice.silence`.
  /// Messages a second that a collector sends, for each core of its machine: at 10 us each, 4% of
  /// what it has.
  double messages_per_core = 4000;
  /// Prompts read that one sum tells of; more come from a fleet that nobody could follow.
  std::size_t max_prompt_reads = 1000;
};

/// Tunables of handing configurations on.
struct ConfigurationExchangeSettings {
  /// Until a peer's answer begins: a new connection over a full link takes half of it.
  Duration first_byte_timeout = std::chrono::seconds(1);
  /// A node that was not heard for so long is not asked: it may be dead, and a connection to it
  /// hang. Collectors leave it out of their sums as late.
  Duration peer_timeout = LoadCollectorSettings{}.member_life;
};

/// Tunables of the exchange.
struct LoadExchangeSettings {
  PeerDirectorySettings peers;
  ZoneExchangeSettings zones;
  ConfigurationExchangeSettings configurations;
  ZoneName zone;                                         ///< This node's own.
  double capacity = 1;                                   ///< Of this machine, in cores.
  Duration flush_delay = std::chrono::milliseconds(15);  ///< Changes within it share a message.
  /// Up to so many peers, each node tells all the others; with more, by zones. All nodes together
  /// send messages in proportion to the square of this.
  std::size_t max_direct_peers = 24;
  /// Peers that are told each `flush_delay`; with more, messages are rarer in proportion, so that a
  /// node sends as many in a small fleet as in a large one.
  std::size_t peers_per_flush = 9;
  Duration refresh_interval = std::chrono::seconds(1);  ///< Between messages without a change.
  /// Nodes of a small fleet that read the latest from the store and give the others hints; in a
  /// large one the collectors do. One may be cut off, and one more be dead.
  std::size_t store_readers = 3;
  /// A node that joins a running system asks others what the engines keep, so often at most.
  bool join_existing = false;
  int max_pulls = 8;
  Duration pull_interval = std::chrono::milliseconds(250);
  Duration pull_timeout = std::chrono::seconds(1);
};

}  // namespace shuntbank::relay
