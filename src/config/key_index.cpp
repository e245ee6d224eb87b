#include "config/key_index.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

/// Leading hash digits that select a bucket: enough to keep buckets small, few enough that lookup
/// time reveals little of a hash.
constexpr std::size_t kBucketDigits = 8;

std::string bucket_of(const std::string& sha256) {
  return sha256.substr(0, kBucketDigits);
}

}  // namespace

bool KeyIndex::add(const TenantName& tenant, const TenantKey& key) {
  const std::string bucket = bucket_of(key.sha256);
  const auto [first, last] = keys_.equal_range(bucket);
  const auto existing = std::find_if(
      first, last, [&key](const auto& entry) { return entry.second.key.sha256 == key.sha256; });
  if (existing != last) {
    existing->second.ambiguous = true;
    return false;
  }
  keys_.emplace(bucket, Entry{tenant, key});
  return true;
}

const TenantName* KeyIndex::find(std::string_view presented, std::int64_t unix_seconds) const {
  const std::string hash = sha256_hex(presented);
  const auto [first, last] = keys_.equal_range(bucket_of(hash));
  const TenantName* owner = nullptr;
  for (auto it = first; it != last; ++it) {
    const Entry& candidate = it->second;
    if (!equal_in_constant_time(candidate.key.sha256, hash) || candidate.ambiguous) continue;
    if (candidate.key.expires_at && *candidate.key.expires_at <= unix_seconds) continue;
    owner = &candidate.tenant;
  }
  return owner;
}

}  // namespace shuntbank
