/// @file
/// Which node keeps the limit of an engine: the first in an order of its own that answers.
///
/// No election and no lease: all nodes rank the nodes alike, and each goes by who answers it. The
/// nodes before the one that keeps are asked for a sign of life again and again, so that all come
/// back to the same one.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// A node that has been asked and has not answered for so long is passed over.
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(300);

/// A node that has not answered yet is asked again, so that one lost message does not matter.
constexpr Duration kOwnerProbeInterval = std::chrono::milliseconds(90);

/// A node that is passed over is asked so often whether it is back.
constexpr Duration kSilentNodeProbeInterval = std::chrono::seconds(1);

/// The keepers as one node sees them.
class LimitOwnerSelector {
 public:
  explicit LimitOwnerSelector(NodeId own_name) : self(std::move(own_name)) {}

  /// Takes all nodes, this one among them.
  void set_nodes(std::vector<NodeId> nodes);

  /// @return the node that keeps an engine's limit, as far as this one can tell; nothing where none
  /// of those that may answers.
  std::optional<NodeId> owner(MonotonicTime now, const EngineId& engine);

  /// @return whether no other node comes before this one.
  bool is_preferred_owner(const EngineId& engine);

  /// A node was sent what it answers at once.
  void on_request_sent(MonotonicTime now, const NodeId& node);

  /// Something has come from a node.
  void on_message_received(const NodeId& node) { this->pending_replies.erase(node); }

  /// @return nodes that should be asked for a sign of life now.
  std::vector<NodeId> nodes_to_probe(MonotonicTime now, const EngineId& engine);

 private:
  /// A node that has not answered yet.
  struct PendingReply {
    MonotonicTime unanswered_since{};
    MonotonicTime last_sent_at{};
  };
  const std::vector<NodeId>& ranking(const EngineId& engine);
  bool is_unresponsive(MonotonicTime now, const NodeId& node) const;

  NodeId self;
  std::vector<NodeId> nodes;
  std::unordered_map<EngineId, std::vector<NodeId>> rankings;
  std::map<NodeId, PendingReply> pending_replies;
};

}  // namespace shuntbank::relay
