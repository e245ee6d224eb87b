/// @file
/// Selects the node through which this one connects to an engine that it cannot reach itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/collector_selector.hpp"

namespace shuntbank::relay {

struct TunnelPeersSettings {
  /// How long a node that opened no tunnel is not asked again.
  Duration failure_memory = std::chrono::seconds(1);
  /// A node whose regular messages stopped for this long is not asked: longer than two of them.
  Duration silence_timeout = std::chrono::milliseconds(2200);
};

/// The other nodes as possible relays. Which of them reach an engine is found out by asking, so
/// that it costs no messages while all paths work.
class TunnelPeers {
 public:
  explicit TunnelPeers(const TunnelPeersSettings& own_settings = {}) : settings(own_settings) {}

  /// Sets the nodes. @param self the name of this one, which is among them.
  void set_nodes(const PeerRecords& nodes, const NodeId& self);

  /// A regular message of a node has arrived. From then on its silence counts.
  void on_heard(MonotonicTime now, const NodeId& node);

  /// Nodes no longer send regular messages to this one.
  void expect_no_messages();

  /// A node has opened a tunnel, or opens none at present.
  void on_opened(MonotonicTime now, const std::string& address);
  void on_failed(MonotonicTime now, const std::string& address);

  /// A node has no path to an engine either.
  void on_no_path(MonotonicTime now, const std::string& address, const EngineId& engine);

  /// @return the address of the node to ask next, if any is left. Nodes of this zone come first,
  /// then those of zones that were not asked yet, as partitions often cut off whole zones.
  /// @param tried addresses that were asked before for the same attempt.
  std::optional<std::string> choose(MonotonicTime now, const EngineId& engine,
                                    const std::vector<std::string>& tried) const;

  /// @return number of other nodes.
  std::size_t size() const { return this->peers.size(); }

  /// @return whether some node has opened a tunnel within this time.
  bool opened_within(MonotonicTime now, Duration period) const {
    return this->opened_at && now - *this->opened_at <= period;
  }

  /// @return whether a node has this IP address.
  bool has_ip(std::string_view ip) const;

 private:
  struct Peer {
    NodeId node;
    std::string address;
    ZoneName zone;
    std::optional<MonotonicTime> heard_at;
    std::optional<MonotonicTime> failed_at;
    std::map<EngineId, MonotonicTime> no_path_at;  ///< Forgotten with `failure_memory`.
  };

  bool usable(MonotonicTime now, const Peer& peer, const EngineId& engine) const;
  Peer* find(const std::string& address);

  TunnelPeersSettings settings;
  ZoneName own_zone;
  std::uint64_t seed = 0;  ///< Differs between nodes, so that they do not all ask the same one.
  std::vector<Peer> peers;
  std::optional<MonotonicTime> opened_at;
};

}  // namespace shuntbank::relay
