#include "core/routing/engine_table.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>

namespace shuntbank {
namespace {

constexpr std::array<const char*, 4> kAvailabilityNames{"serving", "draining", "changing", "down"};
constexpr Duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxBackoffDoublings = 5;

}  // namespace

const char* to_text(Availability availability) {
  return kAvailabilityNames.at(static_cast<std::size_t>(availability));
}

std::optional<Availability> parse_availability(const std::string& text) {
  for (std::size_t i = 0; i < kAvailabilityNames.size(); ++i) {
    if (text == kAvailabilityNames.at(i)) return static_cast<Availability>(i);
  }
  return std::nullopt;
}

bool is_newer(const EngineFact& candidate, const EngineFact& known) {
  return std::tie(candidate.stamp, candidate.change) > std::tie(known.stamp, known.change);
}

void EngineTable::upsert(const EngineId& engine, const ZoneName& zone) {
  entries_[engine].zone = zone;
}

void EngineTable::retain(const std::vector<EngineId>& kept) {
  const std::unordered_set<EngineId> wanted(kept.begin(), kept.end());
  std::erase_if(entries_, [&wanted](const auto& entry) { return !wanted.contains(entry.first); });
}

EngineEntry* EngineTable::find(const EngineId& engine) {
  const auto found = entries_.find(engine);
  return found == entries_.end() ? nullptr : &found->second;
}

const EngineEntry* EngineTable::find(const EngineId& engine) const {
  const auto found = entries_.find(engine);
  return found == entries_.end() ? nullptr : &found->second;
}

void EngineTable::apply(const EngineFact& fact) {
  EngineEntry* entry = find(fact.engine);
  if (entry == nullptr) return;
  // A changed role empties the engine's cache.
  if (entry->role != fact.role) entry->cached_prefixes.clear();
  entry->role = fact.role;
  entry->availability = fact.availability;
}

void EngineTable::on_report(MonotonicTime now, const EngineId& engine, const LoadReport& report) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  const std::uint32_t total = report.running + report.waiting;
  entry->others_running = total - std::min(total, entry->in_flight);
  entry->others_prefill =
      report.waiting_tokens - std::min(report.waiting_tokens, entry->in_flight_prefill);
  entry->reported_at = now;
}

void EngineTable::on_failure(MonotonicTime now, const EngineId& engine) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  const std::uint32_t doublings = std::min(entry->failures, kMaxBackoffDoublings);
  entry->down_until = now + kFirstBackoff * (1 << doublings);
  ++entry->failures;
}

void EngineTable::on_success(const EngineId& engine) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  entry->failures = 0;
  entry->down_until.reset();
}

void EngineTable::set_leaving(const EngineId& engine, bool leaving) {
  EngineEntry* entry = find(engine);
  if (entry != nullptr) entry->machine_leaving = leaving;
}

bool EngineTable::is_eligible(MonotonicTime now, const EngineEntry& entry) const {
  if (entry.availability != Availability::kServing || entry.machine_leaving) return false;
  return !entry.down_until || now >= *entry.down_until;
}

}  // namespace shuntbank
