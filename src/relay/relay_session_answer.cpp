// Handling of an engine's answer to a relayed request.
#include <utility>

#include "net/http_status.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

/// Bytes pending for a slow caller above which reading from the engine pauses.
constexpr std::size_t kHighWatermark = 256UL << 10U;

/// An engine with a smaller share of its slots in use is not expected to refuse.
constexpr double kSpareCapacityShare = 0.5;

/// A reported slowdown of at least this is passed on at once.
constexpr std::uint32_t kReportedSlowdownPercent = 150;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

/// @return whether only the end of the connection ends the body of an answer with these fields, so
/// that one which was cut looks the same.
bool ends_with_connection(const HttpHeaders& headers) {
  return headers.count("Content-Length") == 0 && headers.count("Transfer-Encoding") == 0;
}

}  // namespace

/// @return whether the answer names this request, or none; `on_headers` tells these apart.
bool RelaySession::is_own_answer(const HttpHeaders& headers) const {
  const std::string_view echoed = headers.get(context_.dialect.names().request_id);
  return echoed.empty() || echoed == id_;
}

void RelaySession::on_headers(int status, const HttpHeaders& headers) {
  const HeaderNames& names = context_.dialect.names();
  if (!is_success(status)) log_engine_answer(status, headers);
  if (headers.get(names.request_id) != id_) return on_unnamed_answer();
  status_ = status;
  headers_ = headers;
  const MonotonicTime now = context_.runtime.now();
  last_activity_at_ = now;
  if (tunnel_) {
    context_.paths.on_tunnel_used(*tunnel_);
  } else {
    context_.paths.on_answer(engine_);
  }
  // The next incarnation at the same address refuses requests for the previous one, so 421 does
  // not show that the previous one is alive.
  if (status != http_status::kMisdirected) context_.on_engine_answered(engine_, sent_at_);
  if (const auto load = context_.dialect.parse_load(headers)) {
    context_.engines.on_load(now, engine_, *load);
    // Other nodes do not hear of it in time if it waits for the end of the stream.
    if (load->slowdown >= kReportedSlowdownPercent) {
      EngineSamples samples;
      samples.slowdown_percent = load->slowdown;
      context_.queue_samples(engine_, samples);
    }
  }
  refused_ = context_.dialect.is_refusal(status, headers);
  const bool sealed = !headers.get(names.seal).empty();
  if (step_ != Step::kPrefill && is_success(status) && !sealed) {
    return reject_answer("no_seal", "the answer is not sealed");
  }
  // A 421 comes from another engine.
  if (status != http_status::kMisdirected) {
    context_.listener.on_response_head(engine_, status, headers, id_);
  }
  if (step_ == Step::kPrefill) return;
  streaming_ = route_.kind == RouteKind::kStream && is_success(status);
  if (!streaming_ && !refused_) report_started();
}

/// Engines name the request in each answer. Bytes that do not may come before the answer, so the
/// request may still run, and what they say of the engine is not trusted.
void RelaySession::on_unnamed_answer() {
  reject_answer("no_request_id", "the answer names no request");
}

/// Closes the connection at once, as more bytes may follow without end. Whatever the head says,
/// what is no whole answer leaves open whether the request runs.
void RelaySession::reject_answer(const char* reason, const std::string& why) {
  context_.http.cancel(*transfer_);
  transfer_.reset();
  permit_.reset();
  release_engine();
  report_health(AttemptHealth::kFailed);
  context_.metrics.count_answer_rejected(reason);
  on_attempt_failed(AttemptOutcome::kUncertain, why);
}

bool RelaySession::on_data(std::string_view piece) {
  last_activity_at_ = context_.runtime.now();
  if (!tunnel_) context_.paths.on_answer(engine_);
  if (!streaming_) {
    received_bytes_ += piece.size();
    buffer_answer(piece);
    return true;
  }
  if (responder_->pending_bytes() > kHighWatermark) {
    forwarding_paused_ = true;
    responder_->on_drained([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->transfer_) self->context_.http.resume(*self->transfer_);
    });
    return false;
  }
  received_bytes_ += piece.size();
  const bool event_fits = splitter_.feed(piece, [this](const RawEvent& event) { on_event(event); });
  if (ended_) return true;
  const bool memory_left = account_buffers();
  if (out_of_order_) {
    reject_answer("event_order", "an event is out of order");
  } else if (!event_fits) {
    reject_answer("event_too_large", "an event is too large");
  } else if (!memory_left) {
    reject_answer("memory", "the memory for answers is used up");
  }
  return true;
}

void RelaySession::buffer_answer(std::string_view piece) {
  const AnswerLimits& limits = context_.settings.answers;
  const bool is_short = refused_ || step_ == Step::kPrefill;
  if (body_.size() + piece.size() > (is_short ? limits.max_short_answer : limits.max_answer)) {
    return reject_answer("body_too_large", "the answer is too large");
  }
  body_ += piece;
  if (!account_buffers()) reject_answer("memory", "the memory for answers is used up");
}

/// @return see `AnswerMemory::resize`.
bool RelaySession::account_buffers() {
  const std::size_t kept = failure_answer_ ? failure_answer_->body.size() : 0;
  const std::size_t size = body_.size() + splitter_.partial_size() + kept;
  return context_.answer_memory.resize(std::exchange(buffered_bytes_, size), size);
}

/// Reports the start once, however many engines run the request.
void RelaySession::report_started() {
  if (tenant_ == nullptr || std::exchange(started_, true)) return;
  if (context_.request_started) context_.request_started(tenant_->name);
}

void RelaySession::on_event(const RawEvent& event) {
  if (out_of_order_ || ended_) return;
  report_started();
  if (!prefill_tokens_released_) {
    prefill_tokens_released_ = true;
    context_.engines.on_prompt_read(engine_, {prefill_tokens_, deferred_});
    if (prompt_) {
      report_prompt_read();
      observe_expectation(step_ == Step::kDecodeFromHandle ? "handover" : "whole",
                          to_ms(context_.runtime.now() - sent_at_), expected_step_ms_);
    }
    if (step_ == Step::kDecodeFromHandle) update_handover_model();
  }
  if (!progress_.in_order(event)) {
    out_of_order_ = true;
    return;
  }
  if (!history_.head_forwarded) {
    bind_stream();
    begin_stream();
    report_late_result();
    const Duration elapsed = context_.runtime.now() - arrived_;
    context_.metrics.observe_first_event(service_name_.value(), elapsed);
    if (prompt_) observe_expectation("first_event", to_ms(elapsed), expected_first_event_ms_);
  }
  const MonotonicTime now = context_.runtime.now();
  const auto gap = progress_.on_forwarded(now, event);
  if (gap) context_.engines.on_event_interval(now, engine_, *gap);
  responder_->write(event.bytes);
}

/// Reports the parts that other requests may share; the last part is specific to this request.
void RelaySession::report_prompt_read() {
  context_.on_prompt_read({engine_, prompt_->parts, 0});
  // Without a load exchange the queue would never be emptied.
  if (prompt_->parts.size() < 2 || !context_.load_changed) return;
  context_.pending_prompt_reads.push_back(
      {engine_, {prompt_->parts.begin(), prompt_->parts.end() - 1}, prompt_->parts.back().tokens});
  context_.notify_load_changed();
}

AttemptHealth RelaySession::refusal_health() const {
  if (status_ == http_status::kMisdirected) return AttemptHealth::kMisdirected;
  return step_ == Step::kDecodeFromHandle ? AttemptHealth::kHandleRefused : AttemptHealth::kBusy;
}

void RelaySession::report_health(AttemptHealth health) {
  context_.engines.on_attempt_health(context_.runtime.now(), engine_, health);
  const bool misdirected = health == AttemptHealth::kMisdirected;
  const EngineView* view = context_.engines.find(engine_);
  if (view == nullptr) return;
  const double load = view->total_requests(context_.runtime.now());
  const bool has_capacity = load < view->record.slots * kSpareCapacityShare;
  // An engine in cooldown gets no further requests, so one refusal counts as repeated. The cooldown
  // binds this node only; other nodes treat it as a hint.
  const bool in_cooldown = view->cooldown_until > context_.runtime.now();
  const bool repeated = view->consecutive_refusals > 1;
  const bool refuses_with_capacity =
      health == AttemptHealth::kBusy && has_capacity && (in_cooldown || repeated);
  if (!misdirected && !refuses_with_capacity) return;
  const TroubleKind kind = misdirected ? TroubleKind::kMisdirected : TroubleKind::kUnusable;
  context_.queue_trouble({engine_, view->record.stage, kind});
}

/// @param confirmed see `EnginePaths::confirmed`.
void RelaySession::report_unreachable(bool confirmed) {
  report_health(AttemptHealth::kUnreachable);
  const EngineView* view = context_.engines.find(engine_);
  if (!confirmed || view == nullptr) return;
  context_.queue_trouble({engine_, view->record.stage, TroubleKind::kUnusable});
}

void RelaySession::begin_stream() {
  history_.head_forwarded = true;
  responder_->begin_stream(status_, forwarded_answer_fields());
}

HttpHeaders RelaySession::forwarded_answer_fields() const {
  HttpHeaders fields = without_hop_by_hop_fields(headers_);
  for (const std::string& name : context_.dialect.names().stripped_from_answers)
    fields.remove(name);
  return fields;
}

void RelaySession::on_done(const tl::expected<void, TransferError>& result) {
  if (ended_) return;
  transfer_.reset();
  history_.run_in_flight = false;
  release_engine();
  if (!result) return on_transfer_failed(result.error());
  permit_.reset();
  if (refused_) {
    const std::string status = "status " + std::to_string(status_);
    // The notice already keeps new work away for as long as the engine needs.
    if (context_.engines.refusal_announced(context_.runtime.now(), engine_, sent_stage_)) {
      return on_attempt_failed(AttemptOutcome::kRefused, status + ", announced stage change");
    }
    report_health(refusal_health());
    return on_attempt_failed(AttemptOutcome::kRefused, status);
  }
  if (step_ == Step::kPrefill) return on_prefill_answer();
  if (streaming_) return on_stream_end();
  on_complete_answer();
}

void RelaySession::on_transfer_failed(const TransferError& error) {
  const bool withdrawn = error.failure == TransferFailure::kWithdrawn;
  const bool not_sent = error.failure == TransferFailure::kNothingSent;
  if (withdrawn || not_sent) refund_send();
  if (not_sent && retry_on_other_path(error)) return;
  if (withdrawn || not_sent) release_permit(permit_);
  permit_.reset();
  // A withdrawn send may get another permit at the same engine.
  if (withdrawn && context_.permits.limited(engine_)) return redispatch(engine_);
  if (error.defect != AnswerDefect::kNone) {
    context_.metrics.count_answer_rejected(to_text(error.defect));
  }
  if (not_sent) on_engine_unreachable();
  if (withdrawn || not_sent) return on_attempt_failed(AttemptOutcome::kNotSent, error.message);
  report_health(AttemptHealth::kFailed);
  report_interruption();
  on_attempt_failed(AttemptOutcome::kUncertain, error.message);
}

void RelaySession::on_prefill_answer() {
  const auto handle = context_.dialect.parse_prefill_answer(body_);
  if (!is_success(status_) || !handle) {
    report_health(AttemptHealth::kFailed);
    return on_attempt_failed(AttemptOutcome::kUncertain, "the prefill failed");
  }
  report_health(AttemptHealth::kGood);
  EngineView* view = context_.engines.find(engine_);
  observe_expectation("prefill", to_ms(context_.runtime.now() - sent_at_), expected_step_ms_);
  if (view != nullptr) {
    update_prefill_model(idle_when_sent_ && view->in_flight == 0 && !deferred_);
    report_prefill_sample();
    report_prompt_read();
    prompt_handle_address_ = view->record.address;
    prompt_handle_ = handle->handle;
  }
  if (!within_budget()) return end_over_budget("the prompt was prefilled");
  start_decode();
}

/// Sends the request to a decode engine that continues from the prefilled prompt.
void RelaySession::start_decode() {
  if (start_planned_decode()) return;
  const auto decode = place_decode();
  if (!decode) return dispatch();
  if (prompt_handle_.empty()) {
    use_placement(*decode);
    return send_with_permit(decode->engine, Step::kPlain);
  }
  placement_ = *decode;
  fetch_address_.clear();
  send_with_permit(decode->engine, Step::kDecodeFromHandle);
}

void RelaySession::on_stream_end() {
  if (splitter_.has_partial()) {
    report_health(AttemptHealth::kFailed);
    return on_attempt_failed(AttemptOutcome::kUncertain, "the stream ended inside an event");
  }
  // Each run of a stream has events. An engine that stops after its head closes the same way.
  if (received_bytes_ == 0 && ends_with_connection(headers_)) {
    report_health(AttemptHealth::kFailed);
    return on_attempt_failed(AttemptOutcome::kUncertain, "the stream ended before its first event");
  }
  report_health(AttemptHealth::kGood);
  if (service_->model)
    context_.engines.model_of(service_name_).on_stream_ended(context_.runtime.now() - sent_at_);
  if (const auto gap = progress_.mean_gap()) {
    context_.engines.model_of(service_name_).on_event_interval(*gap);
  }
  report_stream_sample();
  report_completed();
  prompt_handle_.clear();
  if (!history_.head_forwarded) begin_stream();
  responder_->finish();
  end(kAnswered);
}

void RelaySession::on_complete_answer() {
  const MonotonicTime now = context_.runtime.now();
  // A status that promises that nothing ran, from an engine that does not say so.
  const bool false_promise = context_.dialect.promises_not_run(status_);
  const bool engine_failure = status_ >= http_status::kInternalError || false_promise;
  history_.answered = true;
  report_health(engine_failure ? AttemptHealth::kFailed : AttemptHealth::kGood);
  context_.engines.on_latency(engine_, now - sent_at_);
  report_completed();
  if ((engine_failure && route_.idempotent()) || history_.head_forwarded) {
    save_failure_answer();
    return on_attempt_failed(AttemptOutcome::kUncertain, "status " + std::to_string(status_));
  }
  respond(status_, forwarded_answer_fields(), std::move(body_), kAnswered);
}

void RelaySession::save_failure_answer() {
  if (history_.head_forwarded) return;
  failure_answer_ = HttpReply{status_, forwarded_answer_fields(), std::move(body_)};
}

}  // namespace shuntbank::relay
