#include "core/relay/tunnel_peers.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

/// @return the IP of an `IP:PORT` address, without the brackets of IPv6.
std::string_view ip_of(std::string_view address) {
  std::string_view ip = address.substr(0, address.rfind(':'));
  if (ip.size() > 2 && ip.front() == '[') ip = ip.substr(1, ip.size() - 2);
  return ip;
}

}  // namespace

void TunnelPeers::set_nodes(const PeerRecords& nodes, const NodeId& self) {
  std::vector<Peer> updated;
  for (const auto& [name, record] : nodes) {
    if (name == self) {
      this->own_zone = record.zone;
      continue;
    }
    const Peer* known = this->find(record.address);
    Peer peer = known != nullptr ? *known : Peer();
    peer.node = name;
    peer.address = record.address;
    peer.zone = record.zone;
    updated.push_back(std::move(peer));
  }
  this->seed = hash64(self.value());
  this->peers = std::move(updated);
}

void TunnelPeers::on_heard(MonotonicTime now, const NodeId& node) {
  for (Peer& peer : this->peers) {
    if (peer.node == node) peer.heard_at = now;
  }
}

void TunnelPeers::expect_no_messages() {
  for (Peer& peer : this->peers) peer.heard_at.reset();
}

void TunnelPeers::on_opened(MonotonicTime now, const std::string& address) {
  this->opened_at = now;
  Peer* peer = this->find(address);
  if (peer != nullptr) peer->failed_at.reset();
}

void TunnelPeers::on_failed(MonotonicTime now, const std::string& address) {
  Peer* peer = this->find(address);
  if (peer != nullptr) peer->failed_at = now;
}

void TunnelPeers::on_no_path(MonotonicTime now, const std::string& address,
                             const EngineId& engine) {
  Peer* peer = this->find(address);
  if (peer == nullptr) return;
  std::erase_if(peer->no_path_at, [&](const auto& entry) {
    return now - entry.second >= this->settings.failure_memory;
  });
  peer->no_path_at[engine] = now;
}

bool TunnelPeers::usable(MonotonicTime now, const Peer& peer, const EngineId& engine) const {
  const auto recent = [&](MonotonicTime at) { return now - at < this->settings.failure_memory; };
  const auto no_path = peer.no_path_at.find(engine);
  if (no_path != peer.no_path_at.end() && recent(no_path->second)) return false;
  const bool failed = peer.failed_at && recent(*peer.failed_at);
  const bool silent = peer.heard_at && now - *peer.heard_at > this->settings.silence_timeout;
  return !failed && !silent;
}

std::optional<std::string> TunnelPeers::choose(MonotonicTime now, const EngineId& engine,
                                               const std::vector<std::string>& tried) const {
  std::set<ZoneName> tried_zones;
  for (const Peer& peer : this->peers) {
    const bool was_tried = std::find(tried.begin(), tried.end(), peer.address) != tried.end();
    if (was_tried) tried_zones.insert(peer.zone);
  }
  const Peer* best = nullptr;
  std::tuple<bool, bool, double> best_rank;
  for (const Peer& peer : this->peers) {
    if (std::find(tried.begin(), tried.end(), peer.address) != tried.end()) continue;
    if (!this->usable(now, peer, engine)) continue;
    const std::tuple<bool, bool, double> rank{
        tried_zones.count(peer.zone) > 0, peer.zone != this->own_zone,
        hash_fraction(peer.address + engine.value(), this->seed)};
    if (best != nullptr && best_rank <= rank) continue;
    best = &peer;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  return best->address;
}

bool TunnelPeers::has_ip(std::string_view ip) const {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [ip](const Peer& peer) { return ip_of(peer.address) == ip; });
}

TunnelPeers::Peer* TunnelPeers::find(const std::string& address) {
  const auto found = std::find_if(this->peers.begin(), this->peers.end(),
                                  [&](const Peer& peer) { return peer.address == address; });
  return found == this->peers.end() ? nullptr : &*found;
}

}  // namespace shuntbank::relay
