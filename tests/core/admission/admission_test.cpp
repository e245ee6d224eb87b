#include <map>

#include "core/admission/fair_queue.hpp"
#include "core/admission/tenant_limiter.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

/// Start of a process that has long been running when the test begins.
constexpr MonotonicTime kLongAgo = MonotonicTime{} - 1h;

QueueItem item(std::uint64_t id, const std::string& tenant, double weight, double cost,
               std::int32_t priority = 0) {
  QueueItem item;
  item.id = id;
  item.tenant = TenantName(tenant);
  item.weight = weight;
  item.cost = cost;
  item.priority = priority;
  item.deadline = MonotonicTime{} + 1h;
  return item;
}

}  // namespace

Test(fair_queue, shares_tokens_by_weight_however_many_requests_wait) {
  FairQueue queue(100'000);
  std::uint64_t id = 0;
  for (int i = 0; i < 4000; ++i) queue.push(item(++id, "noisy", 1, 100));
  for (int i = 0; i < 400; ++i) queue.push(item(++id, "quiet", 1, 100));
  for (int i = 0; i < 400; ++i) queue.push(item(++id, "heavy", 2, 200));
  std::map<std::string, double> served;
  for (int i = 0; i < 600; ++i) {
    const auto next = queue.pop();
    served[next->tenant.value()] += next->cost;
  }
  cr_assert_float_eq(served["quiet"] / served["noisy"], 1.0, 0.02);
  cr_assert_float_eq(served["heavy"] / served["noisy"], 2.0, 0.05);
}

Test(fair_queue, an_idle_tenant_accumulates_no_credit) {
  FairQueue queue(10'000);
  for (std::uint64_t i = 0; i < 100; ++i) queue.push(item(i, "busy", 1, 10));
  for (int i = 0; i < 50; ++i) queue.pop();
  for (std::uint64_t i = 100; i < 200; ++i) queue.push(item(i, "late", 1, 10));
  int late = 0;
  for (int i = 0; i < 40; ++i) late += queue.pop()->tenant.value() == "late" ? 1 : 0;
  cr_assert_leq(late, 21);
}

Test(fair_queue, higher_priority_goes_first) {
  FairQueue queue(10);
  queue.push(item(1, "a", 1, 1, 0));
  queue.push(item(2, "b", 1, 1, 5));
  cr_assert_eq(queue.pop()->id, 2);
}

Test(fair_queue, returns_each_item_exactly_once) {
  SHUNTBANK_PROPERTY("each item leaves once: popped, removed or expired", [] {
    FairQueue queue(20);
    std::map<std::uint64_t, int> queued;
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      const int action = *rc::gen::inRange(0, 5);
      if (action < 3) {
        QueueItem next =
            item(static_cast<std::uint64_t>(i), std::string(1, *rc::gen::inRange('a', 'd')), 1,
                 *rc::gen::inRange(1, 50), *rc::gen::inRange(0, 2));
        next.deadline = MonotonicTime{} + Duration(*rc::gen::inRange(0, 100));
        if (queue.push(next)) queued[next.id] = 1;
      } else if (action == 3) {
        const auto popped = queue.pop();
        RC_ASSERT(popped.has_value() == !queued.empty());
        if (popped) RC_ASSERT(queued.erase(popped->id) == 1);
      } else {
        const MonotonicTime now = MonotonicTime{} + Duration(*rc::gen::inRange(0, 100));
        for (const QueueItem& expired : queue.take_expired(now)) {
          RC_ASSERT(queued.erase(expired.id) == 1);
        }
      }
      RC_ASSERT(queue.size() == queued.size());
    }
  });
}

Test(tenant_limiter, admits_the_rate_over_a_minute_and_returns_a_retry_delay) {
  TenantLimiter limiter(kLongAgo);
  TenantLimits limits;
  limits.requests_per_minute = 60;
  const TenantName tenant("t");
  int admitted = 0;
  MonotonicTime now{};
  for (int i = 0; i < 1200; ++i) {
    now += 50ms;
    const auto refusal = limiter.admit(now, tenant, limits, 1);
    if (!refusal) ++admitted;
    if (refusal) cr_assert(refusal->retry_after > 0ms && refusal->retry_after <= 1s);
  }
  cr_assert(admitted >= 60 && admitted <= 71, "%d", admitted);
}

Test(tenant_limiter, corrects_token_estimates_on_finish) {
  TenantLimiter limiter(kLongAgo);
  TenantLimits limits;
  limits.tokens_per_minute = 600;
  const TenantName tenant("t");
  cr_assert(!limiter.admit({}, tenant, limits, 100));
  cr_assert_eq(limiter.admit({}, tenant, limits, 1)->kind, LimitKind::kTokenRate);
  limiter.finish(tenant, 100, 10);
  cr_assert(!limiter.admit({}, tenant, limits, 50));
}

Test(tenant_limiter, limits_requests_in_flight) {
  TenantLimiter limiter(kLongAgo);
  TenantLimits limits;
  limits.concurrent_requests = 2;
  const TenantName tenant("t");
  cr_assert(!limiter.admit({}, tenant, limits, 1));
  cr_assert(!limiter.admit({}, tenant, limits, 1));
  cr_assert_eq(limiter.admit({}, tenant, limits, 1)->kind, LimitKind::kConcurrency);
  limiter.finish(tenant, 1, 1);
  cr_assert(!limiter.admit({}, tenant, limits, 1));
}

Test(tenant_limiter, a_limit_set_later_does_not_inherit_a_debt) {
  TenantLimiter limiter(kLongAgo);
  TenantLimits limits;
  const TenantName tenant("t");
  for (int i = 0; i < 1000; ++i) limiter.admit({}, tenant, limits, 1000);
  limits.tokens_per_minute = 600;
  cr_assert(!limiter.admit(MonotonicTime{} + 10s, tenant, limits, 1));
}

Test(tenant_limiter, allows_no_burst_after_a_process_start) {
  // Requests admitted before a restart are unknown; a full bucket would admit them again.
  const MonotonicTime start = MonotonicTime{} + 1h;
  TenantLimiter limiter(start);
  TenantLimits limits;
  limits.requests_per_minute = 600;
  const TenantName tenant("t");
  const auto admitted_at = [&](MonotonicTime now) {
    int admitted = 0;
    while (!limiter.admit(now, tenant, limits, 1)) ++admitted;
    return admitted;
  };
  cr_assert_eq(admitted_at(start), 1,
               "a node that has just started does not refuse the first request");
  cr_assert_leq(admitted_at(start + 5s), 50);
  cr_assert_eq(admitted_at(start + 60s), 100);
}
