// Log lines of the attempts of a relayed request.
#include <utility>

#include "common/log.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {

void RelaySession::log_attempt(const char* event, const std::string& why) const {
  const MonotonicTime now = context_.runtime.now();
  const EngineView* view = context_.engines.find(engine_);
  const EngineModel& model = std::as_const(context_.engines).model_of(service_name_);
  const double transfer_ms =
      prompt_ && service_ != nullptr ? service_->model->transfer_ms(prompt_->prompt_tokens) : 0;
  const bool load_known = view != nullptr && view->load.has_value();
  const bool peers_known = view != nullptr && view->peer_load.has_value();
  const EngineReachability& reachability = context_.paths.reachability();
  log_event(LogArea::kCallers, LogLevel::kInfo, event,
            {{"request", id_},
             {"route", route_.name},
             {"config", table_->version()},
             {"engine", engine_.value()},
             {"service", service_name_.value()},
             {"step", step_name()},
             {"software", version_when_sent_},
             {"stream", origin_ ? stream_id_ : std::string()},
             {"stream_software", origin_ ? origin_->version : std::string()},
             {"after_event", std::string(last_event_id())},
             {"why", why},
             {"cost_ms", placement_.cost_ms},
             {"expected_ms", expected_first_token_ms_},
             {"deferred", deferred_},
             {"reading_ms", model.prefill().prefill_ms(static_cast<double>(prefill_tokens_))},
             {"ahead_ms", placement_.ahead_ms},
             {"ahead_share", model.work_ahead().share()},
             {"handover_ms", model.handover_ms()},
             {"prefill_factor", view == nullptr ? 1 : view->profile.prefill_factor()},
             {"pace_factor", view == nullptr ? 1 : view->profile.pace_factor()},
             {"slowdown", view == nullptr ? 1 : view->profile.slowdown(now)},
             {"engine_gap_ms", view == nullptr ? 0 : view->profile.longest_gap_ms()},
             {"late_share", view == nullptr ? 0 : view->profile.late_share()},
             {"transfer_ms", transfer_ms},
             {"slot_wait_ms", expected_slot_wait_ms_},
             {"step_ms", expected_step_ms_},
             {"urgency", urgency_},
             {"occupancy", occupancy_when_sent_.fill()},
             {"candidates", placement_.candidates},
             {"unread", prefill_tokens_},
             {"fetch_from", fetch_address_},
             {"in_flight", view == nullptr ? 0 : view->in_flight},
             {"peers_in_flight", peers_known ? view->peer_load->in_flight : 0},
             {"load_age_ms", load_known ? whole_ms(now - view->load_at) : -1},
             {"sends", history_.sends},
             {"may_have_run", history_.may_have_run},
             {"answer_status", status_},
             {"answer_bytes", received_bytes_},
             {"extra", charged_to_budget_},
             {"budget", budget_left()},
             {"left_ms", whole_ms(expires_ - now)},
             {"age_ms", whole_ms(now - arrived_)},
             {"retry_after_ms", retry_after_ms_},
             {"via", tunnel_ ? tunnel_->address : std::string()},
             {"engines_unreachable", reachability.broken_paths().size()},
             {"engine_silence_ms", whole_ms(reachability.since_last_answer(now))}},
            LogImportance::kStep);
}

/// Logs what decides on the outcome of an attempt that brings no success: whether the answer names
/// the request, and whether it says that the engine did not run it.
void RelaySession::log_engine_answer(int status, const HttpHeaders& headers) const {
  const HeaderNames& names = context_.dialect.names();
  log_event(LogArea::kCallers, LogLevel::kInfo, "engine_answered",
            {{"request", id_},
             {"engine", engine_.value()},
             {"step", step_name()},
             {"status", status},
             {"names_request", headers.get(names.request_id) == id_},
             {"not_run", context_.dialect.is_refusal(status, headers)},
             {"promises_not_run", context_.dialect.promises_not_run(status)},
             {"sealed", !headers.get(names.seal).empty()},
             {"after_ms", whole_ms(context_.runtime.now() - sent_at_)},
             {"via", tunnel_ ? tunnel_->address : std::string()}},
            LogImportance::kStep);
}

/// @return the last event that the caller has, from this request or an earlier one.
std::string_view RelaySession::last_event_id() const {
  const std::string& forwarded = progress_.last_id_text();
  return forwarded.empty() ? request_.headers.get(context_.dialect.names().last_event_id)
                           : std::string_view(forwarded);
}

const char* RelaySession::step_name() const {
  switch (step_) {
    case Step::kPlain:
      return "whole";
    case Step::kPrefill:
      return "prefill";
    case Step::kDecodeFromHandle:
      return "decode";
  }
  return "whole";
}

}  // namespace shuntbank::relay
