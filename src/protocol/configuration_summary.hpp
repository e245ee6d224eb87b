/// @file
/// A short summary of a configuration, by which two nodes find out what one of them lacks: they
/// hand each other the routes that differ instead of all.
#pragma once

#include <array>
#include <cstdint>

#include "core/relay/routes.hpp"

namespace shuntbank {

/// Groups that routes are hashed into. A change of one route of 1,450 is told by the 23 routes of
/// its group, 5 KB in place of 232; the summary itself takes 0.6 KB.
constexpr std::size_t kRouteGroups = 64;

/// What a configuration holds, by hashes.
struct ConfigurationSummary {
  std::uint64_t revision = 0;  ///< At which the store holds it; 0: none is known.
  std::array<std::uint64_t, kRouteGroups> group_hashes{};  ///< Over the routes of each group.
  std::uint64_t tenants_hash = 0;  ///< Over all tenants with their keys' hashes.

  bool operator==(const ConfigurationSummary&) const = default;

  /// @return whether both summarize the same routes and tenants, whatever their revisions.
  bool same_content(const ConfigurationSummary& other) const {
    return this->group_hashes == other.group_hashes && this->tenants_hash == other.tenants_hash;
  }
};

/// @return the group of a route. Depends on its host and path alone.
std::size_t group_of(const relay::Route& route);

/// @return the summary of a configuration that the store holds at `revision`.
ConfigurationSummary summarize(const relay::RouteConfiguration& configuration,
                               std::uint64_t revision);

}  // namespace shuntbank
