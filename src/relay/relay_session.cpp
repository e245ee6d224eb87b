#include "relay/relay_session.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/engine_call.hpp"

namespace shuntbank::relay {
namespace {

/// With less time left, a request is not sent to another engine.
constexpr Duration kMinUsefulTime = std::chrono::milliseconds(20);

constexpr Duration kReleaseTimeout = std::chrono::seconds(1);

std::optional<std::int64_t> parse_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

RelaySession::RelaySession(RelayContext& context, std::shared_ptr<const RouteTable> table,
                           const Route& route, const DeclaredTenant* tenant, ServiceName service,
                           HttpRequest request, std::shared_ptr<ConnectionResponder> responder,
                           EndHandler on_end)
    : context_(context),
      table_(std::move(table)),
      route_(route),
      tenant_(tenant),
      service_name_(std::move(service)),
      service_(table_->find_service(service_name_)),
      request_(std::move(request)),
      responder_(std::move(responder)),
      on_end_(std::move(on_end)) {}

void RelaySession::start() {
  arrived_ = context_.runtime.now();
  responder_->on_closed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_caller_closed();
  });
  if (!parse_request_headers() || reject_if_quarantined()) return;
  if (may_be_aborted()) return refuse("the node is stopping");
  timer_ = context_.runtime.after(expires_ - arrived_, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_timeout();
  });
  if (taken_up_) return find_stream_origin();
  context_.budgets.of(service_name_).on_request(arrived_);
  dispatch();
}

bool RelaySession::parse_request_headers() {
  const HeaderNames& names = context_.dialect.names();
  const bool one_id = request_.headers.count(names.request_id) == 1;
  id_ = std::string(request_.headers.get(names.request_id));
  if (!one_id || id_.empty() || request_.headers.count(names.deadline_ms) > 1) {
    respond(http_status::kBadRequest, {}, "one request id is needed, and one deadline at most\n",
            "bad_request");
    return false;
  }
  expires_ = arrived_ + route_.timeout;
  const auto deadline = parse_integer(request_.headers.get(names.deadline_ms));
  // A larger number may exceed any duration.
  if (deadline && *deadline <= whole_ms(route_.timeout)) {
    expires_ = arrived_ + std::chrono::milliseconds(std::max<std::int64_t>(*deadline, 0));
  }
  if (tenant_ != nullptr && tenant_->quota) {
    const TenantQuota& quota = *tenant_->quota;
    quota_request_ = {tenant_->name,
                      {table_->version(), quota.per_second, quota.burst},
                      quota.cost(context_.dialect.parse_token_count(request_.headers))};
  }
  if (service_ != nullptr && service_->model)
    prompt_ = context_.dialect.parse_prompt(request_.headers);
  read_stream_fields();
  for (const std::string& name : names.stripped_from_requests) request_.headers.remove(name);
  request_.headers = without_hop_by_hop_fields(std::move(request_.headers));
  request_.headers.remove(names.deadline_ms);
  const auto last_event = parse_integer(request_.headers.get(names.last_event_id));
  if (last_event && *last_event >= 0) {
    progress_.resume_after(static_cast<std::uint64_t>(*last_event));
  }
  return true;
}

/// @return whether the process may end before the request has to be answered.
bool RelaySession::may_be_aborted() const {
  return context_.abort_at && expires_ > *context_.abort_at;
}

Duration RelaySession::time_left() const {
  return expires_ - context_.runtime.now();
}

std::uint32_t RelaySession::connections_per_engine() const {
  if (service_ == nullptr || service_->max_connections == 0) return 0;
  const double share = service_->max_connections / context_.settings.expected_nodes;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

PlacementQuery RelaySession::placement_query() const {
  PlacementQuery query;
  query.service = service_;
  query.prompt = prompt_ ? &*prompt_ : nullptr;
  query.zone = context_.settings.zone;
  query.cache_view_incomplete = !context_.settings.bootstrap;
  query.excluded_engines = &failed_engines_;
  query.stream_version = origin_ ? &origin_->version : nullptr;
  query.max_connections_per_node = connections_per_engine();
  query.crash_risk_engines = crash_risk_engines_.empty() ? nullptr : &crash_risk_engines_;
  query.may_crash_engine = needs_isolation();
  if (route_.kind == RouteKind::kStream) query.gap_target = route_.gap_target;
  const Duration to_objective = arrived_ + route_.objective - context_.runtime.now();
  query.max_expected_ms = to_ms(std::min(to_objective, time_left()));
  return query;
}

/// @return the decode engine for a prompt that was prefilled at another engine.
std::optional<Placement> RelaySession::place_decode() {
  update_crash_risk_engines();
  PlacementQuery query = placement_query();
  query.stage = EngineStage::kDecode;
  return place(context_.runtime.now(), context_.engines, query, context_.settings.placement);
}

/// Plans the dispatch and sends or refuses the request. @return false when no engine is available.
bool RelaySession::try_send() {
  if (service_ == nullptr) return false;
  update_crash_risk_engines();
  auto plan = current_plan();
  if (!plan && !crash_risk_engines_.empty() && !needs_isolation()) {
    crash_risk_engines_.clear();
    plan = current_plan();
  }
  if (!plan) return false;
  if (!admit(*plan)) return true;
  deferred_ = plan->deferred;
  expected_first_token_ms_ = plan->expected_ms;
  expected_first_event_ms_ = to_ms(context_.runtime.now() - arrived_) + plan->expected_ms;
  expected_slot_wait_ms_ = plan->slot_wait_ms;
  use_placement(plan->placement);
  if (plan->remote_prefill) {
    start_remote_prefill(*plan);
  } else {
    send_with_permit(plan->placement.engine, Step::kPlain);
  }
  return true;
}

DispatchQuery RelaySession::dispatch_query() const {
  DispatchQuery query;
  query.placement = placement_query();
  // A request that may crash engines involves as few of them as possible.
  query.prefill_sent = history_.prefill_sent || query.placement.may_crash_engine;
  query.extra_dispatch = history_.may_have_arrived;
  query.retry_budget = budget_left() - (history_.may_have_arrived ? 1 : 0);
  query.gap_target = route_.gap_target;
  query.time_to_objective = arrived_ + route_.objective - context_.runtime.now();
  return query;
}

std::optional<DispatchPlan> RelaySession::current_plan() {
  return plan_dispatch(context_.runtime.now(), context_.engines, dispatch_query(),
                       context_.settings.placement, context_.settings.prefill);
}

void RelaySession::use_placement(const Placement& placement) {
  placement_ = placement;
  prefill_tokens_ = placement.prefill_tokens;
  fetch_address_.clear();
  const EngineView* source =
      placement.fetch_from ? context_.engines.find(*placement.fetch_from) : nullptr;
  if (source != nullptr) fetch_address_ = source->record.address;
}

void RelaySession::dispatch() {
  release_permit(decode_permit_);
  if (time_left() < kMinUsefulTime) return on_timeout();
  if (needs_quota()) return acquire_quota();
  if (try_send() || wait_for_cooldown()) return;
  if (failure_answer_ || history_.head_forwarded || !known_not_run(history_)) {
    return fail(http_status::kBadGateway, "no other engine");
  }
  refuse("no engine");
}

OutgoingRequest RelaySession::build_outgoing(const EngineRecord& record, Step step) const {
  const HeaderNames& names = context_.dialect.names();
  OutgoingRequest outgoing;
  outgoing.method = request_.method;
  outgoing.url = "http://" + record.address + request_.target;
  outgoing.headers = request_.headers;
  outgoing.headers.add(names.deadline_ms,
                       std::to_string(std::max<std::int64_t>(1, whole_ms(time_left()))));
  outgoing.headers.add(names.expected_engine, record.own_name());
  if (tenant_ != nullptr) outgoing.headers.add(names.tenant, tenant_->name.value());
  if (prompt_) {
    outgoing.headers.add(names.urgency, std::to_string(urgency_));
  }
  if (step == Step::kPrefill) {
    outgoing.headers.add(names.stage, context_.dialect.prefill_stage_value());
  }
  if (step == Step::kDecodeFromHandle) {
    outgoing.headers.add(names.prompt_source, context_.dialect.prompt_source_value(
                                                  prompt_handle_address_, prompt_handle_));
  }
  if (!fetch_address_.empty()) outgoing.headers.add(names.fetch_from, fetch_address_);
  if (!progress_.last_id_text().empty()) {
    outgoing.headers.remove(names.last_event_id);
    outgoing.headers.add(names.last_event_id, progress_.last_id_text());
  }
  outgoing.body = request_.body;
  outgoing.tunnel = tunnel_;
  outgoing.connect_timeout = std::min(context_.settings.connect_timeout, time_left());
  // The engine may start to drain or back off while the connection to it is made.
  outgoing.still_wanted = [&context = context_, engine = record.id, permit = permit_] {
    const MonotonicTime now = context.runtime.now();
    return !context.engines.notices().refuses_requests(now, engine) &&
           context.permits.may_send(engine, permit);
  };
  outgoing.accepts_answer = [weak = weak_from_this()](int, const HttpHeaders& headers) {
    const auto self = weak.lock();
    return !self || self->is_own_answer(headers);
  };
  outgoing.answer_id = id_;
  return outgoing;
}

std::string_view RelaySession::tenant_name() const {
  return tenant_ == nullptr ? std::string_view() : std::string_view(tenant_->name.value());
}

/// @return false once the engine's record names another version than when it was chosen.
bool RelaySession::may_continue_at(const EngineId& engine) const {
  const EngineView* view = context_.engines.find(engine);
  return !origin_ || (view != nullptr && view->record.has_stream_version(origin_->version));
}

void RelaySession::send(const EngineId& engine, Step step) {
  if (stop_if_quarantined()) return;
  if (step != Step::kPrefill && !may_continue_at(engine)) {
    failed_engines_.push_back(engine);
    return dispatch();
  }
  tunnel_.reset();
  tried_peers_.clear();
  refused_directly_ = false;
  peers_answered_ = false;
  refused_by_peers_ = 0;
  unreachable_for_peers_ = 0;
  if (context_.paths.is_broken(engine) && !is_terminated(engine)) choose_tunnel(engine);
  start_attempt(engine, step);
}

void RelaySession::start_attempt(const EngineId& engine, Step step) {
  const EngineView* view = context_.engines.find(engine);
  step_ = step;
  engine_ = engine;
  status_ = 0;
  headers_ = HttpHeaders();
  refused_ = false;
  forwarding_paused_ = false;
  streaming_ = false;
  body_.clear();
  received_bytes_ = 0;
  out_of_order_ = false;
  splitter_.clear();
  account_buffers();
  prefill_tokens_released_ = false;
  attempt_counted_ = true;
  history_.run_in_flight = step != Step::kPrefill;
  version_when_sent_ = view->record.stream_version();
  sent_stage_ = view->record.stage;
  sent_at_ = context_.runtime.now();
  last_activity_at_ = sent_at_;
  const SuspectStatus suspicion = suspect_status();
  if (suspicion.is_suspect()) {
    on_trial_ = true;
    context_.quarantine.begin_trial(causes_, engine);
  }
  crashing_part_sent_ = step != Step::kPrefill && part_has_crashed_engine();
  if (step == Step::kDecodeFromHandle) prefill_tokens_ = 0;
  record_send(step == Step::kPrefill);
  idle_when_sent_ = view->total_requests(sent_at_) < 0.5;
  if (step == Step::kPrefill) {
    prefill_reference_ = prefill_reference(sent_at_, context_.engines, *view, prefill_tokens_);
  }
  occupancy_when_sent_ = view->occupancy(sent_at_);
  if (prompt_) {
    const EngineModel& model = std::as_const(context_.engines).model_of(service_name_);
    if (step != Step::kPrefill) expected_slot_wait_ms_ = model.slot_wait_ms(occupancy_when_sent_);
    expected_step_ms_ = expected_step_ms(step);
    urgency_ = urgency(step);
  }
  context_.engines.on_attempt_sent(engine, {prefill_tokens_, deferred_});
  if (prompt_) context_.notify_load_changed();
  if (step == Step::kPrefill) context_.engines.on_prompt_sent(prefill_tokens_);
  context_.metrics.count_attempt(service_name_.value(),
                                 step == Step::kPrefill ? "prefill" : "answer");
  log_attempt("dispatched", "");
  const auto self = shared_from_this();
  TransferHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->on_headers(status, headers);
  };
  handlers.on_data = [self](std::string_view piece) { return self->on_data(piece); };
  handlers.on_done = [self](const auto& result) { self->on_done(result); };
  transfer_ = context_.http.start(build_outgoing(view->record, step), std::move(handlers));
}

bool RelaySession::within_budget() const {
  return !history_.may_have_arrived || budget_left() >= 1;
}

double RelaySession::budget_left() const {
  return context_.budgets.of(service_name_).available(context_.runtime.now());
}

void RelaySession::record_send(bool prefill_only) {
  history_.prefill_sent = history_.prefill_sent || prefill_only;
  charged_to_budget_ = history_.may_have_arrived;
  if (!charged_to_budget_) return;
  context_.budgets.of(service_name_).charge(context_.runtime.now());
  context_.metrics.count_extra_send(service_name_.value());
}

/// The current attempt has sent nothing.
void RelaySession::refund_send() {
  if (!std::exchange(charged_to_budget_, false)) return;
  context_.budgets.of(service_name_).refund(context_.runtime.now(), sent_at_);
}

void RelaySession::on_attempt_failed(AttemptOutcome outcome, const std::string& why) {
  context_.metrics.count_failure(service_name_.value(),
                                 outcome == AttemptOutcome::kNotSent   ? "not_sent"
                                 : outcome == AttemptOutcome::kRefused ? "refused"
                                                                       : "uncertain");
  log_attempt("attempt_failed", why);
  history_.run_in_flight = false;
  const bool prefill_only = step_ == Step::kPrefill;
  if (outcome != AttemptOutcome::kNotSent) {
    ++history_.sends;
    history_.may_have_arrived = true;
  }
  // A prefill alone does not run the request.
  if (outcome == AttemptOutcome::kUncertain && !prefill_only) ++history_.may_have_run;
  // An engine that refuses a handle may still serve the request by prefilling the prompt itself.
  if (step_ == Step::kDecodeFromHandle) {
    prompt_handle_.clear();
    if (outcome != AttemptOutcome::kRefused) failed_engines_.push_back(engine_);
  } else {
    failed_engines_.push_back(engine_);
  }
  const bool crashed_again = outcome == AttemptOutcome::kUncertain && crashing_part_sent_;
  if (crashed_again || crash_limit_reached())
    return end_unanswered(why + ", and engines may have crashed under it");
  const AttemptVerdict verdict = after_failure(route_, history_);
  if (verdict != AttemptVerdict::kTryElsewhere) return end_unanswered(why);
  if (!within_budget()) return end_over_budget(why);
  dispatch();
}

void RelaySession::end_over_budget(const std::string& why) {
  context_.metrics.count_budget_exhausted(service_name_.value());
  end_unanswered(why + ", and the retry budget is spent");
}

void RelaySession::end_unanswered(const std::string& why) {
  if (known_not_run(history_) && !history_.head_forwarded) return refuse(why);
  fail(http_status::kBadGateway, why);
}

void RelaySession::refuse(const std::string& why) {
  const Duration retry_after = caller_retry_delay();
  retry_after_ms_ = whole_ms(retry_after);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(retry_after));
  log_attempt("refused", why);
  return_quota();
  respond(http_status::kServiceUnavailable, headers, "", "refused");
}

void RelaySession::fail(int status, const std::string& why) {
  log_attempt("failed", why);
  if (history_.head_forwarded) {
    responder_->abort();
    return end("broken_off");
  }
  if (failure_answer_) {
    HttpReply reply = std::move(*failure_answer_);
    return respond(reply.status, reply.headers, std::move(reply.body), kEngineFailure);
  }
  respond(status, {}, "", "failed");
}

void RelaySession::on_timeout() {
  if (ended_) return;
  report_late_result();
  cancel_transfer();
  if (known_not_run(history_) && !history_.head_forwarded) {
    return refuse("out of time");
  }
  fail(http_status::kGatewayTimeout, "out of time");
}

void RelaySession::abort() {
  on_timeout();
}

void RelaySession::on_caller_closed() {
  if (ended_) return;
  if (!transfer_ && known_not_run(history_)) return_quota();
  cancel_transfer();
  end("caller_gone");
}

void RelaySession::cancel_transfer() {
  if (!transfer_) return;
  report_unresponsive();
  context_.http.cancel(*transfer_);
  transfer_.reset();
  permit_.reset();  // Not released: the request may have reached the engine.
  if (std::exchange(history_.run_in_flight, false)) ++history_.may_have_run;
  release_engine();
}

void RelaySession::release_engine() {
  if (!std::exchange(attempt_counted_, false)) return;
  context_.engines.on_attempt_ended(engine_);
  if (std::exchange(on_trial_, false)) context_.quarantine.end_trial(causes_, engine_);
  if (prompt_) context_.notify_load_changed();
  if (!prefill_tokens_released_)
    context_.engines.on_prompt_read(engine_, {prefill_tokens_, deferred_});
  prefill_tokens_released_ = true;
}

void RelaySession::release_handle() {
  if (prompt_handle_.empty()) return;
  OutgoingRequest call =
      context_.dialect.release_handle_request(prompt_handle_address_, prompt_handle_);
  call.total_timeout = kReleaseTimeout;
  call.max_answer_bytes = kMaxCallAnswerBytes;
  context_.http.fetch(std::move(call), [](const auto&) {});
  prompt_handle_.clear();
}

void RelaySession::respond(int status, const HttpHeaders& headers, std::string body,
                           const std::string& result) {
  if (context_.dialect.promises_not_run(status)) {
    if (!known_not_run(history_)) return withhold_promise(status);
    context_.metrics.count_promise(service_name_.value(), "given");
  }
  HttpReply reply{status, headers, std::move(body)};
  const std::string& id_field = context_.dialect.names().request_id;
  if (!id_.empty() && reply.headers.count(id_field) == 0) reply.headers.add(id_field, id_);
  responder_->respond(std::move(reply));
  status_ = status;
  end(result);
}

/// Answers with a status that promises nothing. The engine's seal covers its own status only, so
/// nothing of its answer is passed on.
void RelaySession::withhold_promise(int status) {
  log_event(LogArea::kCallers, LogLevel::kWarning, "promise_withheld",
            {{"request", id_},
             {"status", status},
             {"engine", engine_.value()},
             {"may_have_run", history_.may_have_run},
             {"answered", history_.answered}});
  context_.metrics.count_promise(service_name_.value(), "withheld");
  respond(http_status::kBadGateway, {}, "", kEngineFailure);
}

void RelaySession::end(const std::string& result) {
  if (std::exchange(ended_, true)) return;
  timer_.reset();
  wait_timer_.reset();
  release_permit(decode_permit_);
  release_permit(permit_);
  release_engine();
  release_handle();
  context_.answer_memory.resize(std::exchange(buffered_bytes_, 0), 0);
  if (held_stream_) context_.streams.release(*held_stream_, result == kAnswered);
  if (!causes_.empty() && result != kAnswered) {
    context_.quarantine.on_attempt_failed(causes_.front().request);
  }
  const MonotonicTime now = context_.runtime.now();
  if (under_admission_control() && result == kAnswered) {
    context_.admission.on_slot_freed(now, service_name_);
  }
  report_served();
  context_.metrics.count_request(service_name_.value(), result, now - arrived_);
  log_event(LogArea::kCallers, LogLevel::kInfo, "request_ended",
            {{"request", id_},
             {"result", result},
             {"status", status_},
             {"route", route_.name},
             {"tenant", std::string(tenant_name())},
             {"config", table_->version()},
             {"engine", engine_.value()},
             {"stream", origin_ ? stream_id_ : std::string()},
             {"stream_software", origin_ ? origin_->version : std::string()},
             {"events", progress_.event_count()},
             {"sends", history_.sends},
             {"may_have_run", history_.may_have_run},
             {"identity",
              suspect_status().is_suspect() ? to_text(causes_.front().request) : std::string()},
             {"first_ms", whole_ms(progress_.first_event_delay(arrived_))},
             {"expected_first_ms", static_cast<std::int64_t>(expected_first_event_ms_)},
             {"gap_ms", whole_ms(progress_.longest_gap())},
             {"took_ms", whole_ms(now - arrived_)}});
  const auto handler = std::exchange(on_end_, nullptr);
  if (handler) handler();
}

}  // namespace shuntbank::relay
