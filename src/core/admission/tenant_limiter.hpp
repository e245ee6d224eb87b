/// @file
/// Per-node enforcement of tenant limits: token buckets for rates and a count of requests in
/// flight. Each node enforces a share of the limit; all shares add up to the limit.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// Which limit refused a request.
enum class LimitKind { kRequestRate, kTokenRate, kConcurrency };

/// A refusal and the delay before a retry.
struct LimitRefusal {
  LimitKind kind = LimitKind::kRequestRate;
  Duration retry_after{0};
};

/// Limits of all tenants on this node.
class TenantLimiter {
 public:
  /// @param started when the process began to admit requests.
  explicit TenantLimiter(MonotonicTime started) : started_(started) {}

  /// Sets the fraction of each limit that this node enforces, such as 1 / node count.
  void set_share(double share) { share_ = share; }

  /// Admits a request unless a limit is reached, and counts it.
  /// @param estimated_tokens tokens that the request is expected to use.
  /// @return nothing when admitted, else the refusal.
  std::optional<LimitRefusal> admit(MonotonicTime now, const TenantName& tenant,
                                    const TenantLimits& limits, double estimated_tokens);

  /// Ends an admitted request and charges the token bucket the difference between the actual and
  /// the estimated tokens.
  void finish(const TenantName& tenant, double estimated_tokens, double actual_tokens);

 private:
  struct TenantBuckets {
    double requests = 0;
    double llm_tokens = 0;
    std::uint32_t in_flight = 0;
    MonotonicTime refilled_at{};
    bool initialized = false;
  };

  void refill(MonotonicTime now, TenantBuckets& buckets, const TenantLimits& limits) const;

  MonotonicTime started_;
  double share_ = 1.0;
  std::unordered_map<TenantName, TenantBuckets> buckets_;
};

}  // namespace shuntbank
