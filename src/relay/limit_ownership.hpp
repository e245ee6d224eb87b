/// @file
/// Which of the rate limits that apply to all nodes together this node owns. The owner of a limit
/// grants sends on demand; all other nodes ask it.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/limit_owner_selector.hpp"
#include "relay/permit_peers.hpp"

namespace shuntbank::relay {

/// Whether this node owns a limit.
struct LimitTenure {
  bool held = false;
  bool is_new = false;  ///< First seen as held by this call: earlier grants are another node's.
  bool is_preferred = false;  ///< This node ranks first among all nodes.
  /// When the ownership began; unset on a node that is never connected to others.
  std::optional<MonotonicTime> since;

  bool operator==(const LimitTenure&) const = default;
};

/// Ownership of limits as seen by one node. A node that is never connected owns all limits.
class LimitOwnership {
 public:
  explicit LimitOwnership(Runtime& own_runtime) : runtime(own_runtime) {}

  /// Connects to the other nodes. Nothing is owned until `set_nodes`.
  void connect(const NodeId& own_name, PermitPeers& others);
  /// Disconnects from the other nodes; nothing is owned from here on.
  void disconnect() { this->peers = nullptr; }
  void set_nodes(std::vector<NodeId> nodes);

  bool standalone() const { return !this->was_connected; }
  bool connected() const { return this->peers != nullptr && this->node_count > 0; }
  const NodeId& own_name() const { return this->self; }
  std::size_t nodes() const { return this->node_count; }

  /// @return the other node that owns the limit; unset if this node decides.
  std::optional<NodeId> remote_owner(const std::string& limit);

  /// Determines whether this node owns the limit now.
  LimitTenure tenure(const std::string& limit);

  /// Drops all state of a limit that no longer exists.
  void forget(const std::string& limit) { this->held_since.erase(limit); }

  /// Detects stalls; call at regular intervals.
  void tick();

  /// @return the fraction of the nodes that this one can reach, itself included.
  double live_fraction() const;

  /// Sends a message that the node answers at once.
  void send_call(const NodeId& node, const std::string& bytes);
  void send_answer(const NodeId& node, const std::string& bytes);
  void on_message_received(const NodeId& node) { this->selector.on_message_received(node); }

  /// @return the nodes to probe now, which rank before this one as owners of the limit.
  std::vector<NodeId> nodes_to_probe(const std::string& limit);

 private:
  void detect_stall();

  Runtime& runtime;
  NodeId self;
  bool was_connected = false;
  PermitPeers* peers = nullptr;
  std::size_t node_count = 0;  ///< 0: not known yet.
  LimitOwnerSelector selector{NodeId()};
  MonotonicTime stable_since{};  ///< Start of uninterrupted operation with a known node list.
  MonotonicTime last_tick_at{};
  std::unordered_map<std::string, MonotonicTime> held_since;
};

}  // namespace shuntbank::relay
