#include "core/relay/attempt_outcome.hpp"

#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;

Test(attempt_outcome, never_reruns_unsafe_requests_nor_refuses_after_a_run) {
  SHUNTBANK_PROPERTY("at most one run of unsafe requests, correct refusals, bounded attempts", [] {
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
