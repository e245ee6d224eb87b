// What a relayed request does with the answer of the engine that has it.
#include <utility>

#include "net/http_status.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

/// Answers that are collected whole are bounded by this, in bytes.
constexpr std::size_t kMaxWholeAnswer = 8UL << 20U;

/// Bytes that wait for a slow caller before its engine is held up.
constexpr std::size_t kHighWater = 256UL << 10U;

/// An engine with less of its slots in use has no reason to refuse.
constexpr double kRoomShare = 0.5;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

bool RelaySession::belongs(const HttpHeaders& headers) const {
  const std::string_view echoed = headers.get(context_.dialect.names().request_id);
  return echoed.empty() || echoed == id_;
}

void RelaySession::on_headers(int status, const HttpHeaders& headers) {
  status_ = status;
  headers_ = headers;
  const MonotonicTime now = context_.runtime.now();
  heard_at_ = now;
  // The next start of an engine, at the same address, refuses what is meant for the one before:
  // that is no sign of life of that one.
  if (status != http_status::kMisdirected) context_.note_engine_answered(engine_, sent_at_);
  if (const auto load = context_.dialect.load(headers)) {
    context_.engines.on_load(now, engine_, *load);
  }
  refused_ = context_.dialect.refused(status, headers);
  const HeaderNames& names = context_.dialect.names();
  const bool echoed = headers.get(names.request_id) == id_;
  if (!echoed && !refused_) broken_ = true;
  const bool sealed = !headers.get(names.seal).empty();
  if (step_ != Step::kPrefill && is_success(status) && !sealed) broken_ = true;
  // A misdirected request is answered by another engine; what does not echo the id is not trusted.
  if (!broken_ && status != http_status::kMisdirected) {
    context_.listener.on_head(engine_, status, headers, id_);
  }
  if (step_ == Step::kPrefill) return;
  streaming_ = !broken_ && route_.kind == RouteKind::kStream && is_success(status);
  if (!streaming_ && !refused_) note_began();
}

bool RelaySession::on_data(std::string_view piece) {
  heard_at_ = context_.runtime.now();
  if (!streaming_) {
    overflow_ = overflow_ || collected_.size() + piece.size() > kMaxWholeAnswer;
    if (!overflow_) collected_ += piece;
    return true;
  }
  if (responder_->pending_bytes() > kHighWater) {
    responder_->on_drained([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->transfer_) self->context_.http.resume(*self->transfer_);
    });
    return false;
  }
  const bool usable = cutter_.feed(piece, [this](const RawEvent& event) { on_event(event); });
  broken_ = broken_ || !usable;
  return true;
}

/// Counted once, however many engines begin to run it.
void RelaySession::note_began() {
  if (tenant_ == nullptr || std::exchange(began_, true)) return;
  if (context_.began) context_.began(tenant_->name);
}

void RelaySession::on_event(const RawEvent& event) {
  if (broken_ || ended_) return;
  note_began();
  if (!unread_released_) {
    unread_released_ = true;
    context_.engines.on_read(engine_, {unread_, deferred_});
    if (prompt_) note_prompt_read();
    if (step_ == Step::kDecodeFromHandle) {
      context_.engines.model_of(service_name_)
          .on_handed_over(context_.runtime.now() - sent_at_, deferred_);
    }
  }
  if (!stream_.may_follow(event)) {
    broken_ = true;
    return;
  }
  if (!history_.head_forwarded) {
    begin_stream();
    context_.metrics.observe_first_event(service_name_.value(), context_.runtime.now() - arrived_);
  }
  const MonotonicTime now = context_.runtime.now();
  const auto pause = stream_.pass_on(now, event);
  if (pause) context_.engines.on_event_gap(now, engine_, *pause);
  responder_->write(event.bytes);
}

/// Parts that other requests share are told to the other nodes; the last one is this request's own.
void RelaySession::note_prompt_read() {
  context_.note_read(engine_, prompt_->parts);
  // Without an exchange nobody would ever take them.
  if (prompt_->parts.size() < 2 || !context_.load_changed) return;
  context_.reads.push_back({engine_, {prompt_->parts.begin(), prompt_->parts.end() - 1}});
  context_.note_load();
}

AttemptHealth RelaySession::refusal_health() const {
  if (status_ == http_status::kMisdirected) return AttemptHealth::kMisdirected;
  return step_ == Step::kDecodeFromHandle ? AttemptHealth::kHandleRefused : AttemptHealth::kBusy;
}

void RelaySession::note_health(AttemptHealth health) {
  context_.engines.on_health(context_.runtime.now(), engine_, health);
  const bool misdirected = health == AttemptHealth::kMisdirected;
  const EngineView* view = context_.engines.find(engine_);
  if (view == nullptr) return;
  const double there = view->requests_there(context_.runtime.now());
  const bool has_room = there < view->record.slots * kRoomShare;
  // An engine that rests is sent nothing that could be refused in a row. Its wait is for this node;
  // for the others it is a sign of load, which they may override.
  const bool rests = view->rests_until > context_.runtime.now();
  const bool again = view->refusals_in_a_row > 1;
  const bool refuses = health == AttemptHealth::kBusy && has_room && (rests || again);
  if (!misdirected && !refuses && health != AttemptHealth::kUnreachable) return;
  const TroubleKind kind = misdirected ? TroubleKind::kMisdirected : TroubleKind::kUnusable;
  context_.note_trouble({engine_, view->record.stage, kind});
}

void RelaySession::begin_stream() {
  history_.head_forwarded = true;
  responder_->begin_stream(status_, forwarded_answer_fields());
}

HttpHeaders RelaySession::forwarded_answer_fields() const {
  HttpHeaders fields = without_hop_by_hop_fields(headers_);
  for (const std::string& name : context_.dialect.names().from_engines_removed) fields.remove(name);
  return fields;
}

void RelaySession::on_done(const tl::expected<void, TransferError>& result) {
  if (ended_) return;
  transfer_.reset();
  release_engine();
  if (!result) return on_no_answer(result.error());
  permit_.reset();
  if (refused_) {
    note_health(refusal_health());
    return attempt_failed(AttemptOutcome::kRefused, "status " + std::to_string(status_));
  }
  if (broken_ || overflow_) {
    note_health(AttemptHealth::kFailed);
    return attempt_failed(AttemptOutcome::kUncertain, "the answer cannot be trusted");
  }
  if (step_ == Step::kPrefill) return on_prefill_answer();
  if (streaming_) return on_stream_end();
  on_whole_answer();
}

void RelaySession::on_no_answer(const TransferError& error) {
  const bool withdrawn = error.failure == TransferFailure::kWithdrawn;
  const bool not_sent = error.failure == TransferFailure::kNothingSent;
  if (withdrawn || not_sent) give_back(permit_);
  permit_.reset();
  // It may have another turn there.
  if (withdrawn && context_.permits.limited(engine_)) return set_out_again(engine_);
  if (!withdrawn) note_health(not_sent ? AttemptHealth::kUnreachable : AttemptHealth::kFailed);
  if (error.connection_refused) context_.note_engine_ended(engine_);
  if (withdrawn || not_sent) return attempt_failed(AttemptOutcome::kNotSent, error.message);
  note_broken();
  attempt_failed(AttemptOutcome::kUncertain, error.message);
}

void RelaySession::on_prefill_answer() {
  const auto handle = context_.dialect.prefill_answer(collected_);
  if (!is_success(status_) || !handle) {
    note_health(AttemptHealth::kFailed);
    return attempt_failed(AttemptOutcome::kUncertain, "the prompt was not read");
  }
  note_health(AttemptHealth::kGood);
  EngineView* view = context_.engines.find(engine_);
  if (view != nullptr) {
    learn_reading(alone_when_sent_ && view->in_flight == 0 && !deferred_);
    note_prompt_read();
    handle_address_ = view->record.address;
    handle_ = handle->handle;
  }
  if (!may_send_again()) return end_for_budget("the prompt was read");
  take_up_prompt();
}

/// Sends the request to an engine that goes on from what was read.
void RelaySession::take_up_prompt() {
  if (take_up_as_planned()) return;
  const auto decode = place_taker();
  if (!decode) return dispatch();
  if (handle_.empty()) {
    take(*decode);
    return send_permitted(decode->engine, Step::kPlain);
  }
  chosen_ = *decode;
  fetch_address_.clear();
  send_permitted(decode->engine, Step::kDecodeFromHandle);
}

void RelaySession::learn_reading(bool alone) {
  EngineModel& model = context_.engines.model_of(service_name_);
  const Duration took = context_.runtime.now() - sent_at_;
  if (fetch_address_.empty()) return model.on_prompt_read(unread_, took, alone);
  if (!alone) return;
  model.on_fetched(unread_, service_->model->move_ms(prompt_->prompt_tokens - unread_), took);
}

void RelaySession::on_stream_end() {
  if (cutter_.has_partial()) {
    note_health(AttemptHealth::kFailed);
    return attempt_failed(AttemptOutcome::kUncertain, "the stream ended inside an event");
  }
  note_health(AttemptHealth::kGood);
  if (const auto pause = stream_.mean_pause()) {
    context_.engines.model_of(service_name_).on_stream_pace(*pause);
  }
  if (identity_) context_.quarantine.on_answered(identity_->request);
  handle_.clear();
  if (!history_.head_forwarded) begin_stream();
  responder_->finish();
  end(kAnswered);
}

void RelaySession::on_whole_answer() {
  const MonotonicTime now = context_.runtime.now();
  const bool own_failure = status_ >= http_status::kInternalError;
  note_health(own_failure ? AttemptHealth::kFailed : AttemptHealth::kGood);
  context_.engines.on_latency(engine_, now - sent_at_);
  if (identity_) context_.quarantine.on_answered(identity_->request);
  if (own_failure && (route_.idempotent() || history_.head_forwarded)) {
    keep_failure_answer();
    return attempt_failed(AttemptOutcome::kUncertain, "status " + std::to_string(status_));
  }
  respond(status_, forwarded_answer_fields(), std::move(collected_), kAnswered);
}

void RelaySession::keep_failure_answer() {
  if (history_.head_forwarded) return;
  failure_answer_ = HttpReply{status_, forwarded_answer_fields(), std::move(collected_)};
}

}  // namespace shuntbank::relay
