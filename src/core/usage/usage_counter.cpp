#include "core/usage/usage_counter.hpp"

namespace shuntbank::usage {
namespace {

/// Bounds memory: half a minute at 3,000 requests per second, 40 bytes each.
constexpr std::size_t kMaxStartedRequests = 100000;

}  // namespace

void UsageCounter::on_request_started(MonotonicTime now, const TenantName& tenant) {
  if (this->started.size() >= kMaxStartedRequests) {
    this->started.pop_front();
    ++this->dropped;
  }
  this->started.push_back({now, tenant});
}

TenantCounts UsageCounter::counts(const WindowClock& window_clock, WindowNumber window,
                                  const std::function<UnixMs(MonotonicTime)>& true_time) const {
  TenantCounts counts;
  for (const StartedRequest& request : this->started) {
    if (window_clock.at(true_time(request.at)) == window) ++counts[request.tenant];
  }
  return counts;
}

void UsageCounter::expire(MonotonicTime now) {
  while (!this->started.empty() && now - this->started.front().at > this->retention) {
    this->started.pop_front();
  }
}

}  // namespace shuntbank::usage
