// Admission of a relayed request while the capacity of its service is short.
#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "relay/relay_session.hpp"
#include "relay/request_identity.hpp"

namespace shuntbank::relay {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

/// @return whole milliseconds, or -1 if there is no bound.
std::int64_t bounded_ms(Duration duration) {
  return duration == Duration::max() ? -1 : whole_ms(duration);
}

}  // namespace

bool RelaySession::under_admission_control() const {
  return context_.admission.enabled() && service_ != nullptr && service_->model && prompt_;
}

/// A request that was prefilled has had its share of the work that is short, one that may have run
/// must not be answered with 503, and a caller that resumes a stream has part of its answer.
bool RelaySession::refusable() const {
  const bool resumes = request_.headers.count(context_.dialect.names().last_event_id) > 0;
  return known_not_run(history_) && !history_.head_forwarded && !history_.prefill_sent &&
         !failure_answer_ && !resumes;
}

/// Decides on a planned dispatch. @return false if the request was refused.
bool RelaySession::admit(DispatchPlan& plan) {
  if (!under_admission_control()) return true;
  const MonotonicTime now = context_.runtime.now();
  AdmissionQuery query;
  query.expected = from_seconds(plan.expected_ms / kMillisecondsPerSecond);
  const EngineModel& model = std::as_const(context_.engines).model_of(service_name_);
  query.own_work = own_work(plan, model, *service_->model, prompt_->prompt_tokens);
  query.late = plan.deferred;
  const EngineView* engine = context_.engines.find(plan.placement.engine);
  if (!query.late && engine != nullptr) query.late_work = late_work(*engine, model);
  query.time_to_objective = arrived_ + route_.objective - now;
  query.time_left = time_left();
  query.refusable = refusable();
  // Neither the occupancy nor the identity is needed for a request that is expected in time.
  if (query.late || *query.expected > query.time_left) {
    query.occupancy = occupancy_of(now, context_.engines, service_name_);
    const double factor = context_.admission.late_wait_factor(now, service_name_);
    const bool may_be_refused = to_seconds(*query.expected) * factor > to_seconds(query.time_left);
    query.returning = may_be_refused && context_.admission.was_refused(
                                            now, identity_of(request_, tenant_name()).request);
  }
  if (tenant_ != nullptr && context_.shares.enabled()) {
    context_.shares.on_request(now, tenant_->name);
    query.wait_share = context_.shares.wait_share(now, tenant_->name);
    query.share_ratio = context_.shares.share_ratio(now, tenant_->name);
  }
  const AdmissionDecision decision =
      context_.admission.decide(now, service_name_, route_.name, query);
  late_above_share_ = query.share_ratio >= 1 || !context_.admission.in_shortage(now, service_name_);
  context_.metrics.count_admission(service_name_.value(), to_text(decision.action));
  if (decision.action == AdmissionAction::kSendNow) return true;
  log_admission(decision, query);
  if (decision.action == AdmissionAction::kRefuse) {
    slot_expected_in_ = *query.expected - query.time_left;
    expected_first_token_ms_ = plan.expected_ms;
    placement_ = plan.placement;
    refuse(decision.why);
    return false;
  }
  sent_ahead_ = decision.action == AdmissionAction::kSendAhead;
  plan.deferred =
      decision.action == AdmissionAction::kServeLate || decision.action == AdmissionAction::kYield;
  if (plan.deferred) late_request_ = {now, query.own_work, *query.expected - query.own_work};
  return true;
}

/// The request has got its first token or run out of time.
void RelaySession::report_late_result() {
  if (!late_request_) return;
  late_request_->out_of_time = !history_.head_forwarded;
  context_.admission.on_late_result(context_.runtime.now(), service_name_, route_.name,
                                    *late_request_);
  late_request_.reset();
}

/// Decides on holding a request until an engine accepts it. @return whether it is held.
bool RelaySession::admit_wait(std::optional<MonotonicTime> available_at) {
  if (!under_admission_control()) return available_at.has_value();
  const MonotonicTime now = context_.runtime.now();
  AdmissionQuery query;
  if (available_at) query.slot_in = *available_at - now;
  query.time_to_objective = arrived_ + route_.objective - now;
  query.time_left = time_left();
  query.occupancy = occupancy_of(now, context_.engines, service_name_);
  const AdmissionDecision decision =
      context_.admission.decide(now, service_name_, route_.name, query);
  if (decision.action != AdmissionAction::kWait) return false;
  context_.metrics.count_admission(service_name_.value(), to_text(decision.action));
  log_admission(decision, query);
  return true;
}

void RelaySession::log_admission(const AdmissionDecision& decision,
                                 const AdmissionQuery& query) const {
  const MonotonicTime now = context_.runtime.now();
  log_event(LogArea::kCallers, LogLevel::kInfo, "admission",
            {{"request", id_},
             {"decision", to_text(decision.action)},
             {"why", decision.why},
             {"route", route_.name},
             {"tenant", std::string(tenant_name())},
             {"service", service_name_.value()},
             {"priority", priority()},
             {"expected_ms", query.expected ? whole_ms(*query.expected) : -1},
             {"own_work_ms", whole_ms(query.own_work)},
             {"late_work_ms", whole_ms(query.late_work)},
             {"slot_in_ms", query.slot_in ? whole_ms(*query.slot_in) : -1},
             {"objective_left_ms", whole_ms(query.time_to_objective)},
             {"left_ms", bounded_ms(query.time_left)},
             {"late_factor", context_.admission.late_wait_factor(now, service_name_)},
             {"slots", query.occupancy.slots},
             {"taken", query.occupancy.taken},
             {"waiting", query.occupancy.waiting},
             {"view_age_ms", whole_ms(context_.engines.shared_view_age())},
             {"shortage", context_.admission.in_shortage(now, service_name_)},
             {"wait_share", query.wait_share},
             {"share_ratio", query.share_ratio},
             {"refusable", query.refusable},
             {"returning", query.returning}},
            LogImportance::kStep);
}

/// Counts the service of a request whose answer has begun. Engines do not report the tokens of an
/// answer, so that the bound in the request counts.
void RelaySession::report_served() {
  if (!prompt_ || !started_ || tenant_ == nullptr) return;
  const std::uint64_t output =
      std::max<std::uint64_t>(prompt_->max_output_tokens, progress_.event_count());
  context_.shares.on_served(context_.runtime.now(), tenant_->name,
                            weighted_tokens(prompt_->prompt_tokens, output));
}

/// @param available_at when the first engine accepts requests again; unset: one accepts them now.
Duration RelaySession::scheduled_return_delay(std::optional<MonotonicTime> available_at) {
  const MonotonicTime now = context_.runtime.now();
  context_.admission.on_refused(now, identity_of(request_, tenant_name()).request);
  ReturnQuery query;
  query.priority = priority();
  query.above_share = tenant_ != nullptr && context_.shares.above_share(now, tenant_->name);
  if (available_at) query.not_before = *available_at - now;
  query.slot_expected = std::max(context_.settings.retry_after, slot_expected_in_);
  query.time_left = time_left();
  return context_.admission.return_delay(now, service_name_, query);
}

}  // namespace shuntbank::relay
