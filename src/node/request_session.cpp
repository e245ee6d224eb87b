#include "node/request_session.hpp"

#include <utility>

#include "common/log.hpp"
#include "engine/engine_api.hpp"

namespace shuntbank {
namespace {

/// Bytes buffered for a caller above which the engine's stream is paused.
constexpr std::size_t kMaxPendingBytes = 64UL << 10U;

/// Maximum size of a reply that is not streamed, in bytes.
constexpr std::size_t kMaxReplyBodyBytes = 8UL << 20U;

constexpr std::size_t kMaxCancelReplyBytes = 64UL << 10U;

constexpr Duration kFailureRetryAfter = std::chrono::seconds(1);

bool is_success(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

RequestSession::RequestSession(ServingContext& context, SessionRequest request,
                               std::shared_ptr<HttpResponder> responder, EndHandler on_end)
    : context_(context),
      request_(std::move(request)),
      responder_(std::move(responder)),
      on_end_(std::move(on_end)),
      progress_(request_.id, request_.repeatable,
                static_cast<std::uint32_t>(context.settings.max_attempts)) {}

void RequestSession::on_disconnect_while_queued(std::function<void()> on_disconnect) {
  responder_->on_closed([weak = weak_from_this(), on_disconnect = std::move(on_disconnect)] {
    const auto self = weak.lock();
    if (!self) return;
    on_disconnect();
    self->end("caller_gone");
  });
}

void RequestSession::start() {
  started_ = true;
  context_.retry_budget.on_request();
  responder_->on_closed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_caller_gone();
  });
  deadline_timer_ =
      context_.runtime.after(request_.deadline - context_.runtime.now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->on_deadline();
      });
  if (request_.claim) return claim_then_dispatch();
  dispatch();
}

void RequestSession::claim_then_dispatch() {
  context_.claims.claim(*request_.claim, request_.id,
                        [self = shared_from_this()](ClaimVerdict verdict) {
                          if (self->ended_) {
                            // Nothing was dispatched, so the key can be released.
                            self->context_.claims.release(*self->request_.claim, self->request_.id);
                            return;
                          }
                          self->on_claim(verdict);
                        });
}

void RequestSession::on_claim(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return dispatch();
    case ClaimVerdict::kHeld:
      respond_error({ErrorCode::kAlreadyClaimed,
                     "a request with this idempotency key was accepted before",
                     RequestOutcome::kUnknown, std::nullopt});
      return end("refused");
    case ClaimVerdict::kUnavailable:
      respond_error({ErrorCode::kOverloaded, "the idempotency key cannot be checked now",
                     RequestOutcome::kNotRun, kFailureRetryAfter});
      return end("refused");
  }
}

void RequestSession::refuse(const CallerError& error) {
  respond_error(error);
  end("refused");
}

std::optional<EngineId> RequestSession::choose_engine(EngineRole role, bool any_role) {
  RouteQuery query;
  query.engines = &request_.snapshot->engines_of(request_.service);
  query.excluded_engines = &failed_engines_;
  query.prefix = role == EngineRole::kDecode ? nullptr : &request_.prefix;
  query.wanted_role = role;
  query.any_role = any_role;
  query.prompt_tokens = role == EngineRole::kDecode ? 0 : request_.prompt_tokens;
  query.zone = ZoneName(context_.settings.zone);
  return context_.router.choose(context_.runtime.now(), context_.engines, query);
}

bool RequestSession::choose_engines() {
  prefill_engine_.reset();
  auto mixed = choose_engine(EngineRole::kMixed, request_.plain);
  if (mixed) {
    answer_engine_ = *mixed;
    return true;
  }
  const auto prefill = choose_engine(EngineRole::kPrefill, false);
  const auto decode = choose_engine(EngineRole::kDecode, false);
  if (!prefill || !decode) return false;
  prefill_engine_ = prefill;
  answer_engine_ = *decode;
  return true;
}

void RequestSession::dispatch() {
  if (!choose_engines()) return abort_request(progress_.outcome_if_abandoned());
  progress_.begin_attempt();
  if (prefill_engine_) return send(*prefill_engine_, Step::kPrefill);
  send(answer_engine_, Step::kAnswer);
}

OutgoingRequest RequestSession::make_request(const EngineId& engine, Step step) const {
  OutgoingRequest outgoing;
  const Engine* declared = request_.snapshot->find_engine(engine);
  const std::string path = step == Step::kPrefill ? engine_api::kPrefillPath : request_.path;
  outgoing.method = request_.method;
  outgoing.url = "http://" + declared->address + path;
  outgoing.headers.add(engine_api::kRequestIdHeader, request_.id.value());
  outgoing.headers.add(engine_api::kAttemptIdHeader, progress_.current_attempt().value());
  outgoing.headers.add(engine_api::kPriorityHeader, std::to_string(request_.priority));
  if (!request_.content_type.empty()) outgoing.headers.add("Content-Type", request_.content_type);
  outgoing.body = request_.plain ? request_.raw_body : make_body(step);
  outgoing.idle_timeout = context_.settings.engine_idle_timeout;
  outgoing.fresh_connection = !request_.repeatable;
  return outgoing;
}

std::string RequestSession::make_body(Step step) const {
  nlohmann::json body = request_.body;
  if (request_.stream) body["stream_options"] = {{"include_usage", true}};
  if (step == Step::kPrefill) body["stream"] = false;
  if (step == Step::kAnswer && prefill_engine_) {
    const Engine* source = request_.snapshot->find_engine(*prefill_engine_);
    body["kv_import"] = {{"engine", source->address}, {"handle", kv_handle_}};
  }
  if (progress_.delivered() > 0) body["resume_from"] = progress_.delivered();
  return body.dump();
}

void RequestSession::send(const EngineId& engine, Step step) {
  step_ = step;
  current_engine_ = engine;
  status_ = 0;
  headers_ = HttpHeaders();
  reply_body_.clear();
  account_reply();
  stream_invalid_ = false;
  done_received_ = false;
  splitter_ = EventStreamSplitter();
  EngineEntry* entry = context_.engines.find(engine);
  if (entry != nullptr) {
    ++entry->in_flight;
    const bool includes_prefill = step == Step::kPrefill || !prefill_engine_;
    if (includes_prefill) entry->in_flight_prefill_tokens += request_.prompt_tokens;
    if (includes_prefill) entry->cached_prefixes.insert(request_.prefix);
  }
  const auto self = shared_from_this();
  TransferHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->on_headers(status, headers);
  };
  handlers.on_data = [self](std::string_view piece) { return self->on_data(piece); };
  handlers.on_done = [self](const auto& result) { self->on_done(result); };
  transfer_ = context_.http.start(make_request(engine, step), std::move(handlers));
}

void RequestSession::on_headers(int status, const HttpHeaders& headers) {
  status_ = status;
  headers_ = headers;
  const auto load = engine_api::load_from_header(std::string(headers.get(engine_api::kLoadHeader)));
  if (load) context_.engines.on_load_report(context_.runtime.now(), *current_engine_, *load);
}

bool RequestSession::on_data(std::string_view piece) {
  const bool relayed = request_.stream && step_ == Step::kAnswer && status_ == 200;
  if (!relayed) {
    if (!buffer_reply(piece)) reject_answer("the reply is too large");
    return true;
  }
  if (responder_->pending_bytes() > kMaxPendingBytes) {
    responder_->on_drained([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->transfer_) self->context_.http.resume(*self->transfer_);
    });
    return false;
  }
  const bool well_formed =
      splitter_.feed(piece, [this](const ServerSentEvent& event) { on_event(event); });
  if (!well_formed || stream_invalid_) reject_answer("the stream is malformed");
  return true;
}

/// @return whether the reply may have that size.
bool RequestSession::buffer_reply(std::string_view piece) {
  if (reply_body_.size() + piece.size() > kMaxReplyBodyBytes) return false;
  reply_body_ += piece;
  return account_reply();
}

/// @return see `AnswerMemory::resize`.
bool RequestSession::account_reply() {
  const std::size_t size = reply_body_.size();
  return context_.answer_memory.resize(std::exchange(buffered_bytes_, size), size);
}

/// Closes the connection at once, as more bytes may follow without end.
void RequestSession::reject_answer(const char* why) {
  log_event(LogArea::kCallers, LogLevel::kInfo, "answer_rejected",
            {{"request", request_.id.value()}, {"engine", current_engine_->value()}, {"why", why}});
  cancel_transfer();
  on_attempt_failed(AttemptFailure::kUncertain);
}

void RequestSession::on_event(const ServerSentEvent& event) {
  if (stream_invalid_ || done_received_) return;
  const auto place = parse_chunk_id(event.id);
  if (event.data == kDoneMarker) {
    // Accepted only from the current attempt and after all chunks were delivered.
    const bool from_current_attempt = place && place->attempt == progress_.current_attempt();
    done_received_ = from_current_attempt && place->index == progress_.delivered();
    stream_invalid_ = !done_received_;
    return;
  }
  if (place) return deliver_chunk(event, *place);
  // The usage event has no chunk ID; it is relayed only if requested.
  if (request_.wants_usage && stream_started_) {
    responder_->write("data: " + std::string(event.data) + "\n\n");
  }
}

void RequestSession::deliver_chunk(const ServerSentEvent& event, const ChunkId& place) {
  switch (progress_.accept_chunk(place.attempt, place.index)) {
    case ChunkVerdict::kDrop:
      context_.metrics.count_dropped_chunk();
      return;
    case ChunkVerdict::kGap:
      stream_invalid_ = true;
      return;
    case ChunkVerdict::kDeliver:
      break;
  }
  if (!std::exchange(first_token_recorded_, true)) {
    const double seconds = to_seconds(context_.runtime.now() - request_.arrived_at);
    context_.metrics.observe_first_token(request_.service.value(), seconds);
    EngineEntry* entry = context_.engines.find(*current_engine_);
    if (entry != nullptr && !prefill_engine_) {
      entry->in_flight_prefill_tokens -=
          std::min(entry->in_flight_prefill_tokens, request_.prompt_tokens);
    }
  }
  begin_stream();
  context_.metrics.count_chunks(1);
  std::string text;
  text.reserve(event.data.size() + 8);
  text.append("data: ").append(event.data).append("\n\n");
  responder_->write(text);
}

void RequestSession::begin_stream() {
  if (std::exchange(stream_started_, true)) return;
  responder_->begin_stream(200, {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-cache"},
                                 {engine_api::kRequestIdHeader, request_.id.value()}});
}

void RequestSession::on_done(const tl::expected<void, TransferError>& result) {
  if (ended_) return;
  transfer_.reset();
  release_engine();
  if (!result) {
    const bool nothing_sent = result.error().failure == TransferFailure::kNothingSent;
    return on_attempt_failed(nothing_sent ? AttemptFailure::kNothingSent
                                          : AttemptFailure::kUncertain);
  }
  const bool marked_not_run = headers_.get(engine_api::kOutcomeHeader) == engine_api::kNotRun;
  if (!is_success(status_) && marked_not_run && status_ != 400) {
    return on_attempt_failed(AttemptFailure::kRefused);
  }
  if (status_ == 400 && marked_not_run) {
    respond_error({ErrorCode::kInvalidRequest, "the engine refused the request",
                   RequestOutcome::kNotRun, std::nullopt});
    return end("refused");
  }
  if (!request_.plain && !is_success(status_)) return on_attempt_failed(AttemptFailure::kUncertain);
  if (step_ == Step::kPrefill) return on_prefill_done();
  if (request_.stream) return on_stream_end();
  on_complete_answer();
}

void RequestSession::on_prefill_done() {
  auto handle = engine_api::handle_from_prefill_answer(reply_body_);
  if (!handle) return on_attempt_failed(AttemptFailure::kUncertain);
  context_.engines.on_success(*prefill_engine_);
  progress_.on_partial_run();
  kv_handle_ = std::move(*handle);
  send(answer_engine_, Step::kAnswer);
}

void RequestSession::on_stream_end() {
  if (stream_invalid_ || !done_received_) return on_attempt_failed(AttemptFailure::kUncertain);
  begin_stream();
  responder_->write("data: [DONE]\n\n");
  responder_->finish();
  context_.engines.on_success(*current_engine_);
  context_.metrics.count_attempt(request_.service.value(), "ok");
  end("ok");
}

void RequestSession::on_complete_answer() {
  const bool from_current_attempt =
      headers_.get(engine_api::kAttemptIdHeader) == progress_.current_attempt().value();
  // An answer with another attempt ID does not belong to the current attempt.
  if (!from_current_attempt) return on_attempt_failed(AttemptFailure::kUncertain);
  HttpReply reply;
  reply.status = status_;
  reply.headers.add("Content-Type", std::string(headers_.get("Content-Type")));
  reply.headers.add(engine_api::kRequestIdHeader, request_.id.value());
  reply.body = std::move(reply_body_);
  responder_->respond(std::move(reply));
  context_.engines.on_success(*current_engine_);
  context_.metrics.count_attempt(request_.service.value(), "ok");
  if (!std::exchange(first_token_recorded_, true)) {
    const double seconds = to_seconds(context_.runtime.now() - request_.arrived_at);
    context_.metrics.observe_first_token(request_.service.value(), seconds);
  }
  end("ok");
}

void RequestSession::on_attempt_failed(AttemptFailure failure) {
  const bool refused = failure == AttemptFailure::kRefused;
  context_.metrics.count_attempt(request_.service.value(), refused ? "refused" : "failed");
  context_.engines.on_failure(context_.runtime.now(), *current_engine_);
  failed_engines_.push_back(*current_engine_);
  const bool may_retry = context_.retry_budget.try_withdraw();
  if (may_retry && failure != AttemptFailure::kUncertain && retry_decode()) return;
  const FailureDecision decision = progress_.on_attempt_failed(failure, may_retry);
  log_event(LogArea::kCallers, LogLevel::kInfo, "attempt_failed",
            {{"request", request_.id.value()},
             {"engine", current_engine_->value()},
             {"refused", refused},
             {"retry", std::holds_alternative<Redispatch>(decision)}});
  if (std::holds_alternative<Redispatch>(decision)) return dispatch();
  abort_request(std::get<AbortRequest>(decision).outcome);
}

bool RequestSession::retry_decode() {
  // The KV cache of the prefill is still available, so another engine can continue the same run.
  if (step_ != Step::kAnswer || !prefill_engine_) return false;
  if (failed_engines_.size() >= context_.settings.max_attempts) return false;
  const auto decode = choose_engine(EngineRole::kDecode, false);
  if (!decode || *decode == *current_engine_) return false;
  answer_engine_ = *decode;
  send(answer_engine_, Step::kAnswer);
  return true;
}

void RequestSession::abort_request(RequestOutcome outcome) {
  const bool not_run = outcome == RequestOutcome::kNotRun;
  respond_error({not_run ? ErrorCode::kNoEngine : ErrorCode::kEngineFailed,
                 not_run ? "no engine could take the request" : "the engine failed", outcome,
                 kFailureRetryAfter});
  if (not_run && request_.claim) context_.claims.release(*request_.claim, request_.id);
  end(to_text(outcome));
}

void RequestSession::respond_error(const CallerError& error) {
  if (stream_started_) {
    responder_->write("data: " + to_event_data(error) + "\n\n");
    return responder_->finish();
  }
  HttpReply reply = to_reply(error);
  reply.headers.add(engine_api::kRequestIdHeader, request_.id.value());
  responder_->respond(std::move(reply));
}

void RequestSession::release_engine() {
  EngineEntry* entry = current_engine_ ? context_.engines.find(*current_engine_) : nullptr;
  if (entry == nullptr) return;
  if (entry->in_flight > 0) --entry->in_flight;
  const bool includes_prefill = step_ == Step::kPrefill || !prefill_engine_;
  if (includes_prefill && !first_token_recorded_) {
    entry->in_flight_prefill_tokens -=
        std::min(entry->in_flight_prefill_tokens, request_.prompt_tokens);
  }
}

void RequestSession::on_deadline() {
  if (ended_) return;
  const RequestOutcome outcome = progress_.outcome_if_abandoned();
  cancel_transfer();
  respond_error(
      {ErrorCode::kDeadline, "the request took longer than is allowed", outcome, std::nullopt});
  end(to_text(outcome));
}

void RequestSession::on_caller_gone() {
  if (ended_) return;
  cancel_transfer();
  end("caller_gone");
}

void RequestSession::cancel_transfer() {
  if (!transfer_) return;
  // Cancels explicitly too, as the closed connection may not reach an engine behind a queue.
  context_.http.cancel(*transfer_);
  transfer_.reset();
  release_engine();
  if (request_.plain) return;
  OutgoingRequest cancel;
  cancel.method = "POST";
  cancel.url = "http://" + request_.snapshot->find_engine(*current_engine_)->address +
               engine_api::kCancelPath;
  cancel.body = nlohmann::json{{"attempt", progress_.current_attempt().value()}}.dump();
  cancel.total_timeout = std::chrono::seconds(2);
  cancel.max_answer_bytes = kMaxCancelReplyBytes;
  context_.http.fetch(std::move(cancel), [](const auto&) {});
}

double RequestSession::tokens_used() const {
  if (!started_ || progress_.attempts() == 0) return 0;
  const std::uint32_t output = request_.stream ? progress_.delivered() : request_.max_output_tokens;
  return static_cast<double>(request_.prompt_tokens) + output;
}

void RequestSession::end(const std::string& result) {
  if (std::exchange(ended_, true)) return;
  deadline_timer_.reset();
  reply_body_.clear();
  reply_body_.shrink_to_fit();
  account_reply();
  context_.metrics.count_request(request_.service.value(), result);
  const auto handler = std::exchange(on_end_, nullptr);
  if (handler) handler({result, started_, tokens_used()});
}

}  // namespace shuntbank
