#include "core/routing/engine_table.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>

namespace shuntbank {
namespace {

constexpr std::array<const char*, 4> kAvailabilityNames{"serving", "draining", "changing", "down"};
constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
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
  return std::tie(candidate.stamp, candidate.version) > std::tie(known.stamp, known.version);
}

void EngineTable::upsert(const EngineId& engine, const ZoneName& zone) {
  entries_[engine].zone = zone;
}

void EngineTable::retain(const std::vector<EngineId>& engines) {
  const std::unordered_set<EngineId> retained(engines.begin(), engines.end());
  std::erase_if(entries_,
                [&retained](const auto& entry) { return !retained.contains(entry.first); });
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
  // A role change clears the engine's cache.
  if (entry->role != fact.role) entry->cached_prefixes.clear();
  entry->role = fact.role;
  entry->availability = fact.availability;
}

void EngineTable::on_load_report(MonotonicTime now, const EngineId& engine,
                                 const LoadReport& report) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  const std::uint32_t total = report.running + report.waiting;
  entry->peer_requests = total - std::min(total, entry->in_flight);
  entry->peer_prefill_tokens =
      report.waiting_tokens - std::min(report.waiting_tokens, entry->in_flight_prefill_tokens);
  entry->reported_at = now;
}

void EngineTable::on_failure(MonotonicTime now, const EngineId& engine) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  const std::uint32_t doublings = std::min(entry->consecutive_failures, kMaxBackoffDoublings);
  entry->backoff_until = now + kInitialBackoff * (1 << doublings);
  ++entry->consecutive_failures;
}

void EngineTable::on_success(const EngineId& engine) {
  EngineEntry* entry = find(engine);
  if (entry == nullptr) return;
  entry->consecutive_failures = 0;
  entry->backoff_until.reset();
}

void EngineTable::set_machine_draining(const EngineId& engine, bool draining) {
  EngineEntry* entry = find(engine);
  if (entry != nullptr) entry->machine_draining = draining;
}

bool EngineTable::is_eligible(MonotonicTime now, const EngineEntry& entry) const {
  if (entry.availability != Availability::kServing || entry.machine_draining) return false;
  return !entry.backoff_until || now >= *entry.backoff_until;
}

}  // namespace shuntbank
