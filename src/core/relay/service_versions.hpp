/// @file
/// Which software versions of a service this node has seen lately.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/stream_table.hpp"

namespace shuntbank::relay {

/// Versions of a service that may have begun a stream which can still be taken up.
struct RecentVersions {
  std::set<std::string> versions;
  /// The service was observed for as long as such a stream may be old.
  bool complete = false;

  bool operator==(const RecentVersions&) const = default;
};

/// A version of a service that was seen some time ago.
struct VersionSighting {
  ServiceName service;
  std::string version;
  std::uint32_t age_ms = 0;

  bool operator==(const VersionSighting&) const = default;
};

/// Observes the versions in the list of engines.
class ServiceVersions {
 public:
  /// @param bootstrap whether the whole system starts, so that there are no earlier streams.
  explicit ServiceVersions(bool bootstrap) : no_earlier_streams(bootstrap) {}

  /// Sets how old a stream may be that a caller takes up.
  void set_max_stream_age(Duration age) { this->max_stream_age = age; }

  /// The list of engines has changed.
  void set_engines(const EngineDirectory& engines);

  /// An engine of a version was listed. @return whether that version was not seen lately.
  bool on_listed(MonotonicTime now, const ServiceName& service, const std::string& version);

  /// Call about once a second while the list of engines is known.
  void observe(MonotonicTime now);

  RecentVersions recent(MonotonicTime now, const ServiceName& service) const;

  /// @return all that were seen lately; unset unless the observation is complete.
  std::optional<std::vector<VersionSighting>> sightings(MonotonicTime now) const;

  /// @return all that were seen lately, whether or not the observation is complete.
  std::map<ServiceName, std::set<std::string>> all_recent() const;

  /// Adds a complete observation that lasted until now, by another node or by this node's previous
  /// run.
  void adopt(MonotonicTime now, const std::vector<VersionSighting>& sightings);

 private:
  bool complete(MonotonicTime now) const;

  Duration max_stream_age = kStreamRetention;
  bool no_earlier_streams;
  std::optional<MonotonicTime> observed_since;
  MonotonicTime observed_at{};
  std::map<ServiceName, std::set<std::string>> listed;
  std::map<ServiceName, std::map<std::string, MonotonicTime>> last_seen;
};

/// @return the only version in several observations, if at least one of them is complete.
std::optional<std::string> sole_version(const RecentVersions& merged);

/// Adds another node's observation.
void merge(RecentVersions& merged, const RecentVersions& added);

}  // namespace shuntbank::relay
