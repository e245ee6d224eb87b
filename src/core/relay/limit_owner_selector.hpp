/// @file
/// Selects the node that owns a rate limit which applies to all nodes together: the first
/// responsive one in a ranking that depends on the name of the limit.
///
/// There is no election and no lease: all nodes compute the same ranking, and each skips the nodes
/// that do not answer it. Skipped nodes are probed periodically, so that all nodes converge on the
/// same owner.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// A node that leaves a request unanswered for this long is skipped.
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(300);

/// Interval between probes of a node that has not answered yet; covers a lost message.
constexpr Duration kOwnerProbeInterval = std::chrono::milliseconds(90);

/// Interval between probes of a node that is skipped.
constexpr Duration kSilentNodeProbeInterval = std::chrono::seconds(1);

/// The limit owners as seen by one node.
class LimitOwnerSelector {
 public:
  explicit LimitOwnerSelector(NodeId own_name) : self(std::move(own_name)) {}

  /// Sets the nodes of the fleet, including this one.
  void set_nodes(std::vector<NodeId> nodes);

  /// @return the owner of the limit as seen by this node, or nothing if no candidate
  /// responds.
  std::optional<NodeId> owner(MonotonicTime now, const std::string& limit);

  /// @return whether this node ranks first for the limit.
  bool is_preferred_owner(const std::string& limit);

  /// Records that a request was sent which the node answers at once.
  void on_request_sent(MonotonicTime now, const NodeId& node);

  /// Records that any message came from the node.
  void on_message_received(const NodeId& node) { this->pending_replies.erase(node); }

  /// @return the nodes to probe now. Candidates are the nodes ranked before this one, up to and
  /// including the first that responds; each is returned once its probe interval has passed.
  std::vector<NodeId> nodes_to_probe(MonotonicTime now, const std::string& limit);

 private:
  /// An unanswered request to a node.
  struct PendingReply {
    MonotonicTime unanswered_since{};
    MonotonicTime last_sent_at{};
  };
  const std::vector<NodeId>& ranking(const std::string& limit);
  bool is_unresponsive(MonotonicTime now, const NodeId& node) const;

  NodeId self;
  std::vector<NodeId> nodes;
  std::unordered_map<std::string, std::vector<NodeId>> rankings;
  std::map<NodeId, PendingReply> pending_replies;
};

}  // namespace shuntbank::relay
