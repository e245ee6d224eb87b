#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

void add(TenantCounts& sum, const TenantCounts& more) {
  for (const auto& [tenant, count] : more) sum[tenant] += count;
}

std::uint64_t total(const TenantCounts& counts) {
  std::uint64_t sum = 0;
  for (const auto& [tenant, count] : counts) sum += count;
  return sum;
}

}  // namespace shuntbank::usage
