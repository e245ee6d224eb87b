/// @file
/// Transfers configurations between nodes. This reduces the load on the store, and a node that the
/// store rejects still gets the newest version.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime.hpp"
#include "net/peer_transport.hpp"
#include "protocol/configuration_message.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/zone_exchange.hpp"

namespace shuntbank::relay {

/// One node's side of the configuration exchange.
class ConfigurationExchange {
 public:
  /// All references outlive this.
  ConfigurationExchange(Runtime& runtime, PeerTransport& transport, const PeerDirectory& peers,
                        const ZoneExchange& zones, const ConfigurationExchangeSettings& settings);
  ~ConfigurationExchange();
  ConfigurationExchange(const ConfigurationExchange&) = delete;
  ConfigurationExchange& operator=(const ConfigurationExchange&) = delete;

  /// Sets the handler that answers requests of other nodes; an empty answer means no newer parts.
  void on_request(std::function<std::string(const ConfigurationCall&)> handler) {
    this->request_handler = std::move(handler);
  }

  /// @return the answer to another node's call; may be empty.
  std::string answer(std::string_view call) const;

  /// Records the revision that a peer has reported to this node directly.
  void record_peer_revision(const NodeId& peer, std::uint64_t revision);

  /// Requests the configuration from another node. Does nothing while a request is pending, as
  /// parallel answers would share the link.
  /// @param uses_zones whether nodes exchange load by zones rather than directly.
  void request(const ConfigurationCall& call, bool uses_zones,
               std::function<void(ConfigurationMessage)> handler);

 private:
  struct PeerRevision {
    std::uint64_t revision = 0;
    MonotonicTime at{};
  };
  std::vector<std::string> candidate_addresses(bool uses_zones);
  std::vector<std::string> newest_revision_addresses() const;

  Runtime& runtime;
  PeerTransport& transport;
  const PeerDirectory& peers;
  const ZoneExchange& zones;
  ConfigurationExchangeSettings settings;
  std::function<std::string(const ConfigurationCall&)> request_handler;
  std::map<NodeId, PeerRevision> peer_revisions;
  std::uint64_t request_count = 0;
  bool request_pending = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
