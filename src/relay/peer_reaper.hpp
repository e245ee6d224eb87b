/// @file
/// Removes the records of nodes that are gone for good. The size of the fleet, ranks, owners and
/// replicas follow from the list of nodes, which would otherwise grow with each replaced machine.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "common/runtime.hpp"
#include "core/relay/peer_liveness.hpp"
#include "net/peer_transport.hpp"
#include "relay/peer_directory.hpp"

namespace shuntbank::relay {

/// One node's view of which listed nodes are gone. The lease holder acts on it.
///
/// A removed node that lives finds its record missing and registers again, so that a wrong removal
/// costs two writes and lasts as long as the node takes to reach the store. Nodes of earlier
/// versions do not; this node probes those that it has removed, and restores their records.
class PeerReaper {
 public:
  /// All references outlive this.
  PeerReaper(Runtime& runtime, PeerTransport& transport, PeerDirectory& peers,
             const PeerLivenessSettings& settings);
  ~PeerReaper();
  PeerReaper(const PeerReaper&) = delete;
  PeerReaper& operator=(const PeerReaper&) = delete;

  /// Sets the handler for nodes whose record was removed.
  void on_removed(std::function<void(const NodeId&)> handler) {
    this->removed_handler = std::move(handler);
  }

  /// Updates to the currently listed nodes.
  void update_nodes();

  /// Records a message of another node.
  void on_message(const NodeId& node) { this->liveness.on_contact(this->runtime.now(), node); }

  /// Probes silent nodes and removes those that are gone. Called regularly while this node holds
  /// the lease.
  void tick();

 private:
  /// A node whose record this node has removed.
  struct RemovedNode {
    PeerRecord record;
    MonotonicTime removed_at{};
    MonotonicTime last_probe_at{};
  };
  void probe(const NodeId& node, const PeerRecord& record, std::function<void(bool)> handler);
  void probe_silent_nodes();
  void probe_removed_node();
  void remove(const NodeId& node);

  Runtime& runtime;
  PeerTransport& transport;
  PeerDirectory& peers;
  PeerLiveness liveness;
  std::map<NodeId, RemovedNode> removed_nodes;
  std::set<NodeId> pending_removals;
  MonotonicTime next_removal_at{};
  std::function<void(const NodeId&)> removed_handler;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
