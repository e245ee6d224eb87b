// Waiting of a relayed request while all eligible engines are in cooldown.
#include <algorithm>

#include "relay/relay_session.hpp"

namespace shuntbank::relay {

/// Holds a request that can still be in time until the first engine is available: a refused caller
/// would retry no sooner, on a new connection, and usually only once.
bool RelaySession::wait_for_cooldown() {
  if (service_ == nullptr) return false;
  const MonotonicTime now = context_.runtime.now();
  DispatchQuery query = dispatch_query();
  // The caller's deadline may be earlier than the objective.
  query.time_to_objective = std::min(query.time_to_objective, time_left());
  const auto available_at = worth_waiting_until(
      now, context_.engines, query, context_.settings.placement, context_.settings.prefill);
  if (!available_at || !admit_wait(available_at)) return false;
  log_attempt("waits_for_return", std::to_string(whole_ms(*available_at - now)) + " ms");
  context_.metrics.count_wait_for_return(service_name_.value());
  wait_timer_ = context_.runtime.after(*available_at - now, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_cooldown_end();
  });
  return true;
}

void RelaySession::on_cooldown_end() {
  if (ended_) return;
  // Other requests may have spent the budget meanwhile.
  if (!within_budget()) return end_over_budget("an engine is available again");
  if (!prompt_handle_.empty()) return start_decode();
  dispatch();
}

/// A caller that retries before the first engine leaves its cooldown is refused again, and most
/// callers retry once.
Duration RelaySession::caller_retry_delay() {
  const Duration default_delay = context_.settings.retry_after;
  const MonotonicTime now = context_.runtime.now();
  const auto available_at = context_.engines.next_available_at(now, service_name_);
  if (under_admission_control() && time_left() > default_delay) {
    return scheduled_return_delay(available_at);
  }
  return available_at ? std::max(default_delay, *available_at - now) : default_delay;
}

}  // namespace shuntbank::relay
