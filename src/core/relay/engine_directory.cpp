#include "core/relay/engine_directory.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace shuntbank::relay {
namespace {

/// Engine names whose latest incarnation is remembered, so that late updates do not restore an
/// earlier one: ten times the size of a large fleet.
constexpr std::size_t kMostNames = 8192;

}  // namespace

EngineId start_id(const std::string& name, std::uint64_t started_unix_ms) {
  if (started_unix_ms == 0) return EngineId(name);
  constexpr int kShortest = 36;
  char digits[16];
  const auto written =
      std::to_chars(std::begin(digits), std::end(digits), started_unix_ms, kShortest);
  return EngineId(name + "." + std::string(std::begin(digits), written.ptr));
}

bool listed(const std::vector<EngineId>* engines, const EngineId& id) {
  return engines != nullptr && std::find(engines->begin(), engines->end(), id) != engines->end();
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

/// Names of engines that are still present are kept, as they are looked up by name.
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
  // Failures of the earlier record do not apply to a changed one.
  if (!(engine.record == record)) engine.avoided_until = {};
  engine.record = record;
  // Draining is irrevocable; a record that lacks it is outdated or could not be updated while the
  // store was unavailable.
  engine.record.draining = notices_.leaving(record.id);
  engine.rests_until = notices_.rests_until(record.id);
  engine.next_permit_at = limits_.next(record.id);
  if (!added) return;
  engine.key = engine_key(record.id);
  by_key_.emplace(engine.key, &engine);
  // Other nodes may have reported load for it already.
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

bool EngineDirectory::on_limit(const EngineId& id, const HeardLimit& heard) {
  const bool changed = limits_.hear(id, heard);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->next_permit_at = limits_.next(id);
  return changed;
}

void EngineDirectory::on_next_permit(const EngineId& id, MonotonicTime at) {
  limits_.set_next(id, at);
  EngineView* engine = find(id);
  if (engine != nullptr) engine->next_permit_at = limits_.next(id);
}

std::optional<MonotonicTime> EngineDirectory::first_return(
    MonotonicTime now, const ServiceName& service, const std::vector<EngineId>* except) const {
  std::optional<MonotonicTime> first;
  for (const auto& [id, engine] : engines_) {
    const EngineRecord& record = engine.record;
    const bool answers = record.stage != EngineStage::kPrefill;
    if (record.service != service || !answers || record.draining) continue;
    if (listed(except, id)) continue;
    const MonotonicTime back = std::max(engine.rests_until, now + engine.permit_wait(now));
    if (back <= now) return std::nullopt;
    if (!first || back < *first) first = back;
  }
  return first;
}

}  // namespace shuntbank::relay
