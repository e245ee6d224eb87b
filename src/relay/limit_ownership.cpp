#include "relay/limit_ownership.hpp"

#include <utility>

namespace shuntbank::relay {
namespace {

/// After a gap this long between ticks, the process counts as stalled and another node may own its
/// limits.
constexpr Duration kStallThreshold = std::chrono::milliseconds(500);

}  // namespace

void LimitOwnership::connect(const NodeId& own_name, PermitPeers& others) {
  this->was_connected = true;
  this->self = own_name;
  this->selector = LimitOwnerSelector(own_name);
  this->peers = &others;
  this->last_tick_at = this->runtime.now();
}

void LimitOwnership::set_nodes(std::vector<NodeId> nodes) {
  if (this->node_count == 0) this->stable_since = this->runtime.now();
  this->node_count = nodes.size();
  this->selector.set_nodes(std::move(nodes));
}

void LimitOwnership::tick() {
  this->detect_stall();
  this->last_tick_at = this->runtime.now();
}

/// Also called before a tick, since queued calls may be processed first after a stall.
void LimitOwnership::detect_stall() {
  const MonotonicTime now = this->runtime.now();
  if (now - this->last_tick_at <= kStallThreshold) return;
  this->stable_since = now;
  this->held_since.clear();
}

std::optional<NodeId> LimitOwnership::remote_owner(const std::string& limit) {
  if (!this->connected()) return std::nullopt;
  auto owner = this->selector.owner(this->runtime.now(), limit);
  return owner && *owner != this->self ? owner : std::nullopt;
}

LimitTenure LimitOwnership::tenure(const std::string& limit) {
  if (this->standalone()) return {true, false, true, std::nullopt};
  this->detect_stall();
  const MonotonicTime now = this->runtime.now();
  if (!this->connected() || this->selector.owner(now, limit) != this->self) {
    this->held_since.erase(limit);
    return {};
  }
  // The preferred owner has been the owner for as long as it has run.
  const bool preferred = this->selector.is_preferred_owner(limit);
  const MonotonicTime since = preferred ? this->stable_since : now;
  const auto [entry, added] = this->held_since.try_emplace(limit, since);
  return {true, added, preferred, entry->second};
}

double LimitOwnership::live_fraction() const {
  return this->peers == nullptr ? 1 : this->peers->live_fraction();
}

void LimitOwnership::send_call(const NodeId& node, const std::string& bytes) {
  if (this->peers == nullptr) return;
  this->selector.on_request_sent(this->runtime.now(), node);
  this->peers->send(node, bytes);
}

void LimitOwnership::send_answer(const NodeId& node, const std::string& bytes) {
  if (this->peers != nullptr) this->peers->send(node, bytes);
}

std::vector<NodeId> LimitOwnership::nodes_to_probe(const std::string& limit) {
  return this->selector.nodes_to_probe(this->runtime.now(), limit);
}

}  // namespace shuntbank::relay
