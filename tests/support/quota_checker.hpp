/// @file
/// Checks the requests that engines run against the quotas of their tenants, which apply to all
/// nodes together.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace shuntbank::testing {

/// What a quota allows in a sliding window beyond its rate and burst.
struct QuotaBounds {
  Duration window = std::chrono::seconds(8);
  double excess = 0.1;  ///< Fraction of the allowance.
  double slack = 0;     ///< Requests or tokens.
  /// Time until all nodes apply a lower quota. It binds one window later.
  Duration apply_time = std::chrono::seconds(3);
};

/// Tracks the quotas of tenants and the cost of the requests that engines run.
class QuotaChecker {
 public:
  explicit QuotaChecker(const QuotaBounds& own_bounds) : bounds(own_bounds) {}

  void set_quota(MonotonicTime now, const std::string& tenant, double per_second, double burst) {
    this->tenants[tenant].quotas.push_back({now, per_second, burst});
  }

  /// A request reaches an engine that runs it. @return the violation, or empty text.
  std::string on_run(MonotonicTime now, const std::string& tenant, double cost) {
    const auto found = this->tenants.find(tenant);
    if (found == this->tenants.end()) return "";
    Tenant& state = found->second;
    state.runs.push_back({now, cost});
    state.sum += cost;
    while (state.runs.front().at <= now - this->bounds.window) {
      state.sum -= state.runs.front().cost;
      state.runs.pop_front();
    }
    const double allowed = this->allowance(state, now);
    this->peak_utilization = std::max(this->peak_utilization, state.sum / allowed);
    if (state.sum <= allowed) return "";
    return tenant + " ran " + std::to_string(state.sum) + " in a window, allowed " +
           std::to_string(allowed);
  }

  /// @return the highest ratio of used to allowed cost in any window.
  double max_utilization() const { return this->peak_utilization; }

 private:
  struct Quota {
    MonotonicTime from;
    double per_second = 0;
    double burst = 0;
  };
  struct Run {
    MonotonicTime at;
    double cost = 0;
  };
  struct Tenant {
    std::deque<Quota> quotas;
    std::deque<Run> runs;
    double sum = 0;
  };

  double allowance(const Tenant& tenant, MonotonicTime now) const {
    const MonotonicTime since = now - this->bounds.window - this->bounds.apply_time;
    double highest = 0;
    for (std::size_t i = 0; i < tenant.quotas.size(); ++i) {
      const bool last = i + 1 == tenant.quotas.size();
      if (!last && tenant.quotas[i + 1].from < since) continue;
      const Quota& quota = tenant.quotas[i];
      highest = std::max(highest, quota.per_second * to_seconds(this->bounds.window) + quota.burst);
    }
    return highest * (1 + this->bounds.excess) + this->bounds.slack;
  }

  QuotaBounds bounds;
  std::map<std::string, Tenant> tenants;
  double peak_utilization = 0;
};

}  // namespace shuntbank::testing
