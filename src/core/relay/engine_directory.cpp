#include "core/relay/engine_directory.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

/// A report older than this says nothing of the load now.
constexpr Duration kReportLife = std::chrono::seconds(2);

/// Engines whose latest start is remembered after they are gone, so that late news of an earlier
/// one does not bring that back: ten times as many as a large fleet has.
constexpr std::size_t kMostNames = 8192;

/// A node that was not heard of for so long has nothing under way as far as others can tell.
constexpr Duration kPeerLife = std::chrono::milliseconds(2500);

/// Failures in a row after which an engine is avoided, and for how long at first and at most.
constexpr std::uint32_t kFailuresToAvoid = 3;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);

/// An engine that refuses is full, or changes its stage, for a while; longer each time in a row.
constexpr Duration kBusyAvoidance = std::chrono::milliseconds(400);

/// An engine that cannot be reached is avoided at once, and not preferred for its idleness after.
constexpr Duration kUnreachableAvoidance = std::chrono::seconds(1);
constexpr double kUnreachableShare = 0.5;

/// Up to so many times longer, drawn by each node anew. Where all nodes heard of it together, all
/// would try it again together; so the first one does, and tells the others what it met.
constexpr double kLongestByLot = 3;

/// An engine that is not the one expected is avoided until its record changes, or so long.
constexpr Duration kMisdirectedAvoidance = std::chrono::seconds(5);

/// What another node has met at an engine does not count against a later success here.
constexpr Duration kTroubleAge = std::chrono::milliseconds(300);

/// A pace that is older says nothing of an engine's streams now.
constexpr Duration kPaceLife = std::chrono::milliseconds(600);

/// Weight of the newest attempt in the moving averages.
constexpr double kNewestWeight = 0.15;

/// @return the avoidance after so many others in a row.
Duration doubled(Duration first, std::uint32_t times) {
  constexpr std::uint32_t kMostDoublings = 4;
  return std::min(first * (1 << std::min(times, kMostDoublings)), kLongestAvoidance);
}

}  // namespace

const char* to_text(EngineStage stage) {
  switch (stage) {
    case EngineStage::kNone:
      return "none";
    case EngineStage::kPrefill:
      return "prefill";
    case EngineStage::kDecode:
      return "decode";
  }
  return "none";
}

EngineId start_id(const std::string& name, std::uint64_t started_unix_ms) {
  if (started_unix_ms == 0) return EngineId(name);
  constexpr int kShortest = 36;
  char digits[16];
  const auto written =
      std::to_chars(std::begin(digits), std::end(digits), started_unix_ms, kShortest);
  return EngineId(name + "." + std::string(std::begin(digits), written.ptr));
}

double EngineView::others_there(MonotonicTime now) const {
  if (peers) return peers->in_flight;
  if (!load || now - load_at > kReportLife) return 0;
  const double reported = load->running + load->waiting;
  const double others = std::max(0.0, reported - static_cast<double>(in_flight_at_report));
  return others * (1.0 - to_seconds(now - load_at) / to_seconds(kReportLife));
}

double EngineView::recent_pace_ms(MonotonicTime now, double fallback) const {
  return pace_ms > 0 && now - pace_at <= kPaceLife ? pace_ms : fallback;
}

std::vector<std::string> EngineDirectory::replace_all(const std::vector<EngineRecord>& records) {
  std::set<EngineId> present;
  for (const EngineRecord& record : records) {
    present.insert(start_named_by(record));
    upsert(record);
  }
  std::vector<std::string> gone;
  for (auto it = engines_.begin(); it != engines_.end();) {
    if (present.count(it->first) != 0) {
      ++it;
      continue;
    }
    gone.push_back(it->second.record.address);
    forget_key(it->second);
    it = engines_.erase(it);
  }
  return gone;
}

bool EngineDirectory::outdated(const EngineRecord& record) const {
  const auto latest = latest_.find(record.own_name());
  return latest != latest_.end() && record.started_unix_ms < latest->second.started_unix_ms;
}

const EngineId& EngineDirectory::start_named_by(const EngineRecord& record) const {
  return outdated(record) ? latest_.at(record.own_name()).id : record.id;
}

const EngineView* EngineDirectory::find_named(const std::string& name) const {
  const auto latest = latest_.find(name);
  return latest == latest_.end() ? nullptr : find(latest->second.id);
}

void EngineDirectory::note_start(const EngineRecord& record) {
  const LatestStart start{record.id, record.started_unix_ms};
  const auto [latest, added] = latest_.try_emplace(record.own_name(), start);
  if (added) {
    latest_order_.push_back(record.own_name());
    return forget_oldest_names();
  }
  if (latest->second.id != record.id) remove(latest->second.id);
  latest->second = start;
}

/// Names of engines that are still known stay, however old: they are asked for by name.
void EngineDirectory::forget_oldest_names() {
  for (std::size_t looked = latest_order_.size(); looked > 0 && latest_order_.size() > kMostNames;
       --looked) {
    std::string name = std::move(latest_order_.front());
    latest_order_.pop_front();
    if (find_named(name) != nullptr) {
      latest_order_.push_back(std::move(name));
      continue;
    }
    latest_.erase(name);
  }
}

void EngineDirectory::upsert(const EngineRecord& record) {
  if (outdated(record)) return;
  note_start(record);
  if (record.draining) notices_.on_leaving(record.id);
  const auto [entry, added] = engines_.try_emplace(record.id);
  EngineView& engine = entry->second;
  // What was met before says nothing of an engine that has changed.
  if (!(engine.record == record)) engine.avoided_until = {};
  engine.record = record;
  // A start of an engine that leaves never takes work again; a record that says so is an old one,
  // or one that the engine could not write while the store was away.
  engine.record.draining = notices_.leaving(record.id);
  engine.rests_until = notices_.rests_until(record.id);
  if (!added) return;
  engine.key = engine_key(record.id);
  by_key_.emplace(engine.key, &engine);
  // Others may have known it earlier.
  for (const auto& [node, peer] : peers_) {
    const auto load = peer.load.find(record.id);
    if (load != peer.load.end()) engine.heard += load->second;
  }
  show_peers(engine);
}

std::string EngineDirectory::remove(const EngineId& id) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return "";
  std::string address = found->second.record.address;
  forget_key(found->second);
  engines_.erase(found);
  return address;
}

void EngineDirectory::forget_key(const EngineView& engine) {
  const auto [first, last] = by_key_.equal_range(engine.key);
  const auto found =
      std::find_if(first, last, [&](const auto& entry) { return entry.second == &engine; });
  if (found != last) by_key_.erase(found);
}

EngineView* EngineDirectory::find_by_key(EngineKey key) {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

EngineView* EngineDirectory::find(const EngineId& id) {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

const EngineView* EngineDirectory::find(const EngineId& id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

std::vector<EngineView*> EngineDirectory::of_service(const ServiceName& service) {
  std::vector<EngineView*> engines;
  for (auto& [id, engine] : engines_) {
    if (engine.record.service == service) engines.push_back(&engine);
  }
  return engines;
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
  // Only the engines of the part: a sum has as many parts as it needs for all.
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

/// Only the engines of one message are touched, so that its cost does not grow with the fleet.
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

void EngineDirectory::on_health(MonotonicTime now, const EngineId& id, AttemptHealth health) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const bool failed = health == AttemptHealth::kFailed || health == AttemptHealth::kUnreachable;
  engine->failure_share += kNewestWeight * ((failed ? 1.0 : 0.0) - engine->failure_share);
  if (health == AttemptHealth::kGood) {
    engine->failures_in_a_row = 0;
    engine->refusals_in_a_row = 0;
  }
  if (health == AttemptHealth::kGood) engine->last_good = now;
  if (health == AttemptHealth::kBusy) {
    engine->avoided_until = now + doubled(kBusyAvoidance, engine->refusals_in_a_row++);
  }
  // The handle may have lapsed, which says little of the engine.
  if (health == AttemptHealth::kHandleRefused) engine->avoided_until = now + kBusyAvoidance;
  if (health == AttemptHealth::kMisdirected) engine->avoided_until = now + kMisdirectedAvoidance;
  if (!failed) return;
  ++engine->failures_in_a_row;
  if (health == AttemptHealth::kUnreachable) {
    engine->avoided_until = now + longer_by_lot(kUnreachableAvoidance, id);
    engine->failure_share = std::max(engine->failure_share, kUnreachableShare);
  } else if (engine->failures_in_a_row >= kFailuresToAvoid) {
    engine->avoided_until =
        now + doubled(kFirstAvoidance, engine->failures_in_a_row - kFailuresToAvoid);
  }
}

bool EngineDirectory::on_leaving(const EngineId& id) {
  EngineView* engine = find(id);
  if (engine != nullptr) engine->record.draining = true;
  return notices_.on_leaving(id);
}

void EngineDirectory::on_rest(MonotonicTime now, const EngineId& id, Duration rest) {
  const MonotonicTime until = notices_.on_rest(now, id, rest);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->rests_until = until;
}

std::optional<MonotonicTime> EngineDirectory::first_return(
    MonotonicTime now, const ServiceName& service, const std::vector<EngineId>& except) const {
  std::optional<MonotonicTime> first;
  for (const auto& [id, engine] : engines_) {
    const EngineRecord& record = engine.record;
    const bool answers = record.stage != EngineStage::kPrefill;
    if (record.service != service || !answers || record.draining) continue;
    if (std::find(except.begin(), except.end(), id) != except.end()) continue;
    if (engine.rests_until <= now) return std::nullopt;
    if (!first || engine.rests_until < *first) first = engine.rests_until;
  }
  return first;
}

void EngineDirectory::on_peer_trouble(MonotonicTime now, const EngineTrouble& trouble) {
  if (trouble.kind == TroubleKind::kLeaving) {
    on_leaving(trouble.engine);
    return;
  }
  EngineView* engine = find(trouble.engine);
  // A node that knows a newer record of the engine would not have met this.
  if (engine == nullptr || engine->record.stage != trouble.stage) return;
  const bool misdirected = trouble.kind == TroubleKind::kMisdirected;
  if (!misdirected && now - engine->last_good < kTroubleAge) return;
  const Duration avoidance =
      misdirected ? kMisdirectedAvoidance : longer_by_lot(kUnreachableAvoidance, trouble.engine);
  engine->avoided_until = std::max(engine->avoided_until, now + avoidance);
}

Duration EngineDirectory::longer_by_lot(Duration shortest, const EngineId& engine) {
  const double lot = hash_fraction(engine.value(), seed_ + ++lots_drawn_);
  const double factor = 1 + (kLongestByLot - 1) * lot;
  return Duration(static_cast<std::int64_t>(static_cast<double>(shortest.count()) * factor));
}

void EngineDirectory::on_prompt_sent(std::uint64_t unread) {
  usual_unread_tokens_ += kNewestWeight * (static_cast<double>(unread) - usual_unread_tokens_);
}

const EngineModel& EngineDirectory::model_of(const ServiceName& service) const {
  static const EngineModel defaults;
  const auto found = models_.find(service);
  return found == models_.end() ? defaults : found->second;
}

void EngineDirectory::on_event_gap(MonotonicTime now, const EngineId& id, Duration gap) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(gap);
  const bool fresh = engine->pace_ms > 0 && now - engine->pace_at <= kPaceLife;
  engine->pace_ms = fresh ? engine->pace_ms + kNewestWeight * (ms - engine->pace_ms) : ms;
  engine->pace_at = now;
}

void EngineDirectory::on_latency(const EngineId& id, Duration latency) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(latency);
  if (engine->latency_ms == 0) engine->latency_ms = ms;
  engine->latency_ms += kNewestWeight * (ms - engine->latency_ms);
}

}  // namespace shuntbank::relay
