// What the attempts of a relayed request show of the costs of work and of the engines' speeds.
#include <algorithm>
#include <utility>

#include "core/relay/engine_observation.hpp"
#include "core/relay/prompt_size.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {

void RelaySession::update_prefill_model(bool exclusive) {
  EngineModel& model = context_.engines.model_of(service_name_);
  const Duration elapsed = context_.runtime.now() - sent_at_;
  const bool behind_others = !idle_when_sent_ && !deferred_ && fetch_address_.empty();
  if (behind_others) model.on_read_behind(placement_.ahead_ms, prefill_tokens_, elapsed);
  if (fetch_address_.empty()) return model.on_prompt_read(prefill_tokens_, elapsed, exclusive);
  if (!exclusive) return;
  model.on_fetch(prefill_tokens_,
                 service_->model->transfer_ms(prompt_->prompt_tokens - prefill_tokens_), elapsed);
}

/// Excludes deferred prefills, which later ones may overtake, and those with a transfer.
void RelaySession::report_prefill_sample() {
  if (deferred_ || !fetch_address_.empty()) return;
  PrefillObservation prefill;
  prefill.own_ms = prefill_reference_.own_ms;
  prefill.ahead_ms = prefill_reference_.ahead_ms;
  prefill.took = context_.runtime.now() - sent_at_;
  if (const auto load = context_.dialect.parse_load(headers_)) {
    prefill.waiting = load->waiting;
    prefill.slowdown_percent = load->slowdown;
  }
  if (const auto sample = prefill_sample(prefill)) context_.queue_samples(engine_, *sample);
}

/// Excludes streams that several engines served, and those that the caller has slowed down.
void RelaySession::report_stream_sample() {
  const auto mean_gap = progress_.mean_gap();
  const bool one_engine = progress_.first_event_delay(sent_at_) > Duration::zero();
  if (!prompt_ || !mean_gap || !one_engine || forwarding_paused_) return;
  context_.queue_samples(engine_,
                         stream_sample({*mean_gap, progress_.longest_gap(), route_.gap_target}));
}

void RelaySession::observe_expectation(const char* stage, double actual_ms, double expected_ms) {
  context_.metrics.observe_expectation(service_name_.value(), stage,
                                       prompt_size_class(prompt_->prompt_tokens), actual_ms,
                                       expected_ms);
}

void RelaySession::update_handover_model() {
  const Duration elapsed = context_.runtime.now() - sent_at_;
  const Duration transfer =
      from_seconds(service_->model->transfer_ms(prompt_->prompt_tokens) / 1000);
  // Engines serve the least urgent last, also those that have become late since the plan.
  const bool yields = deferred_ || urgency_ == kLeastUrgent;
  context_.engines.model_of(service_name_)
      .on_handover(std::max(Duration::zero(), elapsed - transfer), yields, occupancy_when_sent_);
}

}  // namespace shuntbank::relay
