/// @file
/// Maps tenant keys to tenants. Stores hashes of keys only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// The keys of all tenants of one configuration.
class KeyIndex {
 public:
  /// Adds a key. A key that is added twice, for the same tenant or another, becomes ambiguous and
  /// authenticates nobody.
  /// @return whether the key was new.
  bool add(const TenantName& tenant, const TenantKey& key);

  /// Finds the owner of a presented key. Hashes are compared in constant time.
  /// @param unix_seconds the current time, for expiry.
  /// @return the tenant, or null.
  const TenantName* find(std::string_view presented, std::int64_t unix_seconds) const;

 private:
  struct Entry {
    TenantName tenant;
    TenantKey key;
    bool ambiguous = false;
  };

  std::unordered_multimap<std::string, Entry> keys_;  ///< By the leading digits of the hash.
};

}  // namespace shuntbank
