// Urgency that engines are sent with a relayed request, and the expected times that it follows
// from.
#include <utility>

#include "core/relay/request_urgency.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {

int RelaySession::priority() const {
  return tenant_ == nullptr ? route_.priority : tenant_->priority.value_or(route_.priority);
}

int RelaySession::urgency(Step step) const {
  UrgencyQuery query;
  query.order = context_.settings.order;
  query.priority = priority();
  query.kinds = table_->kinds_of(service_name_);
  query.deferred = deferred_;
  query.before_other_late = !late_above_share_;
  query.prefill_only = step == Step::kPrefill;
  // A request that is sent ahead is expected too late, but must not wait behind all others again.
  query.objective_ms = sent_ahead_ ? 0 : to_ms(route_.objective);
  query.time_left_ms = to_ms(arrived_ + route_.objective - context_.runtime.now());
  query.own_work_ms = own_work_ms(step);
  return request_urgency(query);
}

/// @return expected milliseconds until the first token without waiting for other requests.
double RelaySession::own_work_ms(Step step) const {
  const EngineModel& model = std::as_const(context_.engines).model_of(service_name_);
  const EngineView* engine = context_.engines.find(engine_);
  const double factor =
      engine == nullptr ? 1 : engine->present_prefill_factor(context_.runtime.now());
  const auto tokens = static_cast<double>(prefill_tokens_);
  if (step == Step::kPlain) return model.decode_prefill_ms(tokens) * factor;
  const double prefill_ms =
      step == Step::kPrefill ? model.prefill().prefill_ms(tokens) * factor : 0;
  return prefill_ms + handover_without_wait_ms();
}

double RelaySession::handover_without_wait_ms() const {
  const EngineModel& model = std::as_const(context_.engines).model_of(service_name_);
  return model.handover_ms() + service_->model->transfer_ms(prompt_->prompt_tokens);
}

/// @return expected milliseconds until this attempt's prompt is prefilled or, after a remote
/// prefill, until its first event.
double RelaySession::expected_step_ms(Step step) const {
  if (step != Step::kDecodeFromHandle) return placement_.expected_ms;
  return handover_without_wait_ms() + expected_slot_wait_ms_;
}

}  // namespace shuntbank::relay
