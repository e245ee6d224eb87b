#include "core/relay/service_versions.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

/// After a gap this long the process counts as stalled: versions may have come and gone.
constexpr Duration kMaxObservationGap = std::chrono::seconds(3);

}  // namespace

void ServiceVersions::set_engines(const EngineDirectory& engines) {
  this->listed.clear();
  for (const auto& [id, engine] : engines.all()) {
    this->listed[engine.record.service].insert(engine.record.stream_version());
  }
}

bool ServiceVersions::on_listed(MonotonicTime now, const ServiceName& service,
                                const std::string& version) {
  const auto [entry, added] = this->last_seen[service].try_emplace(version, now);
  entry->second = now;
  return added;
}

void ServiceVersions::observe(MonotonicTime now) {
  const bool first = !this->observed_since.has_value();
  if (!first && now - this->observed_at > kMaxObservationGap) {
    this->no_earlier_streams = false;
    this->observed_since = now;
  }
  if (first) this->observed_since = now;
  this->observed_at = now;
  for (const auto& [service, versions] : this->listed) {
    for (const std::string& version : versions) this->last_seen[service][version] = now;
  }
  for (auto& [service, versions] : this->last_seen) {
    std::erase_if(versions,
                  [&](const auto& entry) { return now - entry.second > kStreamRetention; });
  }
}

RecentVersions ServiceVersions::recent(MonotonicTime now, const ServiceName& service) const {
  RecentVersions recent;
  const auto found = this->last_seen.find(service);
  if (found == this->last_seen.end() || !this->observed_since) return recent;
  for (const auto& [version, seen_at] : found->second) recent.versions.insert(version);
  recent.complete = this->complete(now);
  return recent;
}

bool ServiceVersions::complete(MonotonicTime now) const {
  if (!this->observed_since || now - this->observed_at > kMaxObservationGap) return false;
  return this->no_earlier_streams || now - *this->observed_since >= this->max_stream_age;
}

std::optional<std::vector<VersionSighting>> ServiceVersions::sightings(MonotonicTime now) const {
  if (!this->complete(now)) return std::nullopt;
  std::vector<VersionSighting> seen;
  for (const auto& [service, versions] : this->last_seen) {
    for (const auto& [version, seen_at] : versions) {
      seen.push_back({service, version, static_cast<std::uint32_t>(whole_ms(now - seen_at))});
    }
  }
  return seen;
}

std::map<ServiceName, std::set<std::string>> ServiceVersions::all_recent() const {
  std::map<ServiceName, std::set<std::string>> recent;
  for (const auto& [service, versions] : this->last_seen) {
    for (const auto& [version, seen_at] : versions) recent[service].insert(version);
  }
  return recent;
}

void ServiceVersions::adopt(MonotonicTime now, const std::vector<VersionSighting>& sightings) {
  if (!this->observed_since || now - this->observed_at > kMaxObservationGap) {
    this->observed_since = now;
    this->observed_at = now;
  }
  this->no_earlier_streams = true;
  for (const VersionSighting& sighting : sightings) {
    MonotonicTime& seen_at = this->last_seen[sighting.service][sighting.version];
    seen_at = std::max(seen_at, now - std::chrono::milliseconds(sighting.age_ms));
  }
}

std::optional<std::string> sole_version(const RecentVersions& merged) {
  if (!merged.complete || merged.versions.size() != 1) return std::nullopt;
  return *merged.versions.begin();
}

void merge(RecentVersions& merged, const RecentVersions& added) {
  merged.versions.insert(added.versions.begin(), added.versions.end());
  merged.complete = merged.complete || added.complete;
}

}  // namespace shuntbank::relay
