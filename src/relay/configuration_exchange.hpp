/// @file
/// Hands configurations from node to node, so that the store need not tell each of them all of each
/// version, and a node that it turns away has the newest one all the same.
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

/// The part of one node in it.
class ConfigurationExchange {
 public:
  /// All references outlive this.
  ConfigurationExchange(Runtime& runtime, PeerTransport& transport, const PeerDirectory& peers,
                        const ZoneExchange& zones, const ConfigurationExchangeSettings& settings);
  ~ConfigurationExchange();
  ConfigurationExchange(const ConfigurationExchange&) = delete;
  ConfigurationExchange& operator=(const ConfigurationExchange&) = delete;

  /// Sets what is told to a node that asks; empty: nothing that it lacks.
  void on_request(std::function<std::string(const ConfigurationCall&)> handler) {
    this->request_handler = std::move(handler);
  }

  /// @return the answer to a call of another node; empty: none.
  std::string answer(std::string_view call) const;

  /// A node has told this one directly which revision it has.
  void record_peer_revision(const NodeId& peer, std::uint64_t revision);

  /// Asks another node. Asks nobody while an answer is still to come: two on one link come later
  /// than one.
  /// @param by_zones whether the fleet is large, so that nodes do not hear each other directly.
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
  bool request_pending = false;  ///< The answer is still to come.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
