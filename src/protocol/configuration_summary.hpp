/// @file
/// Hashes of a configuration, by which nodes send each other only the routes that differ.
#pragma once

#include <array>
#include <cstdint>

#include "core/relay/routes.hpp"

namespace shuntbank {

/// Groups that routes are hashed into. More of them make deltas, which consist of whole groups,
/// smaller and summaries larger. With 1,450 routes, a change of one sends the 23 routes of its
/// group: about 5 KB instead of 230 KB, with a summary of 0.6 KB.
constexpr std::size_t kRouteGroups = 64;

/// Hashes of a configuration's content.
struct ConfigurationSummary {
  std::uint64_t revision = 0;                              ///< In the store; 0: unknown.
  std::array<std::uint64_t, kRouteGroups> group_hashes{};  ///< Over the routes of each group.
  std::uint64_t tenants_hash = 0;  ///< Over all tenants and their key hashes.

  bool operator==(const ConfigurationSummary&) const = default;

  /// @return whether routes and tenants are the same, regardless of the revisions.
  bool same_content(const ConfigurationSummary& other) const {
    return this->group_hashes == other.group_hashes && this->tenants_hash == other.tenants_hash;
  }
};

/// @return the group of a route, which depends only on its host and path.
std::size_t group_of(const relay::Route& route);

/// @return the summary of a configuration that the store holds at `revision`.
ConfigurationSummary summarize(const relay::RouteConfiguration& configuration,
                               std::uint64_t revision);

}  // namespace shuntbank
