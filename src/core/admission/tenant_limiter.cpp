#include "core/admission/tenant_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank {
namespace {

constexpr double kSecondsPerMinute = 60.0;

/// Bucket size in seconds of refill; bounds a burst.
constexpr double kBurstSeconds = 10.0;

constexpr Duration kConcurrencyRetry = std::chrono::seconds(1);

double rate_per_second(double per_minute, double share) {
  return per_minute * share / kSecondsPerMinute;
}

/// @param min_size keeps a bucket usable however small the share of the limit.
double bucket_size(double rate, double min_size) {
  return std::max(rate * kBurstSeconds, min_size);
}

Duration refill_time(double missing, double rate) {
  return rate <= 0 ? std::chrono::minutes(1) : from_seconds(missing / rate);
}

}  // namespace

void TenantLimiter::refill(MonotonicTime now, TenantBuckets& buckets,
                           const TenantLimits& limits) const {
  const double request_rate = rate_per_second(limits.requests_per_minute, share_);
  const double token_rate = rate_per_second(static_cast<double>(limits.tokens_per_minute), share_);
  const double request_bucket = bucket_size(request_rate, 1.0);
  const double token_bucket = bucket_size(token_rate, 0.0);
  if (!buckets.initialized) {
    // What was admitted before a restart is unknown, so a bucket fills from the start of the
    // process. It starts with credit for one request, so that a new node does not refuse the first
    // one.
    buckets.initialized = true;
    buckets.refilled_at = started_;
    buckets.requests = 1;
    buckets.llm_tokens = 1;
  }
  const double elapsed = to_seconds(now - buckets.refilled_at);
  buckets.refilled_at = now;
  buckets.requests = std::min(request_bucket, buckets.requests + elapsed * request_rate);
  buckets.llm_tokens = std::min(token_bucket, buckets.llm_tokens + elapsed * token_rate);
}

std::optional<LimitRefusal> TenantLimiter::admit(MonotonicTime now, const TenantName& tenant,
                                                 const TenantLimits& limits,
                                                 double estimated_tokens) {
  TenantBuckets& buckets = buckets_[tenant];
  refill(now, buckets, limits);
  if (limits.concurrent_requests > 0) {
    const double max_in_flight = std::ceil(limits.concurrent_requests * share_);
    if (buckets.in_flight >= max_in_flight) {
      return LimitRefusal{LimitKind::kConcurrency, kConcurrencyRetry};
    }
  }
  if (limits.requests_per_minute > 0 && buckets.requests < 1.0) {
    const double rate = rate_per_second(limits.requests_per_minute, share_);
    return LimitRefusal{LimitKind::kRequestRate, refill_time(1.0 - buckets.requests, rate)};
  }
  // One request may overdraw the bucket, as its actual cost is unknown; refills repay it.
  if (limits.tokens_per_minute > 0 && buckets.llm_tokens <= 0) {
    const double rate = rate_per_second(static_cast<double>(limits.tokens_per_minute), share_);
    return LimitRefusal{LimitKind::kTokenRate, refill_time(1.0 - buckets.llm_tokens, rate)};
  }
  if (limits.requests_per_minute > 0) buckets.requests -= 1.0;
  if (limits.tokens_per_minute > 0) buckets.llm_tokens -= estimated_tokens;
  ++buckets.in_flight;
  return std::nullopt;
}

void TenantLimiter::finish(const TenantName& tenant, double estimated_tokens,
                           double actual_tokens) {
  const auto found = buckets_.find(tenant);
  if (found == buckets_.end()) return;
  TenantBuckets& buckets = found->second;
  if (buckets.in_flight > 0) --buckets.in_flight;
  buckets.llm_tokens += estimated_tokens - actual_tokens;
}

}  // namespace shuntbank
