/// @file
/// Decides which of the listed nodes are gone for good: those that neither send messages nor answer
/// probes.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// Tunables of the detection.
struct PeerLivenessSettings {
  /// A node that has been silent for longer is probed. Covers the restart of a process.
  Duration silence = std::chrono::seconds(8);
  /// The same for a node that was taken for gone and has registered again: it lives, but this node
  /// does not reach it.
  Duration silence_after_return = std::chrono::seconds(60);
  /// Probes in a row that a node has to leave unanswered.
  int failed_probes = 3;
  Duration probe_interval = std::chrono::seconds(1);  ///< Between two probes of a silent node.
  std::size_t max_pending_probes = 16;
  /// First probes of nodes in one round. In a large fleet nodes hear from few others directly, so
  /// that each of them is probed in turn.
  std::size_t max_first_probes = 2;
  /// A node that has heard from no other one for this long has probably lost its own connection.
  /// Less than `silence`.
  Duration contact_timeout = std::chrono::seconds(5);
};

/// The other nodes as one node hears from them. Callers pass in the time.
class PeerLiveness {
 public:
  explicit PeerLiveness(const PeerLivenessSettings& own_settings = {}) : settings(own_settings) {}

  /// Sets the listed nodes, without this one. Registering counts as a sign of life.
  void set_nodes(MonotonicTime now, const std::set<NodeId>& listed);

  /// Records a message or an answer of a node.
  void on_contact(MonotonicTime now, const NodeId& node);

  /// @return the nodes to probe now. Each probe ends in `on_contact` or `on_probe_failed`.
  std::vector<NodeId> next_probes(MonotonicTime now);

  /// Records a probe without an answer.
  void on_probe_failed(MonotonicTime now, const NodeId& node);

  /// @return the nodes that are taken for gone; none while this node hears from no other one.
  std::vector<NodeId> gone_nodes(MonotonicTime now) const;

  /// Records that the record of a node was removed as it is gone.
  void on_removed(MonotonicTime now, const NodeId& node) { this->removed_at[node] = now; }

 private:
  struct Peer {
    MonotonicTime last_contact_at{};
    MonotonicTime last_probe_at{};
    MonotonicTime last_failure_at{};
    bool probe_pending = false;
    int failures = 0;  ///< Probes in a row without an answer.
    bool returned = false;
  };
  bool is_silent(MonotonicTime now, const Peer& peer) const;
  bool is_probe_due(MonotonicTime now, const Peer& peer) const;

  PeerLivenessSettings settings;
  std::map<NodeId, Peer> peers;
  std::map<NodeId, MonotonicTime> removed_at;  ///< Of nodes that may register again.
  MonotonicTime last_contact_at{};             ///< With any node.
};

}  // namespace shuntbank::relay
