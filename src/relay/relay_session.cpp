#include "relay/relay_session.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

/// Time below which another engine cannot answer any more.
constexpr Duration kLeastUsefulTime = std::chrono::milliseconds(20);

/// Range of the urgency that engines take.
constexpr int kMostUrgent = 0;
constexpr int kLeastUrgent = 9;

constexpr Duration kReleaseTimeout = std::chrono::seconds(1);

std::optional<std::int64_t> whole_number(std::string_view text) {
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
    if (const auto self = weak.lock()) self->caller_gone();
  });
  if (!read_fields() || held_back()) return;
  context_.budgets.of(service_name_).on_request(arrived_);
  timer_ = context_.runtime.after(expires_ - arrived_, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_timeout();
  });
  dispatch();
}

bool RelaySession::read_fields() {
  const HeaderNames& names = context_.dialect.names();
  const bool one_id = request_.headers.count(names.request_id) == 1;
  id_ = std::string(request_.headers.get(names.request_id));
  if (!one_id || id_.empty() || request_.headers.count(names.deadline_ms) > 1) {
    respond(http_status::kBadRequest, {}, "one request id is needed, and one deadline at most\n",
            "bad_request");
    return false;
  }
  expires_ = arrived_ + route_.timeout;
  const auto deadline = whole_number(request_.headers.get(names.deadline_ms));
  if (deadline) {
    expires_ = std::min(expires_, arrived_ + Duration(std::chrono::milliseconds(*deadline)));
  }
  if (service_ != nullptr && service_->model) prompt_ = context_.dialect.prompt(request_.headers);
  for (const std::string& name : names.from_callers_removed) request_.headers.remove(name);
  request_.headers = without_hop_by_hop_fields(std::move(request_.headers));
  request_.headers.remove(names.deadline_ms);
  const auto resumed = whole_number(request_.headers.get(names.last_event_id));
  if (resumed && *resumed >= 0) stream_.resume_behind(static_cast<std::uint64_t>(*resumed));
  return true;
}

Duration RelaySession::time_left() const {
  return expires_ - context_.runtime.now();
}

std::uint32_t RelaySession::connections_per_engine() const {
  if (service_ == nullptr || service_->max_connections == 0) return 0;
  const double part = service_->max_connections / context_.settings.expected_nodes;
  return std::max(1U, static_cast<std::uint32_t>(part));
}

PlacementQuery RelaySession::placement_query() const {
  PlacementQuery query;
  query.service = service_;
  query.prompt = prompt_ ? &*prompt_ : nullptr;
  query.zone = context_.settings.zone;
  query.engines_may_keep_more = !context_.settings.first_start;
  query.avoid = &met_;
  query.max_connections_here = connections_per_engine();
  query.apart_from = apart_from_.empty() ? nullptr : &apart_from_;
  query.may_end_engine = runs_apart();
  const Duration to_objective = arrived_ + route_.objective - context_.runtime.now();
  query.most_expected_ms = to_ms(std::min(to_objective, time_left()));
  return query;
}

/// @return the engine that takes a prompt up which was read elsewhere.
std::optional<Placement> RelaySession::place_taker() {
  keep_apart();
  PlacementQuery query = placement_query();
  query.stage = EngineStage::kDecode;
  return place(context_.runtime.now(), context_.engines, query, context_.settings.placement);
}

/// Sends the request where the choice says. @return false when no engine can be chosen.
bool RelaySession::choose() {
  if (service_ == nullptr) return false;
  keep_apart();
  auto choice = choice_now();
  if (!choice && !apart_from_.empty() && !runs_apart()) {
    apart_from_.clear();
    choice = choice_now();
  }
  if (!choice) return false;
  deferred_ = choice->deferred;
  expected_ms_ = choice->expected_ms;
  take(choice->placement);
  if (choice->read_first) {
    read_first(*choice);
  } else {
    send_permitted(choice->placement.engine, Step::kPlain);
  }
  return true;
}

DispatchQuery RelaySession::dispatch_query() const {
  DispatchQuery query;
  query.placement = placement_query();
  // The fewer engines have to do with it the better.
  query.prompt_sent = history_.prompt_sent || query.placement.may_end_engine;
  query.extra = history_.arrived;
  query.budget = budget_left() - (history_.arrived ? 1 : 0);
  query.gap_target = route_.gap_target;
  query.time_to_objective = arrived_ + route_.objective - context_.runtime.now();
  return query;
}

std::optional<DispatchChoice> RelaySession::choice_now() {
  return choose_dispatch(context_.runtime.now(), context_.engines, dispatch_query(),
                         context_.settings.placement, context_.settings.prefill);
}

void RelaySession::take(const Placement& placement) {
  chosen_ = placement;
  unread_ = placement.unread_tokens;
  fetch_address_.clear();
  const EngineView* source =
      placement.fetch_from ? context_.engines.find(*placement.fetch_from) : nullptr;
  if (source != nullptr) fetch_address_ = source->record.address;
}

void RelaySession::dispatch() {
  give_back(taker_permit_);
  if (time_left() < kLeastUsefulTime) return on_timeout();
  if (choose() || waits_for_return()) return;
  if (failure_answer_ || history_.head_forwarded || !may_promise_not_run(history_)) {
    return fail(http_status::kBadGateway, "no other engine");
  }
  refuse("no engine");
}

OutgoingRequest RelaySession::outgoing(const EngineRecord& record, Step step) const {
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
    outgoing.headers.add(names.urgency, std::to_string(urgency()));
  }
  if (step == Step::kPrefill) {
    outgoing.headers.add(names.stage, context_.dialect.prefill_stage());
  }
  if (step == Step::kDecodeFromHandle) {
    outgoing.headers.add(names.prompt_source,
                         context_.dialect.prompt_source(handle_address_, handle_));
  }
  if (!fetch_address_.empty()) outgoing.headers.add(names.fetch_from, fetch_address_);
  if (!stream_.last_id_text().empty()) {
    outgoing.headers.remove(names.last_event_id);
    outgoing.headers.add(names.last_event_id, stream_.last_id_text());
  }
  outgoing.body = request_.body;
  outgoing.connect_timeout = std::min(context_.settings.connect_timeout, time_left());
  // The engine may say that it wants no more while the connection to it is made.
  outgoing.still_wanted = [&context = context_, engine = record.id, permit = permit_] {
    const MonotonicTime now = context.runtime.now();
    return !context.engines.notices().wants_none(now, engine) &&
           context.permits.may_send(engine, permit);
  };
  outgoing.accepts_answer = [weak = weak_from_this()](int, const HttpHeaders& headers) {
    const auto self = weak.lock();
    return !self || self->belongs(headers);
  };
  return outgoing;
}

std::string_view RelaySession::tenant_name() const {
  return tenant_ == nullptr ? std::string_view() : std::string_view(tenant_->name.value());
}

/// Requests that cannot be in time any more hold up none that can.
int RelaySession::urgency() const {
  const int own =
      tenant_ == nullptr ? route_.priority : tenant_->priority.value_or(route_.priority);
  return deferred_ ? kLeastUrgent : std::clamp(own, kMostUrgent, kLeastUrgent - 1);
}

void RelaySession::send(const EngineId& engine, Step step) {
  const EngineView* view = context_.engines.find(engine);
  step_ = step;
  engine_ = engine;
  status_ = 0;
  headers_ = HttpHeaders();
  refused_ = false;
  streaming_ = false;
  collected_.clear();
  overflow_ = false;
  broken_ = false;
  cutter_.clear();
  unread_released_ = false;
  engine_held_ = true;
  sent_at_ = context_.runtime.now();
  heard_at_ = sent_at_;
  if (crash_standing().suspect()) {
    on_trial_ = true;
    context_.quarantine.begin_trial(identity_->request, engine);
  }
  if (step == Step::kDecodeFromHandle) unread_ = 0;
  if (service_->model) context_.engines.set_memory(engine, service_->model->kv_tokens);
  count_send(step == Step::kPrefill);
  alone_when_sent_ = view->requests_there(sent_at_) < 0.5;
  context_.engines.on_sent(engine, {unread_, deferred_});
  if (prompt_) context_.note_load();
  if (step == Step::kPrefill) context_.engines.on_prompt_sent(unread_);
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
  transfer_ = context_.http.start(outgoing(view->record, step), std::move(handlers));
}

bool RelaySession::may_send_again() const {
  return !history_.arrived || budget_left() >= 1;
}

double RelaySession::budget_left() const {
  return context_.budgets.of(service_name_).available(context_.runtime.now());
}

void RelaySession::count_send(bool only_read) {
  history_.prompt_sent = history_.prompt_sent || only_read;
  extra_ = history_.arrived;
  if (!extra_) return;
  context_.budgets.of(service_name_).charge(context_.runtime.now());
  context_.metrics.count_extra_send(service_name_.value());
}

void RelaySession::attempt_failed(AttemptOutcome outcome, const std::string& why) {
  context_.metrics.count_failure(service_name_.value(),
                                 outcome == AttemptOutcome::kNotSent   ? "not_sent"
                                 : outcome == AttemptOutcome::kRefused ? "refused"
                                                                       : "uncertain");
  log_attempt("attempt_failed", why);
  const bool only_read = step_ == Step::kPrefill;
  if (outcome != AttemptOutcome::kNotSent) {
    ++history_.sends;
    history_.arrived = true;
  }
  // A prompt that was only read has not run.
  if (outcome == AttemptOutcome::kUncertain && !only_read) ++history_.may_have_run;
  // A refusal of a handle does not speak against the engine, which may still read the prompt
  // itself.
  if (step_ == Step::kDecodeFromHandle) {
    handle_.clear();
    if (outcome != AttemptOutcome::kRefused) met_.push_back(engine_);
  } else {
    met_.push_back(engine_);
  }
  if (ends_engines()) return end_unserved(why + ", as engines have before, which may have ended");
  const AttemptVerdict verdict = after_failure(route_, history_);
  if (verdict != AttemptVerdict::kTryElsewhere) return end_unserved(why);
  if (!may_send_again()) return end_for_budget(why);
  dispatch();
}

void RelaySession::end_for_budget(const std::string& why) {
  context_.metrics.count_budget_exhausted(service_name_.value());
  end_unserved(why + ", and the retry budget is spent");
}

void RelaySession::end_unserved(const std::string& why) {
  if (may_promise_not_run(history_) && !history_.head_forwarded) return refuse(why);
  fail(http_status::kBadGateway, why);
}

void RelaySession::refuse(const std::string& why) {
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(comes_back_after()));
  log_attempt("refused", why);
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
    return respond(reply.status, reply.headers, std::move(reply.body), "engine_failure");
  }
  respond(status, {}, "", "failed");
}

void RelaySession::on_timeout() {
  if (ended_) return;
  const bool may_run = transfer_.has_value() && step_ != Step::kPrefill;
  drop_transfer();
  if (!may_run && may_promise_not_run(history_) && !history_.head_forwarded) {
    return refuse("out of time");
  }
  fail(http_status::kGatewayTimeout, "out of time");
}

void RelaySession::give_up() {
  on_timeout();
}

void RelaySession::caller_gone() {
  if (ended_) return;
  drop_transfer();
  end("caller_gone");
}

void RelaySession::drop_transfer() {
  if (!transfer_) return;
  note_silence();
  context_.http.cancel(*transfer_);
  transfer_.reset();
  permit_.reset();  // It may have reached the engine.
  release_engine();
}

void RelaySession::release_engine() {
  if (!std::exchange(engine_held_, false)) return;
  context_.engines.on_ended(engine_);
  if (std::exchange(on_trial_, false)) context_.quarantine.end_trial(identity_->request, engine_);
  if (prompt_) context_.note_load();
  if (!unread_released_) context_.engines.on_read(engine_, {unread_, deferred_});
  unread_released_ = true;
}

void RelaySession::release_handle() {
  if (handle_.empty()) return;
  OutgoingRequest call = context_.dialect.release_handle(handle_address_, handle_);
  call.total_timeout = kReleaseTimeout;
  context_.http.fetch(std::move(call), [](const auto&) {});
  handle_.clear();
}

void RelaySession::respond(int status, const HttpHeaders& headers, std::string body,
                           const std::string& result) {
  HttpReply reply{status, headers, std::move(body)};
  const std::string& id_field = context_.dialect.names().request_id;
  if (!id_.empty() && reply.headers.count(id_field) == 0) reply.headers.add(id_field, id_);
  responder_->respond(std::move(reply));
  status_ = status;
  end(result);
}

void RelaySession::end(const std::string& result) {
  if (std::exchange(ended_, true)) return;
  timer_.reset();
  waiting_.reset();
  give_back(taker_permit_);
  give_back(permit_);
  release_engine();
  release_handle();
  if (identity_ && result != kAnswered) context_.quarantine.on_failed(identity_->request);
  const MonotonicTime now = context_.runtime.now();
  context_.metrics.count_request(service_name_.value(), result, now - arrived_);
  log_event(LogArea::kCallers, LogLevel::kInfo, "request_ended",
            {{"request", id_},
             {"result", result},
             {"status", status_},
             {"route", route_.name},
             {"tenant", std::string(tenant_name())},
             {"config", table_->version()},
             {"engine", engine_.value()},
             {"events", stream_.events()},
             {"sends", history_.sends},
             {"identity", crash_standing().suspect() ? to_text(identity_->request) : std::string()},
             {"first_ms", whole_ms(stream_.first_event_after(arrived_))},
             {"gap_ms", whole_ms(stream_.longest_pause())},
             {"took_ms", whole_ms(now - arrived_)}});
  const auto handler = std::exchange(on_end_, nullptr);
  if (handler) handler();
}

}  // namespace shuntbank::relay
