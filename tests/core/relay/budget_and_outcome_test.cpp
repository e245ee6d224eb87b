#include "core/relay/attempt_outcome.hpp"
#include "core/relay/retry_budget.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;

Test(retry_budget, holds_over_all_nodes_in_every_window) {
  SHUNTBANK_PROPERTY("extra dispatches stay below ratio x requests + slack", [] {
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.window = std::chrono::seconds(10);
    settings.slack = 54;
    settings.assumed_nodes = 8;
    const auto nodes = *rc::gen::inRange<std::size_t>(1, 9);
    std::vector<RetryBudget> budgets(nodes, RetryBudget(settings));
    std::vector<std::pair<int, bool>> events;  // Time in ms; whether extra.
    int now_ms = 0;
    for (int i = 0; i < 600; ++i) {
      now_ms += *rc::gen::inRange(0, 60);
      RetryBudget& budget = budgets[*rc::gen::inRange<std::size_t>(0, nodes)];
      const MonotonicTime now{std::chrono::milliseconds(now_ms)};
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.on_request(now);
        events.emplace_back(now_ms, false);
      } else if (budget.try_spend(now)) {
        events.emplace_back(now_ms, true);
      }
    }
    // The requests are counted in the better of a window and the one before it.
    for (const auto& [begin, ignored] : events) {
      int extra = 0;
      int inside = 0;
      int before = 0;
      for (const auto& [at, is_extra] : events) {
        if (at >= begin && at < begin + 10000) (is_extra ? extra : inside) += 1;
        if (at >= begin - 10000 && at < begin && !is_extra) ++before;
      }
      RC_ASSERT(extra <= 0.2 * (inside + before) + settings.slack);
    }
  });
}

Test(attempt_outcome, keeps_its_promises_over_any_course) {
  SHUNTBANK_PROPERTY("at most once, true promises, bounded attempts", [] {
    Route route;
    route.kind = *rc::gen::element(RouteKind::kSafe, RouteKind::kUnsafe, RouteKind::kStream);
    route.resumable = route.kind == RouteKind::kStream && *rc::gen::arbitrary<bool>();
    route.max_attempts = *rc::gen::inRange(1U, 4U);
    AttemptHistory history;
    std::uint32_t runs = 0;
    while (true) {
      const auto outcome = *rc::gen::element(AttemptOutcome::kNotSent, AttemptOutcome::kRefused,
                                             AttemptOutcome::kUncertain);
      if (outcome != AttemptOutcome::kNotSent) ++history.sends;
      if (outcome == AttemptOutcome::kUncertain) {
        ++history.may_have_run;
        ++runs;
      }
      const AttemptVerdict verdict = after_failure(route, history);
      if (verdict == AttemptVerdict::kRefuse) RC_ASSERT(runs == 0U);
      if (!route.idempotent()) RC_ASSERT(runs <= 1U);
      RC_ASSERT(runs <= std::max(route.max_attempts, 1U));
      if (verdict != AttemptVerdict::kTryElsewhere) break;
      if (history.sends == 0 && *rc::gen::inRange(0, 4) == 0) break;
    }
  });
}
