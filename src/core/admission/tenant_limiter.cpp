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

Duration time_until(double missing, double rate) {
  return rate <= 0 ? std::chrono::minutes(1) : from_seconds(missing / rate);
}

}  // namespace

void TenantLimiter::refill(MonotonicTime now, Account& account, const TenantLimits& limits) const {
  const double request_rate = rate_per_second(limits.requests_per_minute, share_);
  const double token_rate = rate_per_second(static_cast<double>(limits.tokens_per_minute), share_);
  const double request_bucket = bucket_size(request_rate, 1.0);
  const double token_bucket = bucket_size(token_rate, 0.0);
  if (!account.initialized) {
    // What was admitted before a restart is unknown, so a bucket fills from the start of the
    // process. It starts with credit for one request, so that a new node does not refuse the first
    // one.
    account.initialized = true;
    account.refilled_at = started_;
    account.requests = 1;
    account.tokens = 1;
  }
  const double elapsed = to_seconds(now - account.refilled_at);
  account.refilled_at = now;
  account.requests = std::min(request_bucket, account.requests + elapsed * request_rate);
  account.tokens = std::min(token_bucket, account.tokens + elapsed * token_rate);
}

std::optional<LimitRefusal> TenantLimiter::admit(MonotonicTime now, const TenantName& tenant,
                                                 const TenantLimits& limits,
                                                 double estimated_tokens) {
  Account& account = accounts_[tenant];
  refill(now, account, limits);
  if (limits.concurrent_requests > 0) {
    const double max_in_flight = std::ceil(limits.concurrent_requests * share_);
    if (account.in_flight >= max_in_flight) {
      return LimitRefusal{LimitKind::kConcurrency, kConcurrencyRetry};
    }
  }
  if (limits.requests_per_minute > 0 && account.requests < 1.0) {
    const double rate = rate_per_second(limits.requests_per_minute, share_);
    return LimitRefusal{LimitKind::kRequestRate, time_until(1.0 - account.requests, rate)};
  }
  // One request may overdraw the bucket, as its actual cost is unknown; refills repay it.
  if (limits.tokens_per_minute > 0 && account.tokens <= 0) {
    const double rate = rate_per_second(static_cast<double>(limits.tokens_per_minute), share_);
    return LimitRefusal{LimitKind::kTokenRate, time_until(1.0 - account.tokens, rate)};
  }
  if (limits.requests_per_minute > 0) account.requests -= 1.0;
  if (limits.tokens_per_minute > 0) account.tokens -= estimated_tokens;
  ++account.in_flight;
  return std::nullopt;
}

void TenantLimiter::finish(const TenantName& tenant, double estimated_tokens,
                           double actual_tokens) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  if (account.in_flight > 0) --account.in_flight;
  account.tokens += estimated_tokens - actual_tokens;
}

}  // namespace shuntbank
