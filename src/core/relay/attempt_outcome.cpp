#include "core/relay/attempt_outcome.hpp"

namespace shuntbank::relay {

AttemptVerdict after_failure(const Route& route, const AttemptHistory& history) {
  const bool may_run_again = history.may_have_run == 0 || route.idempotent();
  const bool attempts_left = history.may_have_run < route.max_attempts && history.sends < kMaxSends;
  if (may_run_again && attempts_left) return AttemptVerdict::kTryElsewhere;
  return known_not_run(history) ? AttemptVerdict::kRefuse : AttemptVerdict::kFailUncertain;
}

}  // namespace shuntbank::relay
