#include "core/usage/usage_counter.hpp"

namespace shuntbank::usage {
namespace {

/// Beginnings that are remembered at once: half a minute of 3,000 a second, ten times what the
/// whole fleet of today begins, at 40 bytes each.
constexpr std::size_t kMostBeginnings = 100000;

}  // namespace

void UsageCounter::on_began(MonotonicTime now, const TenantName& tenant) {
  if (this->begun.size() >= kMostBeginnings) {
    this->begun.pop_front();
    ++this->dropped;
  }
  this->begun.push_back({now, tenant});
}

TenantCounts UsageCounter::counts(const WindowClock& windows, WindowNumber window,
                                  const std::function<UnixMs(MonotonicTime)>& true_time) const {
  TenantCounts counts;
  for (const Beginning& beginning : this->begun) {
    if (windows.at(true_time(beginning.at)) == window) ++counts[beginning.tenant];
  }
  return counts;
}

void UsageCounter::expire(MonotonicTime now) {
  while (!this->begun.empty() && now - this->begun.front().at > this->kept_for) {
    this->begun.pop_front();
  }
}

}  // namespace shuntbank::usage
