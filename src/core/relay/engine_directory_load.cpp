// Load of the engines, caused by this node and by the others.
#include <algorithm>

#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {
namespace {

/// Older load reports of an engine are ignored.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

/// A node that has not reported for this long counts as having no load.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(2500);

/// Between two updates of all engine profiles; short compared with the time in which they forget.
constexpr Duration kProfileUpdateInterval = std::chrono::seconds(2);

}  // namespace

double EngineView::peer_requests(MonotonicTime now) const {
  if (peer_load) return peer_load->in_flight;
  if (!load || now - load_at > kMaxReportAge) return 0;
  const double reported = load->running + load->waiting;
  const double others = std::max(0.0, reported - static_cast<double>(in_flight_at_report));
  return others * (1.0 - to_seconds(now - load_at) / to_seconds(kMaxReportAge));
}

void EngineDirectory::set_memory(const ServiceName& service, std::uint64_t tokens) {
  memory_tokens_[service] = tokens;
  for (EngineView* engine : find_by_service(service)) engine->memory_tokens = tokens;
}

void EngineDirectory::on_attempt_sent(const EngineId& id, const PromptWork& work) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  ++engine->in_flight;
  engine->prefill_tokens += work.prefill_tokens;
  if (work.deferred) engine->deferred_tokens += work.prefill_tokens;
}

void EngineDirectory::on_prompt_read(const EngineId& id, const PromptWork& work) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  engine->prefill_tokens -= std::min(engine->prefill_tokens, work.prefill_tokens);
  if (!work.deferred) return;
  engine->deferred_tokens -= std::min(engine->deferred_tokens, work.prefill_tokens);
}

void EngineDirectory::on_attempt_ended(const EngineId& id) {
  EngineView* engine = find(id);
  if (engine != nullptr && engine->in_flight > 0) --engine->in_flight;
}

void EngineDirectory::on_load(MonotonicTime now, const EngineId& id, const ReportedLoad& load) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  engine->load = load;
  engine->load_at = now;
  engine->in_flight_at_report = engine->in_flight;
  if (load.slowdown > 0) engine->profile.on_slowdown(now, load.slowdown);
}

void EngineDirectory::on_peer_load(MonotonicTime now, const NodeId& peer,
                                   std::map<EngineId, PeerLoad> load) {
  const bool first = peers_.empty();
  Peer& known = peers_[peer];
  apply_peer_load(known.load, true);
  known = {now, std::move(load)};
  apply_peer_load(known.load, false);
  if (first) update_all_peer_loads();
}

void EngineDirectory::on_fleet_load(MonotonicTime now, const LoadRange& range,
                                    const LoadByKey& own_counted) {
  fleet_load_at_ = now;
  // A sum may be split into several ranges; only the engines of this one are updated.
  for (auto it = by_key_.lower_bound(range.first); it != by_key_.end() && range.covers(it->first);
       ++it) {
    const auto summed = range.load.find(it->first);
    PeerLoad others = summed == range.load.end() ? PeerLoad{} : summed->second;
    const auto own = own_counted.find(it->first);
    if (own != own_counted.end()) others -= own->second;
    it->second->peer_load = others;
  }
}

/// Includes engines without samples, for which the service's values count.
void EngineDirectory::update_profiles(MonotonicTime now) {
  if (now - profiles_updated_at_ < kProfileUpdateInterval) return;
  profiles_updated_at_ = now;
  for (const auto& [service, profile] : service_profiles_) {
    for (EngineView* engine : find_by_service(service)) {
      engine->profile.compare_with(now, profile);
    }
  }
}

void EngineDirectory::expire_peer_load(MonotonicTime now) {
  update_profiles(now);
  if (fleet_load_at_ && now - *fleet_load_at_ > kPeerTimeout) {
    fleet_load_at_.reset();
    update_all_peer_loads();
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.last_report_at <= kPeerTimeout) {
      ++it;
      continue;
    }
    apply_peer_load(it->second.load, true);
    it = peers_.erase(it);
    if (peers_.empty()) update_all_peer_loads();
  }
}

/// Updates only the engines of one message, so that its cost is independent of the fleet size.
void EngineDirectory::apply_peer_load(const std::map<EngineId, PeerLoad>& load, bool subtract) {
  for (const auto& [id, work] : load) {
    EngineView* engine = find(id);
    if (engine == nullptr) continue;
    if (subtract) {
      engine->reported_peer_load -= work;
    } else {
      engine->reported_peer_load += work;
    }
    update_peer_load(*engine);
  }
}

void EngineDirectory::update_peer_load(EngineView& engine) const {
  if (fleet_load_at_) return;
  if (peers_.empty()) {
    engine.peer_load.reset();
    return;
  }
  engine.peer_load = engine.reported_peer_load;
}

void EngineDirectory::update_all_peer_loads() {
  for (auto& [id, engine] : engines_) update_peer_load(engine);
}

std::map<EngineId, PeerLoad> EngineDirectory::own_load() const {
  std::map<EngineId, PeerLoad> load;
  for (const auto& [id, engine] : engines_) {
    if (engine.in_flight == 0 && engine.prefill_tokens == 0) continue;
    load[id] = {engine.in_flight, engine.prefill_tokens, engine.deferred_tokens};
  }
  return load;
}

}  // namespace shuntbank::relay
