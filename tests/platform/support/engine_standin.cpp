#include "platform/support/engine_standin.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace shuntbank::testing {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPrefillDuration{30};
constexpr std::chrono::milliseconds kStageChangeDuration{800};

std::string hexadecimal(std::uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (int i = 0; i < 10; ++i, value >>= 4U) text += kDigits[value & 15U];
  return text;
}

std::string to_decimal(double value) {
  char digits[32];
  std::snprintf(digits, sizeof(digits), "%.3f", value);
  return digits;
}

bool crashes_engine(const HttpRequest& request) {
  return request.path == Ledger::kCrashingPath;
}

}  // namespace

EngineStandin::EngineStandin(asio::io_context& own_loop, StoreStandin& own_store,
                             Ledger& own_ledger, const EngineShape& own_shape, std::uint64_t seed)
    : loop(own_loop),
      store(own_store),
      ledger(own_ledger),
      shape(own_shape),
      random(seed),
      cooldown_random(seed),
      version_random(seed),
      status_random(seed) {
  this->proxy = std::make_unique<FaultProxy>(this->loop, asio::ip::tcp::endpoint());
}

EngineStandin::~EngineStandin() {
  // Closing connections end their runs, so the server goes before the runs.
  this->server.reset();
}

void EngineStandin::start() {
  this->id = "i-" + hexadecimal(this->random());
  this->version = this->shape.versions[this->version_random() % this->shape.versions.size()];
  this->stage = this->shape.stage;
  this->state = "ready";
  this->orders_accepted = 0;
  this->highest_fence = 0;
  this->changing_stage = false;
  this->limit.reset();
  Http1ServerSettings settings;
  settings.listen = {asio::ip::make_address("127.0.0.1"), 0};
  this->server = std::make_unique<Http1Server>(
      this->loop, settings, [this](const HttpRequest& request, const auto& responder) {
        this->handle(request, responder);
      });
  this->proxy->set_target(this->server->local_endpoint());
  this->publish();
}

void EngineStandin::crash(std::chrono::milliseconds removal_delay) {
  if (!this->running()) return;
  const auto open = std::exchange(this->runs, {});
  for (const RunPointer& run : open) run->timer->cancel();
  this->server->close();
  this->server.reset();
  this->proxy->reset_all();
  // The kernel may reuse the port for another server, even one of another soak.
  this->proxy->set_target(asio::ip::tcp::endpoint());
  this->transition_timer = std::make_unique<asio::steady_timer>(this->loop, removal_delay);
  this->transition_timer->async_wait([this, removed_id = this->id](const std::error_code& error) {
    if (!error) this->store.remove("servers", removed_id);
  });
}

void EngineStandin::drain(std::chrono::milliseconds duration, bool in_answers) {
  this->state = "draining";
  this->drains_in_answers = in_answers;
  this->publish();
  this->ledger.on_draining_registered(this->id);
  this->transition_timer = std::make_unique<asio::steady_timer>(this->loop, duration);
  this->transition_timer->async_wait([this](const std::error_code& error) {
    if (!error) this->crash(std::chrono::milliseconds(0));
  });
}

void EngineStandin::lapse_registration(std::chrono::milliseconds duration) {
  this->store.remove("servers", this->id);
  this->reregister_timer = std::make_unique<asio::steady_timer>(this->loop, duration);
  this->reregister_timer->async_wait([this, lapsed_id = this->id](const std::error_code& error) {
    if (!error && this->running() && lapsed_id == this->id) this->publish();
  });
}

void EngineStandin::set_fault(EngineFault wanted, double share) {
  this->fault = wanted;
  this->fault_share = share;
}

void EngineStandin::set_limit(std::optional<double> per_second) {
  this->limit = per_second;
  if (this->running()) this->ledger.on_limit_changed(this->id, per_second);
}

EngineFault EngineStandin::draw_fault() {
  const double value = std::uniform_real_distribution<double>(0, 1)(this->random);
  return value < this->fault_share ? this->fault : EngineFault::kNone;
}

void EngineStandin::publish() {
  json entry = {{"service", this->shape.service},
                {"addr", this->proxy->address()},
                {"zone", "z1"},
                {"version", this->version},
                {"slots", this->shape.slots},
                {"state", this->state},
                {"cold_left_ms", 0},
                {"sequence", this->orders_accepted}};
  if (this->shape.model) entry["stage"] = this->stage;
  this->store.put("servers", this->id, entry);
}

HttpHeaders EngineStandin::fields(const std::string& request, const std::string& seal) const {
  HttpHeaders fields;
  if (!request.empty()) fields.add("X-Request-Id", request);
  if (!seal.empty()) fields.add("X-Response-Seal", seal);
  fields.add("X-Server-Load",
             std::to_string(this->runs.size()) + ",0," + std::to_string(this->shape.slots));
  if (this->state == "draining" && this->drains_in_answers) fields.add("Server-Leaving", "1");
  if (this->limit) fields.add("Server-Limit", to_decimal(*this->limit));
  return fields;
}

/// Of ten refusals, seven request a cooldown of up to 3 s and one has a malformed Retry-After.
void EngineStandin::add_cooldown(const std::string& request, HttpHeaders& fields) {
  const std::uint64_t value = this->cooldown_random();
  if (value % 10 == 0) return fields.add("Retry-After", value % 20 == 0 ? "soon" : "-1");
  if (value % 10 > 7) return;
  const std::chrono::milliseconds cooldown(200 + value / 10 % 2800);
  fields.add("Retry-After", to_decimal(static_cast<double>(cooldown.count()) / 1000));
  this->ledger.on_cooldown_requested(request, this->id, cooldown);
}

void EngineStandin::refuse(const HttpRequest& request, const Responder& responder, int status,
                           bool shed) {
  HttpReply reply;
  reply.status = status;
  const std::string request_id(request.headers.get("X-Request-Id"));
  reply.headers = this->fields(request_id, "");
  if (shed) this->add_cooldown(request_id, reply.headers);
  reply.headers.add(status == 421 ? "X-Instance-Id" : "X-Not-Executed",
                    status == 421 ? this->id : "1");
  responder->respond(std::move(reply));
}

void EngineStandin::handle(const HttpRequest& request, const Responder& responder) {
  const std::string expected(request.headers.get("X-Expect-Instance"));
  if (!expected.empty() && expected != this->id) {
    if (request.headers.count("X-Request-Id") > 0) this->record_arrival(request, false);
    return this->refuse(request, responder, 421);
  }
  if (request.path == "/v1/report") return this->report(responder);
  if (request.path == "/v1/order") return this->handle_order(request, responder);
  constexpr std::string_view kKvHandlePrefix = "/v1/kv-handle/";
  if (request.path.rfind(kKvHandlePrefix, 0) == 0) return responder->respond({200, {}, ""});
  this->accept(request, responder);
}

void EngineStandin::report(const Responder& responder) {
  const json body = {{"stage", this->stage},
                     {"busy_slots", this->changing_stage},
                     {"sequence", this->orders_accepted},
                     {"running", this->runs.size()}};
  responder->respond({200, this->fields("", ""), body.dump()});
}

void EngineStandin::handle_order(const HttpRequest& request, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const std::uint64_t fence = body.at("fence");
  if (fence < this->highest_fence) return responder->respond({412, {}, ""});
  this->ledger.on_order(this->id, body.at("holder"), fence);
  this->highest_fence = fence;
  const bool expected = !body.contains("expected") || body["expected"] == this->orders_accepted;
  if (!expected || this->changing_stage) return responder->respond({409, {}, ""});
  ++this->orders_accepted;
  if (body.at("stage") == this->stage) return responder->respond({200, {}, ""});
  this->change_stage(body.at("stage"));
  responder->respond({202, {}, ""});
}

void EngineStandin::change_stage(const std::string& wanted) {
  this->changing_stage = true;
  this->transition_timer = std::make_unique<asio::steady_timer>(this->loop, kStageChangeDuration);
  this->transition_timer->async_wait([this, wanted](const std::error_code& error) {
    if (error || !this->running()) return;
    this->changing_stage = false;
    this->stage = wanted;
    this->publish();
  });
}

void EngineStandin::record_arrival(const HttpRequest& request, bool prefill_only) {
  this->ledger.on_arrival(std::string(request.headers.get("X-Request-Id")), this->shape.service,
                          prefill_only);
  if (crashes_engine(request)) this->ledger.on_crashing_request(request.body, this->undisturbed());
}

std::optional<int> EngineStandin::refusal_status(EngineFault drawn, bool prefill_only) const {
  const bool full = this->runs.size() >= this->shape.slots || this->changing_stage;
  if (full || drawn == EngineFault::kSheds) return 503;
  if (this->shape.model && prefill_only != (this->stage == "prefill")) return 421;
  return std::nullopt;
}

void EngineStandin::accept(const HttpRequest& request, const Responder& responder) {
  const bool prefill_only = request.headers.get("X-Stage") == "prefill";
  const EngineFault drawn = this->draw_fault();
  const std::optional<int> status_if_refused = this->refusal_status(drawn, prefill_only);
  this->record_arrival(request, prefill_only && !status_if_refused);
  this->ledger.on_received_by_engine(std::string(request.headers.get("X-Request-Id")), this->id);
  const bool shed = drawn == EngineFault::kSheds && status_if_refused == 503;
  if (status_if_refused) return this->refuse(request, responder, *status_if_refused, shed);
  if (drawn == EngineFault::kResets) return responder->abort();
  if (prefill_only) return this->prefill(request, responder);
  const std::string source(request.headers.get("X-Kv-Source"));
  if (!source.empty() && drawn == EngineFault::kLosesHandles) {
    return this->refuse(request, responder, 503);
  }
  if (!source.empty()) {
    const std::string handle = source.substr(source.rfind('/') + 1);
    this->ledger.on_handle_used(handle, std::string(request.headers.get("X-Request-Id")));
  }
  this->start_run(request, responder);
}

void EngineStandin::prefill(const HttpRequest& request, const Responder& responder) {
  const std::string request_id(request.headers.get("X-Request-Id"));
  auto timer = std::make_shared<asio::steady_timer>(this->loop, kPrefillDuration * this->slowness);
  timer->async_wait(
      [this, timer, responder, request_id, incarnation = this->id](const std::error_code& error) {
        if (error || !this->running() || incarnation != this->id) return;
        const std::string handle = hexadecimal(this->random());
        this->ledger.on_handle_created(handle, request_id);
        const json body = {{"kv_handle", handle}, {"tokens", 100}, {"version", 1}};
        responder->respond({200, this->fields(request_id, ""), body.dump()});
      });
}

void EngineStandin::start_run(const HttpRequest& request, const Responder& responder) {
  const auto run = std::make_shared<Run>();
  run->id = std::string(request.headers.get("X-Request-Id"));
  run->responder = responder;
  run->timer = std::make_unique<asio::steady_timer>(this->loop);
  run->fault = this->draw_fault();
  this->ledger.on_run(run->id, this->shape.service, request.method, request.target, request.body);
  this->runs.insert(run);
  if (crashes_engine(request)) return this->run_crashing_request(request, run);
  responder->on_closed([this, run] { this->end_run(run); });
  const bool unmarked = run->fault == EngineFault::kUnmarkedStatuses;
  if (this->shape.model && !unmarked) this->begin_stream(run, request);
  if (run->fault == EngineFault::kHangs) return;
  this->schedule_step(run);
}

/// Crashes the engine and all its runs shortly after the answer has started.
void EngineStandin::run_crashing_request(const HttpRequest& request, const RunPointer& run) {
  this->begin_stream(run, request);
  run->timer->expires_after(this->scaled_step_duration());
  run->timer->async_wait([this, run, name = request.body](const std::error_code& error) {
    if (error || this->runs.count(run) == 0) return;
    this->ledger.on_engine_crashed(name);
    this->crash_handler();
  });
}

void EngineStandin::begin_stream(const RunPointer& run, const HttpRequest& request) {
  const SentRequest* sent = this->ledger.find(run->id);
  run->last_event = sent == nullptr ? 1 : sent->event_count;
  const std::string last_event_id(request.headers.get("Last-Event-Id"));
  if (!last_event_id.empty()) run->next_event = std::stoull(last_event_id) + 1;
  const std::string seal = this->ledger.seal_answer({run->id, 200, "", this->id});
  HttpHeaders fields = this->fields(run->id, seal);
  fields.add("Content-Type", "text/event-stream");
  run->responder->begin_stream(200, fields);
}

void EngineStandin::schedule_step(const RunPointer& run) {
  run->timer->expires_after(this->scaled_step_duration());
  run->timer->async_wait([this, run](const std::error_code& error) {
    if (error || this->runs.count(run) == 0) return;
    if (run->fault == EngineFault::kUnmarkedStatuses) return this->answer_unmarked(run);
    if (!this->shape.model) return this->answer_plain(run);
    if (run->next_event > run->last_event) {
      run->responder->finish();
      return this->end_run(run);
    }
    const bool aborts =
        run->fault == EngineFault::kLosesAnswers && run->next_event > run->last_event / 2;
    const std::string text = Ledger::event_text(run->id, run->next_event);
    std::string event = "id: " + std::to_string(run->next_event) + "\ndata: " + text + "\n";
    if (this->shape.versions.size() > 1) event += "software: " + this->version + "\n";
    event += "\n";
    if (aborts) event.resize(event.size() / 2);
    run->responder->write(event);
    if (aborts) {
      run->responder->abort();
      return this->end_run(run);
    }
    ++run->next_event;
    this->schedule_step(run);
  });
}

/// Of four answers one is not signed and one names no request.
void EngineStandin::answer_unmarked(const RunPointer& run) {
  constexpr int kStatuses[] = {408, 429, 503};
  const int status = kStatuses[this->status_random() % std::size(kStatuses)];
  const std::uint64_t kind = this->status_random() % 4;
  const EngineAnswer answer{run->id, status, "no", this->id};
  const std::string seal = kind > 1 ? this->ledger.seal_answer(answer) : std::string();
  HttpHeaders fields = this->fields(kind > 0 ? run->id : std::string(), seal);
  fields.add("Retry-After", "0.2");
  run->responder->respond({status, fields, answer.body});
  this->end_run(run);
}

void EngineStandin::answer_plain(const RunPointer& run) {
  if (run->fault == EngineFault::kLosesAnswers) {
    run->responder->abort();
    return this->end_run(run);
  }
  EngineAnswer answer{run->id, run->fault == EngineFault::kErrors ? 500 : 200,
                      "answer to " + run->id + " by " + this->id, this->id};
  const std::string seal = this->ledger.seal_answer(answer);
  run->responder->respond({answer.status, this->fields(run->id, seal), answer.body});
  this->end_run(run);
}

void EngineStandin::end_run(const RunPointer& run) {
  run->timer->cancel();
  this->runs.erase(run);
}

}  // namespace shuntbank::testing
