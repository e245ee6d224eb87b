#include "core/relay/peer_liveness.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

/// Older failures do not count: this node has not probed others since.
constexpr Duration kFailureMemory = std::chrono::seconds(10);

/// A node that registers again later is as good as new.
constexpr Duration kRemovalMemory = std::chrono::minutes(10);

}  // namespace

void PeerLiveness::set_nodes(MonotonicTime now, const std::set<NodeId>& listed) {
  std::erase_if(this->peers, [&](const auto& entry) { return listed.count(entry.first) == 0; });
  for (const NodeId& node : listed) {
    const auto [entry, added] = this->peers.try_emplace(node);
    if (!added) continue;
    entry->second.last_contact_at = now;
    entry->second.returned = this->removed_at.erase(node) > 0;
  }
  std::erase_if(this->removed_at,
                [&](const auto& entry) { return now - entry.second > kRemovalMemory; });
}

void PeerLiveness::on_contact(MonotonicTime now, const NodeId& node) {
  const auto found = this->peers.find(node);
  if (found == this->peers.end()) return;
  found->second.last_contact_at = now;
  found->second.probe_pending = false;
  found->second.failures = 0;
  found->second.returned = false;
  this->last_contact_at = now;
}

bool PeerLiveness::is_silent(MonotonicTime now, const Peer& peer) const {
  const Duration silence =
      peer.returned ? this->settings.silence_after_return : this->settings.silence;
  return now - peer.last_contact_at >= silence;
}

bool PeerLiveness::is_probe_due(MonotonicTime now, const Peer& peer) const {
  return !peer.probe_pending && now - peer.last_probe_at >= this->settings.probe_interval &&
         this->is_silent(now, peer);
}

std::vector<NodeId> PeerLiveness::next_probes(MonotonicTime now) {
  auto pending = static_cast<std::size_t>(
      std::count_if(this->peers.begin(), this->peers.end(),
                    [](const auto& entry) { return entry.second.probe_pending; }));
  std::vector<std::map<NodeId, Peer>::iterator> due;
  for (auto it = this->peers.begin(); it != this->peers.end(); ++it) {
    if (this->is_probe_due(now, it->second)) due.push_back(it);
  }
  std::stable_sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
    return left->second.last_contact_at < right->second.last_contact_at;
  });
  std::size_t first_probes = 0;
  std::vector<NodeId> probes;
  for (const auto& it : due) {
    if (pending >= this->settings.max_pending_probes) break;
    Peer& peer = it->second;
    if (peer.failures == 0 && ++first_probes > this->settings.max_first_probes) continue;
    peer.probe_pending = true;
    peer.last_probe_at = now;
    ++pending;
    probes.push_back(it->first);
  }
  return probes;
}

void PeerLiveness::on_probe_failed(MonotonicTime now, const NodeId& node) {
  const auto found = this->peers.find(node);
  if (found == this->peers.end()) return;
  Peer& peer = found->second;
  peer.probe_pending = false;
  if (now - peer.last_failure_at > kFailureMemory) peer.failures = 0;
  ++peer.failures;
  peer.last_failure_at = now;
}

std::vector<NodeId> PeerLiveness::gone_nodes(MonotonicTime now) const {
  std::vector<NodeId> gone;
  if (now - this->last_contact_at > this->settings.contact_timeout) return gone;
  for (const auto& [node, peer] : this->peers) {
    const bool probed = peer.failures >= this->settings.failed_probes &&
                        now - peer.last_failure_at <= kFailureMemory;
    if (probed && this->is_silent(now, peer)) gone.push_back(node);
  }
  return gone;
}

}  // namespace shuntbank::relay
