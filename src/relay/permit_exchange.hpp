/// @file
/// Sends and receives messages about permits and quotas between nodes.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/peer_transport.hpp"
#include "relay/engine_permits.hpp"
#include "relay/peer_directory.hpp"
#include "relay/tenant_quotas.hpp"

namespace shuntbank::relay {

/// Connects the permits and the quotas of one node to the peer transport.
class PermitExchange : public PermitPeers {
 public:
  /// All references must outlive this object.
  /// @param own_live_fraction returns the fraction of the listed nodes that are live.
  PermitExchange(PeerTransport& own_transport, const PeerDirectory& own_peers,
                 EnginePermits& own_permits, TenantQuotas& own_quotas,
                 std::function<double()> own_live_fraction);

  /// Passes on the current list of nodes.
  void update_nodes();

  /// @return whether the message is handled here.
  static bool handles(std::string_view bytes);
  void on_message(std::string_view bytes);

  void send(const NodeId& node, const std::string& bytes) override;
  double live_fraction() const override { return this->get_live_fraction(); }

 private:
  void on_quota_message(std::string_view bytes);

  PeerTransport& transport;
  const PeerDirectory& peers;
  EnginePermits& permits;
  TenantQuotas& quotas;
  std::function<double()> get_live_fraction;
};

}  // namespace shuntbank::relay
