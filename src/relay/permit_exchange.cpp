#include "relay/permit_exchange.hpp"

#include <utility>
#include <vector>

#include "relay/malformed_message.hpp"

namespace shuntbank::relay {

PermitExchange::PermitExchange(PeerTransport& own_transport, const PeerDirectory& own_peers,
                               EnginePermits& own_permits, TenantQuotas& own_quotas,
                               std::function<double()> own_live_fraction)
    : transport(own_transport),
      peers(own_peers),
      permits(own_permits),
      quotas(own_quotas),
      get_live_fraction(std::move(own_live_fraction)) {
  this->permits.connect(own_peers.own_name(), *this);
  this->quotas.connect(own_peers.own_name(), *this);
}

void PermitExchange::update_nodes() {
  std::vector<NodeId> nodes;
  for (const auto& [name, record] : this->peers.nodes()) nodes.push_back(name);
  this->permits.set_nodes(nodes);
  this->quotas.set_nodes(std::move(nodes));
}

void PermitExchange::send(const NodeId& node, const std::string& bytes) {
  const PeerRecord* record = this->peers.find(node);
  if (record != nullptr) this->transport.send(record->address, bytes);
}

bool PermitExchange::handles(std::string_view bytes) {
  return is_permit_call(bytes) || is_permit_answer(bytes) || is_quota_call(bytes) ||
         is_quota_answer(bytes);
}

/// Drops messages of unlisted nodes, which may not own limits or get permits.
void PermitExchange::on_message(std::string_view bytes) {
  if (is_quota_call(bytes) || is_quota_answer(bytes)) return this->on_quota_message(bytes);
  if (is_permit_call(bytes)) {
    const auto call = decode_permit_call(bytes);
    if (!call) return log_malformed_message("permit call", call.error());
    if (this->peers.is_peer(call->node)) this->permits.on_call(*call);
    return;
  }
  const auto answer = decode_permit_answer(bytes);
  if (!answer) return log_malformed_message("permit answer", answer.error());
  if (this->peers.is_peer(answer->node)) this->permits.on_answer(*answer);
}

void PermitExchange::on_quota_message(std::string_view bytes) {
  if (is_quota_call(bytes)) {
    const auto call = decode_quota_call(bytes);
    if (!call) return log_malformed_message("quota call", call.error());
    if (this->peers.is_peer(call->node)) this->quotas.on_call(*call);
    return;
  }
  const auto answer = decode_quota_answer(bytes);
  if (!answer) return log_malformed_message("quota answer", answer.error());
  if (this->peers.is_peer(answer->node)) this->quotas.on_answer(*answer);
}

}  // namespace shuntbank::relay
