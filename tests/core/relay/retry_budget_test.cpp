// Guards against nodes that each keep to their share of the retry budget but together exceed the
// fleet's bound, as under an oscillating load each spends at its own peak.
#include "core/relay/retry_budget.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "common/hash.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

/// Sorted times of the fleet's requests and extra dispatches, in milliseconds from the start.
struct FleetHistory {
  std::vector<int> requests;
  std::vector<int> extra_dispatches;
};

long count_within(const std::vector<int>& times, int begin, int end) {
  const auto first = std::lower_bound(times.begin(), times.end(), begin);
  const auto last = std::lower_bound(times.begin(), times.end(), end);
  return last - first;
}

/// @return by how many extra dispatches the window from `begin` exceeds the bound; negative if it
/// stays below. The bound applies the ratio to the largest request count of three windows: the one
/// from `begin`, the one before it and the one that starts half a window earlier.
double excess_from(int begin, const FleetHistory& history, const RetryBudgetSettings& settings) {
  const int window = static_cast<int>(to_ms(settings.window));
  const auto requests_from = [&](int from) {
    return count_within(history.requests, from, from + window);
  };
  const long requests = std::max(
      {requests_from(begin), requests_from(begin - window), requests_from(begin - window / 2)});
  const auto extra_dispatches =
      static_cast<double>(count_within(history.extra_dispatches, begin, begin + window));
  return extra_dispatches - settings.ratio * static_cast<double>(requests) - settings.slack;
}

/// @return the largest excess over all windows. Only windows that start or end with an extra
/// dispatch are checked.
double worst_excess(const FleetHistory& history, const RetryBudgetSettings& settings) {
  const int window = static_cast<int>(to_ms(settings.window));
  double worst = -settings.slack;
  for (const int time : history.extra_dispatches) {
    worst = std::max(worst, excess_from(time, history, settings));
    worst = std::max(worst, excess_from(time - window + 1, history, settings));
  }
  return worst;
}

MonotonicTime at_ms(int ms) {
  return MonotonicTime{std::chrono::milliseconds(ms)};
}

RetryBudgetSettings fleet_settings() {
  RetryBudgetSettings settings;
  settings.ratio = 0.2;
  settings.window = std::chrono::seconds(10);
  settings.slack = 172;
  return settings;
}

/// Requests per second of the whole fleet, alternating between high and low.
double oscillating_load(int now_ms) {
  constexpr int kPhaseMs = 2800;
  return now_ms / kPhaseMs % 2 == 0 ? 1600 : 500;
}

}  // namespace

Test(retry_budget, bounds_the_fleet_under_oscillating_load) {
  constexpr int kNodes = 66;
  constexpr int kLengthMs = 34000;
  const RetryBudgetSettings settings = fleet_settings();
  const SlackShare share{settings.slack / kNodes, {}};
  std::vector<RetryBudget> budgets(kNodes, RetryBudget(settings, share));
  FleetHistory history;
  double pending_requests = 0;
  for (int now_ms = 0; now_ms < kLengthMs; ++now_ms) {
    for (pending_requests += oscillating_load(now_ms) / 1000; pending_requests >= 1;
         --pending_requests) {
      const auto node_hash = hash64("request", history.requests.size());
      budgets[node_hash % kNodes].on_request(at_ms(now_ms));
      history.requests.push_back(now_ms);
    }
    // Engines refuse everything: each node spends its budget at once.
    for (RetryBudget& budget : budgets) {
      while (budget.try_spend(at_ms(now_ms))) history.extra_dispatches.push_back(now_ms);
    }
  }
  const double excess = worst_excess(history, settings);
  cr_assert_leq(excess, 0.0, "%.0f extra dispatches too many in one window", excess);
}

Test(retry_budget, bounds_all_nodes_in_every_window) {
  SHUNTBANK_PROPERTY("bound holds for any sequence of requests, dispatches and restarts", [] {
    RetryBudgetSettings settings;
    settings.slack = 54;
    const auto nodes = *rc::gen::inRange<std::size_t>(1, 9);
    const double share = settings.slack / static_cast<double>(nodes);
    std::vector<RetryBudget> budgets(nodes, RetryBudget(settings, SlackShare{share, {}}));
    FleetHistory history;
    int now_ms = 0;
    for (int i = 0; i < 400; ++i) {
      now_ms += *rc::gen::inRange(0, 300);
      RetryBudget& budget = budgets[*rc::gen::inRange<std::size_t>(0, nodes)];
      const MonotonicTime now = at_ms(now_ms);
      const int action = *rc::gen::inRange(0, 40);
      if (action == 0) {
        // The process restarts.
        budget = RetryBudget(settings, {share, now + charge_duration(settings)});
      } else if (action < 12) {
        const int burst = *rc::gen::inRange(1, 30);
        for (int request = 0; request < burst; ++request) budget.on_request(now);
        history.requests.insert(history.requests.end(), static_cast<std::size_t>(burst), now_ms);
      } else {
        while (budget.try_spend(now)) history.extra_dispatches.push_back(now_ms);
      }
    }
    RC_ASSERT(worst_excess(history, settings) <= 0);
  });
}

Test(retry_budget, returns_refunded_dispatches_only) {
  SHUNTBANK_PROPERTY("refunded dispatches count as never made", [] {
    const RetryBudgetSettings settings = fleet_settings();
    RetryBudget budget(settings, SlackShare{20, {}});
    RetryBudget without_refunded(settings, SlackShare{20, {}});
    std::vector<int> refundable;
    int now_ms = 0;
    for (int i = 0; i < 200; ++i) {
      now_ms += *rc::gen::inRange(0, 2000);
      const bool refunded = *rc::gen::inRange(0, 2) == 0;
      budget.charge(at_ms(now_ms));
      if (refunded) refundable.push_back(now_ms);
      if (!refunded) without_refunded.charge(at_ms(now_ms));
      if (*rc::gen::inRange(0, 3) > 0) continue;
      now_ms += *rc::gen::inRange(0, 30000);
      for (const int charged_ms : refundable) budget.refund(at_ms(now_ms), at_ms(charged_ms));
      refundable.clear();
      RC_ASSERT(budget.available(at_ms(now_ms)) == without_refunded.available(at_ms(now_ms)));
    }
  });
}

Test(retry_budget, allows_a_steady_load_to_spend_the_whole_ratio) {
  // Guards against a budget stricter than the bound.
  RetryBudgetSettings settings;
  settings.slack = 0;
  RetryBudget budget(settings, {});
  int spent = 0;
  constexpr int kRequestsPerSecond = 100;
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < kRequestsPerSecond; ++i) {
      const MonotonicTime now = at_ms(second * 1000 + i * 10);
      budget.on_request(now);
      if (budget.try_spend(now) && second >= 30) ++spent;
    }
  }
  // Less than the ratio, since dispatches are charged for a tenth of a window longer than requests
  // count, and since counting by time slots rounds the available budget down.
  constexpr double kFullRatio = 30 * kRequestsPerSecond * 0.2;
  cr_assert_geq(spent, kFullRatio * 0.85, "%d of %.0f", spent, kFullRatio);
}

Test(retry_budget, allows_retrying_in_flight_requests_after_a_crash) {
  // A crash fails all requests of an engine at once. The budget is the ratio times the mean of two
  // windows; only one of them has requests here, so half of that window's requests count.
  RetryBudgetSettings settings;
  settings.slack = 0;
  RetryBudget budget(settings, {});
  for (int i = 0; i < 1000; ++i) budget.on_request(at_ms(i * 10));
  int spent = 0;
  while (budget.try_spend(at_ms(10000))) ++spent;
  cr_assert_geq(spent, 95);
  cr_assert_leq(spent, 100);
}
