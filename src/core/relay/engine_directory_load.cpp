// Load of the engines, caused by this node and by the others.
#include <algorithm>

#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {
namespace {

/// Older load reports of an engine are ignored.
constexpr Duration kReportLife = std::chrono::seconds(2);

/// A node that has not reported for this long counts as having no load.
constexpr Duration kPeerLife = std::chrono::milliseconds(2500);

}  // namespace

double EngineView::others_there(MonotonicTime now) const {
  if (peers) return peers->in_flight;
  if (!load || now - load_at > kReportLife) return 0;
  const double reported = load->running + load->waiting;
  const double others = std::max(0.0, reported - static_cast<double>(in_flight_at_report));
  return others * (1.0 - to_seconds(now - load_at) / to_seconds(kReportLife));
}

void EngineDirectory::set_memory(const EngineId& id, std::uint64_t tokens) {
  EngineView* engine = find(id);
  if (engine != nullptr) engine->memory_tokens = tokens;
}

void EngineDirectory::on_sent(const EngineId& id, const PromptWork& work) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  ++engine->in_flight;
  engine->unread_tokens += work.unread_tokens;
  if (work.deferred) engine->deferred_tokens += work.unread_tokens;
}

void EngineDirectory::on_read(const EngineId& id, const PromptWork& work) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  engine->unread_tokens -= std::min(engine->unread_tokens, work.unread_tokens);
  if (!work.deferred) return;
  engine->deferred_tokens -= std::min(engine->deferred_tokens, work.unread_tokens);
}

void EngineDirectory::on_ended(const EngineId& id) {
  EngineView* engine = find(id);
  if (engine != nullptr && engine->in_flight > 0) --engine->in_flight;
}

void EngineDirectory::on_load(MonotonicTime now, const EngineId& id, const ReportedLoad& load) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  engine->load = load;
  engine->load_at = now;
  engine->in_flight_at_report = engine->in_flight;
}

void EngineDirectory::on_peer_load(MonotonicTime now, const NodeId& peer,
                                   std::map<EngineId, PeerLoad> load) {
  const bool first = peers_.empty();
  Peer& known = peers_[peer];
  add_to_peers(known.load, true);
  known = {now, std::move(load)};
  add_to_peers(known.load, false);
  if (first) show_all_peers();
}

void EngineDirectory::on_fleet_load(MonotonicTime now, const LoadRange& part,
                                    const LoadByKey& own_counted) {
  fleet_load_at_ = now;
  // A sum may be split into several ranges; only the engines of this one are updated.
  for (auto it = by_key_.lower_bound(part.first); it != by_key_.end() && part.covers(it->first);
       ++it) {
    const auto told = part.load.find(it->first);
    PeerLoad others = told == part.load.end() ? PeerLoad{} : told->second;
    const auto own = own_counted.find(it->first);
    if (own != own_counted.end()) others -= own->second;
    it->second->peers = others;
  }
}

void EngineDirectory::forget_silent_peers(MonotonicTime now) {
  if (fleet_load_at_ && now - *fleet_load_at_ > kPeerLife) {
    fleet_load_at_.reset();
    show_all_peers();
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.heard_at <= kPeerLife) {
      ++it;
      continue;
    }
    add_to_peers(it->second.load, true);
    it = peers_.erase(it);
    if (peers_.empty()) show_all_peers();
  }
}

/// Updates only the engines of one message, so that its cost is independent of the fleet size.
void EngineDirectory::add_to_peers(const std::map<EngineId, PeerLoad>& load, bool subtract) {
  for (const auto& [id, work] : load) {
    EngineView* engine = find(id);
    if (engine == nullptr) continue;
    if (subtract) {
      engine->heard -= work;
    } else {
      engine->heard += work;
    }
    show_peers(*engine);
  }
}

void EngineDirectory::show_peers(EngineView& engine) const {
  if (fleet_load_at_) return;
  if (peers_.empty()) {
    engine.peers.reset();
    return;
  }
  engine.peers = engine.heard;
}

void EngineDirectory::show_all_peers() {
  for (auto& [id, engine] : engines_) show_peers(engine);
}

std::map<EngineId, PeerLoad> EngineDirectory::own_load() const {
  std::map<EngineId, PeerLoad> load;
  for (const auto& [id, engine] : engines_) {
    if (engine.in_flight == 0 && engine.unread_tokens == 0) continue;
    load[id] = {engine.in_flight, engine.unread_tokens, engine.deferred_tokens};
  }
  return load;
}

}  // namespace shuntbank::relay
