#include "relay/peer_reaper.hpp"

#include <utility>
#include <vector>

#include "common/log.hpp"
#include "protocol/load_message.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);

constexpr std::size_t kMaxPendingRemovals = 4;

/// Delay after a removal that failed, as the store is busy or the record has changed.
constexpr Duration kRemovalRetryInterval = std::chrono::seconds(2);

/// How often and for how long a removed node is probed, one of them in each tick.
constexpr Duration kRemovedNodeProbeInterval = std::chrono::seconds(10);
constexpr Duration kRemovedNodeRetention = std::chrono::minutes(10);

}  // namespace

PeerReaper::PeerReaper(Runtime& own_runtime, PeerTransport& own_transport, PeerDirectory& own_peers,
                       const PeerLivenessSettings& settings)
    : runtime(own_runtime), transport(own_transport), peers(own_peers), liveness(settings) {}

PeerReaper::~PeerReaper() {
  *this->alive = false;
}

void PeerReaper::update_nodes() {
  std::set<NodeId> others;
  for (const auto& [node, record] : this->peers.nodes()) {
    if (node != this->peers.own_name()) others.insert(node);
  }
  this->liveness.set_nodes(this->runtime.now(), others);
}

void PeerReaper::tick() {
  this->probe_silent_nodes();
  this->probe_removed_node();
  const MonotonicTime now = this->runtime.now();
  if (now < this->next_removal_at) return;
  for (const NodeId& node : this->liveness.gone_nodes(now)) {
    if (this->pending_removals.size() >= kMaxPendingRemovals) return;
    if (this->pending_removals.count(node) == 0) this->remove(node);
  }
}

/// Another node may have got the address. Nodes of earlier versions answer without a name.
void PeerReaper::probe(const NodeId& node, const PeerRecord& record,
                       std::function<void(bool)> handler) {
  this->transport.call(record.address, std::string(kNameCall), kProbeTimeout,
                       [living = this->alive, node, handler = std::move(handler)](
                           const tl::expected<std::string, std::string>& answer) {
                         if (!*living) return;
                         handler(answer && (answer->empty() || *answer == node.value()));
                       });
}

void PeerReaper::probe_silent_nodes() {
  for (const NodeId& node : this->liveness.next_probes(this->runtime.now())) {
    const PeerRecord* record = this->peers.find(node);
    if (record == nullptr) continue;
    this->probe(node, *record, [this, node](bool answered) {
      const MonotonicTime now = this->runtime.now();
      if (answered) return this->liveness.on_contact(now, node);
      this->liveness.on_probe_failed(now, node);
    });
  }
}

void PeerReaper::probe_removed_node() {
  const MonotonicTime now = this->runtime.now();
  std::erase_if(this->removed_nodes, [&](const auto& entry) {
    const bool expired = now - entry.second.removed_at > kRemovedNodeRetention;
    return expired || this->peers.find(entry.first) != nullptr;
  });
  for (auto& [node, removed] : this->removed_nodes) {
    if (now - removed.last_probe_at < kRemovedNodeProbeInterval) continue;
    removed.last_probe_at = now;
    return this->probe(node, removed.record,
                       [this, name = node, record = removed.record](bool answered) {
                         const bool listed = this->peers.find(name) != nullptr;
                         if (answered && !listed) this->peers.restore(name, record);
                       });
  }
}

void PeerReaper::remove(const NodeId& node) {
  const PeerRecord* found = this->peers.find(node);
  if (found == nullptr) return;
  this->pending_removals.insert(node);
  const auto handler = [this, living = this->alive, node, record = *found](bool removed) {
    if (!*living) return;
    this->pending_removals.erase(node);
    log_event(LogArea::kControl, LogLevel::kInfo, "node_removed",
              {{"node", node.value()}, {"done", removed}, {"listed", this->peers.nodes().size()}});
    const MonotonicTime now = this->runtime.now();
    if (!removed) {
      this->next_removal_at = now + kRemovalRetryInterval;
      return;
    }
    this->liveness.on_removed(now, node);
    this->removed_nodes[node] = {record, now, now};
    if (this->removed_handler) this->removed_handler(node);
  };
  this->peers.remove(node, handler);
}

}  // namespace shuntbank::relay
