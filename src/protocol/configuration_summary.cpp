#include "protocol/configuration_summary.hpp"

#include <bit>
#include <string>
#include <string_view>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

/// Hashes a sequence of fields, serialized without ambiguity.
class FieldHasher {
 public:
  void add(std::string_view text) {
    add(text.size());
    bytes_ += text;
  }
  void add(std::uint64_t number) {
    bytes_.append(reinterpret_cast<const char*>(&number), sizeof(number));
  }
  void add(double number) { add(std::bit_cast<std::uint64_t>(number)); }
  void add(Duration duration) { add(static_cast<std::uint64_t>(duration.count())); }

  std::uint64_t hash() const { return hash64(bytes_); }

 private:
  std::string bytes_;
};

std::uint64_t hash_of(const relay::Route& route) {
  FieldHasher fields;
  fields.add(route.name);
  fields.add(route.host);
  fields.add(route.path_prefix);
  fields.add(static_cast<std::uint64_t>(route.kind));
  fields.add(route.split.size());
  for (const relay::SplitPart& part : route.split) {
    fields.add(part.service.value());
    fields.add(part.weight);
  }
  fields.add(std::uint64_t{route.max_attempts});
  fields.add(route.timeout);
  fields.add(route.objective);
  fields.add(route.gap_target);
  fields.add(static_cast<std::uint64_t>(route.priority));
  fields.add(std::uint64_t{route.affinity});
  fields.add(std::uint64_t{route.resumable});
  fields.add(std::uint64_t{route.allows_anonymous});
  return fields.hash();
}

std::uint64_t hash_of(const relay::DeclaredTenant& tenant) {
  FieldHasher fields;
  fields.add(tenant.name.value());
  fields.add(std::uint64_t{tenant.priority.has_value()});
  fields.add(static_cast<std::uint64_t>(tenant.priority.value_or(0)));
  fields.add(tenant.keys.size());
  for (const TenantKey& key : tenant.keys) {
    fields.add(key.sha256);
    fields.add(std::uint64_t{key.expires_at.has_value()});
    fields.add(static_cast<std::uint64_t>(key.expires_at.value_or(0)));
  }
  // Earlier versions have the same hash if there is no quota.
  if (tenant.quota) {
    fields.add(tenant.quota->per_second);
    fields.add(tenant.quota->burst);
    fields.add(std::uint64_t{tenant.quota->counts_tokens});
    fields.add(tenant.quota->default_tokens);
  }
  return fields.hash();
}

}  // namespace

std::size_t group_of(const relay::Route& route) {
  return hash64(route.path_prefix, hash64(route.host)) % kRouteGroups;
}

ConfigurationSummary summarize(const relay::RouteConfiguration& configuration,
                               std::uint64_t revision) {
  ConfigurationSummary summary;
  summary.revision = revision;
  // Sums are independent of the order, which has no meaning in a configuration.
  for (const relay::Route& route : configuration.routes) {
    summary.group_hashes[group_of(route)] += hash_of(route);
  }
  if (!configuration.tenants) return summary;
  summary.tenants_hash = 1;  // Distinguishes an empty list of tenants from none.
  for (const relay::DeclaredTenant& tenant : *configuration.tenants) {
    summary.tenants_hash += hash_of(tenant);
  }
  return summary;
}

}  // namespace shuntbank
