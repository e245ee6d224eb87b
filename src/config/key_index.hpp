/// @file
/// Finds the tenant that a presented key belongs to. Holds hashes of keys only.
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
  /// Adds a key. One that is already held, by this or another tenant, belongs to nobody from then
  /// on: it cannot be told whose requests it marks.
  /// @return whether it was new.
  bool add(const TenantName& tenant, const TenantKey& key);

  /// Finds the owner of a presented key. Hashes are compared in constant time.
  /// @param unix_seconds the wall clock, for keys that expire.
  /// @return the tenant, or null.
  const TenantName* find(std::string_view presented, std::int64_t unix_seconds) const;

 private:
  struct Entry {
    TenantName tenant;
    TenantKey key;
    bool ambiguous = false;
  };

  std::unordered_multimap<std::string, Entry> keys_;  ///< By the first digits of the hash.
};

}  // namespace shuntbank
