#include "core/relay/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Weight of an output token in prompt tokens: prompt tokens are processed together, output tokens
/// one after another.
constexpr std::uint64_t kOutputWeight = 10;

/// Bound on one entry of a report, beyond what a fleet of hundreds of engines serves between two.
constexpr std::uint64_t kMaxServed = 1'000'000'000;

/// Counters are halved in this time: a tenant's burst counts for some waves of demand, and one
/// prompt of 50,000 tokens does not put a tenant behind for minutes.
constexpr Duration kHalfLife = std::chrono::seconds(10);

/// A tenant without a known request for this long is not active. A node sees a request of a small
/// tenant every ten seconds, and other nodes report only what is served: with a shorter time, a
/// tenant that gets nothing is lifted with each of its requests, as if it had got its share.
constexpr Duration kActiveFor = std::chrono::seconds(30);

/// Interval at which counters decay and the equal share is computed anew, which takes a pass over
/// all tenants.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

/// The share of the usable wait of a tenant just above its share. The rest is left to tenants below
/// theirs, whose requests may be larger and so must wait less to be in time.
constexpr double kMaxWaitShareAbove = 0.8;

/// A tenant far above its share keeps this share of the usable wait, so that it does not starve.
constexpr double kMinWaitShare = 0.1;

}  // namespace

void add_served(ServedByTenant& sum, const ServedByTenant& more) {
  for (const auto& [tenant, tokens] : more) {
    std::uint64_t& counter = sum[tenant];
    counter = std::min(kMaxServed, counter + std::min(kMaxServed, tokens));
  }
}

std::uint64_t weighted_tokens(std::uint64_t prompt_tokens, std::uint64_t output_tokens) {
  return std::min(kMaxServed, prompt_tokens) + kOutputWeight * std::min(kMaxServed, output_tokens);
}

ServedByTenant ServedReport::take(MonotonicTime now) {
  if (now - this->last_taken_at < this->interval) return {};
  this->last_taken_at = now;
  if (this->pending.size() <= this->max_tenants) return std::exchange(this->pending, {});
  std::vector<ServedByTenant::iterator> largest;
  for (auto it = this->pending.begin(); it != this->pending.end(); ++it) largest.push_back(it);
  std::partial_sort(
      largest.begin(), largest.begin() + static_cast<std::ptrdiff_t>(this->max_tenants),
      largest.end(),
      [](const auto& left, const auto& right) { return left->second > right->second; });
  largest.resize(this->max_tenants);
  ServedByTenant taken;
  for (const auto& it : largest) taken.insert(this->pending.extract(it));
  return taken;
}

void FairShares::declare(const std::vector<TenantName>& tenants) {
  std::map<TenantName, Counter> declared;
  for (const TenantName& tenant : tenants) {
    const auto known = this->counters.find(tenant);
    declared[tenant] = known == this->counters.end() ? Counter{} : known->second;
  }
  this->counters = std::move(declared);
}

/// All counters decay by the same factor, which keeps their order.
void FairShares::refresh(MonotonicTime now) {
  if (now - this->refreshed_at < kRefreshInterval) return;
  this->refreshed_at = now;
  const double factor = std::exp2(-to_seconds(now - this->decayed_at) / to_seconds(kHalfLife));
  this->decayed_at = now;
  double sum = 0;
  std::size_t active = 0;
  for (auto& [tenant, counter] : this->counters) {
    counter.tokens *= factor;
    if (counter.active_until < now) continue;
    sum += counter.tokens;
    ++active;
  }
  this->equal_share = active == 0 ? 0 : sum / static_cast<double>(active);
}

void FairShares::activate(MonotonicTime now, Counter& counter) {
  if (counter.active_until < now) {
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [tenant, other] : this->counters) {
      if (other.active_until >= now) lowest = std::min(lowest, other.tokens);
    }
    if (std::isfinite(lowest)) counter.tokens = std::max(counter.tokens, lowest);
  }
  counter.active_until = now + kActiveFor;
}

void FairShares::on_request(MonotonicTime now, const TenantName& tenant) {
  const auto found = this->counters.find(tenant);
  if (found == this->counters.end()) return;
  this->refresh(now);
  this->activate(now, found->second);
}

void FairShares::count(MonotonicTime now, const TenantName& tenant, std::uint64_t tokens) {
  const auto found = this->counters.find(tenant);
  if (found == this->counters.end()) return;
  this->refresh(now);
  this->activate(now, found->second);
  found->second.tokens += static_cast<double>(std::min(tokens, kMaxServed));
}

void FairShares::on_served(MonotonicTime now, const TenantName& tenant, std::uint64_t tokens) {
  if (!this->enabled() || this->counters.count(tenant) == 0) return;
  this->count(now, tenant, tokens);
  this->report.add({{tenant, tokens}});
}

void FairShares::on_peer_served(MonotonicTime now, const ServedByTenant& served) {
  for (const auto& [tenant, tokens] : served) this->count(now, tenant, tokens);
}

double FairShares::share_ratio(MonotonicTime now, const TenantName& tenant) {
  const auto found = this->counters.find(tenant);
  if (!this->enabled() || found == this->counters.end()) return 1;
  this->refresh(now);
  return this->equal_share > 0 ? found->second.tokens / this->equal_share : 1;
}

double FairShares::wait_share(MonotonicTime now, const TenantName& tenant) {
  const double ratio = this->share_ratio(now, tenant);
  return ratio <= 1 ? 1 : std::max(kMinWaitShare, kMaxWaitShareAbove / std::sqrt(ratio));
}

}  // namespace shuntbank::relay
