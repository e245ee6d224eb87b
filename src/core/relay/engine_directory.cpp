#include "core/relay/engine_directory.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace shuntbank::relay {
namespace {

bool has_lower_id(const EngineView* left, const EngineView* right) {
  return left->record.id < right->record.id;
}

/// Bounds the memory that notices of unknown engines take. More than the engines that join within
/// the validity of a notice.
constexpr std::size_t kMaxUnlistedNotices = 1024;

void apply_notice(std::optional<ReceivedStageNotice>& kept, MonotonicTime now,
                  const StageNotice& notice) {
  if (kept && notice.fence < kept->fence) return;
  kept = {notice.stage, notice.fence, now + notice.valid_for};
}

}  // namespace

EngineId incarnation_id(const std::string& name, std::uint64_t started_unix_ms) {
  if (started_unix_ms == 0) return EngineId(name);
  constexpr int kBase = 36;
  char digits[16];
  const auto written = std::to_chars(std::begin(digits), std::end(digits), started_unix_ms, kBase);
  return EngineId(name + "." + std::string(std::begin(digits), written.ptr));
}

bool listed(const std::vector<EngineId>* engines, const EngineId& id) {
  return engines != nullptr && std::find(engines->begin(), engines->end(), id) != engines->end();
}

std::vector<std::string> EngineDirectory::replace_all(const std::vector<EngineRecord>& records) {
  std::set<EngineId> present;
  for (const EngineRecord& record : records) {
    present.insert(current_id(record));
    upsert(record);
  }
  std::vector<std::string> removed;
  for (auto it = engines_.begin(); it != engines_.end();) {
    if (present.count(it->first) != 0) {
      ++it;
      continue;
    }
    removed.push_back(it->second.record.address);
    remove_from_indexes(it->second);
    it = engines_.erase(it);
  }
  return removed;
}

bool EngineDirectory::outdated(const EngineRecord& record) const {
  const EngineIncarnation* latest = incarnations_.find(record.own_name());
  return latest != nullptr && record.started_unix_ms < latest->started_unix_ms;
}

const EngineId& EngineDirectory::current_id(const EngineRecord& record) const {
  return outdated(record) ? incarnations_.find(record.own_name())->id : record.id;
}

const EngineView* EngineDirectory::find_by_name(const std::string& name) const {
  const EngineIncarnation* latest = incarnations_.find(name);
  return latest == nullptr ? nullptr : find(latest->id);
}

void EngineDirectory::record_incarnation(const EngineRecord& record) {
  const EngineIncarnation* latest = incarnations_.find(record.own_name());
  if (latest != nullptr && latest->id != record.id) remove(EngineId(latest->id));
  incarnations_.set(record.own_name(), {record.id, record.started_unix_ms});
}

void EngineDirectory::upsert(const EngineRecord& record) {
  if (outdated(record)) return;
  record_incarnation(record);
  if (record.draining) notices_.on_draining(record.id);
  const auto [entry, added] = engines_.try_emplace(record.id);
  EngineView& engine = entry->second;
  // Failures of the earlier record do not apply to a changed one.
  if (!(engine.record == record)) engine.backoff_until = {};
  const bool moved = !added && engine.record.service != record.service;
  if (moved) remove_from_service(engine);
  engine.record = record;
  const auto memory = memory_tokens_.find(record.service);
  engine.memory_tokens = memory == memory_tokens_.end() ? 0 : memory->second;
  if (moved) add_to_service(engine);
  // Draining is irrevocable; a record that lacks it is outdated or could not be updated while the
  // store was unavailable.
  engine.record.draining = notices_.draining(record.id);
  engine.cooldown_until = notices_.cooldown_until(record.id);
  engine.next_permit_at = limits_.next_permit(record.id);
  if (!added) return;
  engine.key = engine_key(record.id);
  add_to_indexes(engine);
  notices_.on_engine_count(engines_.size());
  // Nodes learn of an engine at different times, so its notice may have arrived first.
  const auto notice = unlisted_notices_.find(engine.key);
  if (notice != unlisted_notices_.end()) {
    engine.stage_notice = notice->second;
    unlisted_notices_.erase(notice);
  }
  // Other nodes may have reported load for it already.
  for (const auto& [node, peer] : peers_) {
    const auto load = peer.load.find(record.id);
    if (load != peer.load.end()) engine.reported_peer_load += load->second;
  }
  update_peer_load(engine);
}

std::string EngineDirectory::remove(const EngineId& id) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return "";
  std::string address = found->second.record.address;
  remove_from_indexes(found->second);
  engines_.erase(found);
  return address;
}

void EngineDirectory::add_to_indexes(EngineView& engine) {
  by_key_.emplace(engine.key, &engine);
  add_to_service(engine);
}

void EngineDirectory::remove_from_indexes(EngineView& engine) {
  incarnations_.on_removed(engine.record.own_name());
  remove_from_service(engine);
  const auto [first, last] = by_key_.equal_range(engine.key);
  const auto found =
      std::find_if(first, last, [&](const auto& entry) { return entry.second == &engine; });
  if (found != last) by_key_.erase(found);
}

void EngineDirectory::add_to_service(EngineView& engine) {
  std::vector<EngineView*>& engines = by_service_[engine.record.service];
  const auto position = std::lower_bound(engines.begin(), engines.end(), &engine, has_lower_id);
  engines.insert(position, &engine);
}

void EngineDirectory::remove_from_service(EngineView& engine) {
  std::vector<EngineView*>& engines = by_service_[engine.record.service];
  const auto position = std::lower_bound(engines.begin(), engines.end(), &engine, has_lower_id);
  if (position != engines.end() && *position == &engine) engines.erase(position);
  if (engines.empty()) by_service_.erase(engine.record.service);
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

const std::vector<EngineView*>& EngineDirectory::find_by_service(const ServiceName& service) const {
  static const std::vector<EngineView*> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

std::vector<const EngineView*> EngineDirectory::sample(std::size_t count,
                                                       std::uint64_t random) const {
  std::vector<const EngineView*> sampled;
  if (engines_.empty()) return sampled;
  const std::size_t total = engines_.size();
  const std::size_t wanted = std::min(count, total);
  // Evenly spread from a random place.
  const std::size_t step = total <= count ? 1 : total / count;
  std::size_t position = random % total;
  for (std::size_t drawn = 0; drawn < wanted; ++drawn, position = (position + step) % total) {
    std::size_t index = position;
    for (const auto& [service, engines] : by_service_) {
      if (index < engines.size()) {
        sampled.push_back(engines[index]);
        break;
      }
      index -= engines.size();
    }
  }
  return sampled;
}

bool EngineDirectory::on_draining(const EngineId& id) {
  EngineView* engine = find(id);
  if (engine != nullptr) engine->record.draining = true;
  return notices_.on_draining(id);
}

void EngineDirectory::on_cooldown(MonotonicTime now, const EngineId& id, Duration cooldown) {
  const MonotonicTime until = notices_.on_cooldown(now, id, cooldown);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->cooldown_until = until;
}

bool EngineDirectory::on_limit(const EngineId& id, const ObservedLimit& limit) {
  const bool changed = limits_.observe(id, limit);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->next_permit_at = limits_.next_permit(id);
  return changed;
}

void EngineDirectory::on_next_permit(const EngineId& id, MonotonicTime at) {
  limits_.set_next_permit(id, at);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->next_permit_at = limits_.next_permit(id);
}

void EngineDirectory::on_stage_notice(MonotonicTime now, const EngineId& id,
                                      const StageNotice& notice) {
  EngineView* engine = find(id);
  if (engine == nullptr) return keep_unlisted_notice(now, engine_key(id), notice);
  apply_notice(engine->stage_notice, now, notice);
}

void EngineDirectory::on_stage_notice(MonotonicTime now, EngineKey key, const StageNotice& notice) {
  EngineView* engine = find_by_key(key);
  if (engine == nullptr) return keep_unlisted_notice(now, key, notice);
  apply_notice(engine->stage_notice, now, notice);
}

void EngineDirectory::keep_unlisted_notice(MonotonicTime now, EngineKey key,
                                           const StageNotice& notice) {
  std::erase_if(unlisted_notices_,
                [now](const auto& kept) { return kept.second.valid_until <= now; });
  const auto found = unlisted_notices_.find(key);
  std::optional<ReceivedStageNotice> kept;
  if (found != unlisted_notices_.end()) kept = found->second;
  apply_notice(kept, now, notice);
  if (found == unlisted_notices_.end() && unlisted_notices_.size() >= kMaxUnlistedNotices) return;
  if (kept->valid_until > now)
    unlisted_notices_[key] = *kept;
  else
    unlisted_notices_.erase(key);
}

bool EngineDirectory::refusal_announced(MonotonicTime now, const EngineId& id,
                                        EngineStage stage) const {
  const EngineView* engine = find(id);
  // The record may show the new stage by now, while the work was sent under the old one.
  return engine != nullptr && engine->leaves_stage(now, stage);
}

void EngineDirectory::on_samples(MonotonicTime now, const EngineId& id,
                                 const EngineSamples& samples) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  EngineProfile& service = service_profiles_[engine->record.service];
  service.observe(now, samples);
  engine->profile.observe(now, samples);
  engine->profile.compare_with(now, service);
}

std::optional<MonotonicTime> EngineDirectory::next_available_at(
    MonotonicTime now, const ServiceName& service, const std::vector<EngineId>* except,
    const std::string* stream_version) const {
  std::optional<MonotonicTime> first;
  for (const EngineView* engine : find_by_service(service)) {
    const EngineRecord& record = engine->record;
    const bool answers = record.stage != EngineStage::kPrefill;
    if (!answers || record.draining || listed(except, record.id)) continue;
    if (stream_version != nullptr && !record.has_stream_version(*stream_version)) continue;
    const MonotonicTime available_at =
        std::max(engine->cooldown_until, now + engine->permit_wait(now));
    if (available_at <= now) return std::nullopt;
    if (!first || available_at < *first) first = available_at;
  }
  return first;
}

}  // namespace shuntbank::relay
