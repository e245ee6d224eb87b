/// @file
/// Carries the messages about permits between nodes.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/peer_transport.hpp"
#include "relay/engine_permits.hpp"
#include "relay/peer_directory.hpp"

namespace shuntbank::relay {

/// The part of one node.
class PermitExchange : public PermitPeers {
 public:
  /// All references outlive this. @param share of the listed nodes that is heard of now.
  PermitExchange(PeerTransport& own_transport, const PeerDirectory& own_peers,
                 EnginePermits& own_permits, std::function<double()> own_live_fraction);

  /// The list of nodes has come, or has changed.
  void update_nodes();

  void on_message(std::string_view bytes);

  void send(const NodeId& node, const std::string& bytes) override;
  double live_fraction() const override { return this->get_live_fraction(); }

 private:
  PeerTransport& transport;
  const PeerDirectory& peers;
  EnginePermits& permits;
  std::function<double()> get_live_fraction;
};

}  // namespace shuntbank::relay
