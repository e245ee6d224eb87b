#include "standin/engine_standin.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"
#include "engine/engine_api.hpp"
#include "engine/prompt.hpp"
#include "standin/answer.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

constexpr Duration kLoadSampleInterval = std::chrono::milliseconds(50);

HttpReply json_reply(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint32_t parse_number(std::string_view text) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

/// A completion in flight.
struct EngineStandin::Answer {
  RequestId request;
  AttemptId attempt;
  CompletionKind kind = CompletionKind::kChat;
  ParsedPrompt facts;
  JobPart part = JobPart::kWhole;
  Responder responder;
  std::string collected;  ///< Text of a reply that is not streamed.
  bool stream_started = false;
};

EngineStandin::EngineStandin(Runtime& runtime, const EngineStandinSettings& settings)
    : runtime_(runtime),
      settings_(settings),
      started_(runtime.now()),
      emulator_(settings.costs, settings.preloaded) {
  sample_load();
}

EngineStandin::~EngineStandin() = default;

MonotonicTime EngineStandin::emulated_now() const {
  const double real = to_seconds(runtime_.now() - started_);
  return started_ + from_seconds(real * settings_.time_scale);
}

void EngineStandin::sample_load() {
  const LoadReport sample = emulator_.load();
  call_after(runtime_, settings_.load_lag, [this, sample, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) reported_load_ = sample;
  });
  load_timer_ = runtime_.after(kLoadSampleInterval, [this] { sample_load(); });
}

std::string EngineStandin::load_header() const {
  return engine_api::to_header(reported_load_);
}

void EngineStandin::handle(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/faults") return handle_faults(request, responder);
  if (request.path.rfind("/control/", 0) == 0) return handle_control(request, responder);
  if (faults_.refuse_requests) return refuse(responder, "fault");
  if (settings_.plain) return handle_plain(request, responder);
  const bool completion = request.path == engine_api::kChatPath ||
                          request.path == engine_api::kCompletionPath ||
                          request.path == engine_api::kPrefillPath;
  if (completion && request.method == "POST") return handle_completion(request, responder);
  responder->respond(json_reply(404, {{"error", "no such path"}}));
}

void EngineStandin::refuse(const Responder& responder, const std::string& code) {
  HttpReply reply = json_reply(503, {{"error", code}});
  reply.headers.add(engine_api::kOutcomeHeader, engine_api::kNotRun);
  reply.headers.add(engine_api::kLoadHeader, load_header());
  responder->respond(std::move(reply));
}

void EngineStandin::reply_state(const Responder& responder, int status) {
  responder->respond(json_reply(status, engine_api::to_json(emulator_.state())));
}

void EngineStandin::handle_control(const HttpRequest& request, const Responder& responder) {
  run_emulator();
  const json body = json::parse(request.body, nullptr, false);
  if (request.path == engine_api::kStatePath) return reply_state(responder, 200);
  if (request.path == engine_api::kExecutionsPath) {
    return responder->respond(json_reply(200, executions_json()));
  }
  if (request.path == engine_api::kCacheEventsPath) {
    const std::uint64_t after = parse_number(request.query_value("after"));
    return responder->respond(json_reply(200, cache_events_json(after)));
  }
  if (request.path == engine_api::kClaimPath && body.is_object() && body.contains("fence")) {
    const OrderVerdict verdict = emulator_.claim(body["fence"].get<Fence>());
    return reply_state(responder, verdict == OrderVerdict::kStale ? 409 : 200);
  }
  if (request.path == engine_api::kOrderPath) {
    const auto order = engine_api::order_from_json(body);
    if (!order) return responder->respond(json_reply(400, {{"error", order.error()}}));
    const OrderVerdict verdict = emulator_.order(emulated_now(), *order);
    log_event(LogArea::kStandin, LogLevel::kInfo, "order",
              {{"fence", order->stamp.fence},
               {"sequence", order->stamp.sequence},
               {"role", to_text(order->desired.role)},
               {"accepting", order->desired.accepting},
               {"taken", verdict == OrderVerdict::kAccepted}});
    if (emulator_.state().change_in_progress &&
        std::exchange(faults_.crash_in_next_change, false)) {
      emulator_.restart(emulated_now());
    }
    run_emulator();
    return reply_state(responder, verdict == OrderVerdict::kStale ? 409 : 200);
  }
  if (request.path == engine_api::kCancelPath && body.is_object() && body.contains("attempt")) {
    const AttemptId attempt(body["attempt"].get<std::string>());
    const bool found = emulator_.cancel(emulated_now(), attempt);
    answers_.erase(attempt);
    return responder->respond(json_reply(200, {{"found", found}}));
  }
  responder->respond(json_reply(404, {{"error", "no such path"}}));
}

void EngineStandin::handle_faults(const HttpRequest& request, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return responder->respond(json_reply(400, {{"error", "not an object"}}));
  faults_.refuse_requests = body.value("refuse_requests", faults_.refuse_requests);
  faults_.drop_after_accept = body.value("drop_after_accept", faults_.drop_after_accept);
  faults_.wrong_attempt_id = body.value("wrong_attempt_id", faults_.wrong_attempt_id);
  faults_.crash_in_next_change = body.value("crash_in_next_change", faults_.crash_in_next_change);
  if (body.value("crash", false)) {
    emulator_.restart(emulated_now());
    run_emulator();
  }
  responder->respond(json_reply(200, json::object()));
}

void EngineStandin::handle_completion(const HttpRequest& request, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  auto answer = std::make_shared<Answer>();
  answer->kind =
      request.path == engine_api::kCompletionPath || (body.is_object() && body.contains("prompt"))
          ? CompletionKind::kText
          : CompletionKind::kChat;
  Findings findings;
  answer->facts = parse_prompt(answer->kind, body, findings);
  if (!findings.empty()) {
    HttpReply reply = json_reply(400, {{"error", findings.to_text()}});
    reply.headers.add(engine_api::kOutcomeHeader, engine_api::kNotRun);
    return responder->respond(std::move(reply));
  }
  answer->responder = responder;
  answer->request = RequestId(std::string(request.headers.get(engine_api::kRequestIdHeader)));
  answer->attempt = AttemptId(std::string(request.headers.get(engine_api::kAttemptIdHeader)));
  if (answer->request.empty()) answer->request = RequestId(random_hex(8));
  if (answer->attempt.empty()) answer->attempt = AttemptId(answer->request.value() + ".1");
  EngineJob job;
  if (request.path == engine_api::kPrefillPath) job.part = JobPart::kPrefillOnly;
  if (body.contains("kv_import")) job.part = JobPart::kDecodeOnly;
  answer->part = job.part;
  job.request = answer->request;
  job.attempt = answer->attempt;
  job.model = answer->facts.model;
  job.user = body.value("user", "");
  job.prompt_tokens = answer->facts.prompt_tokens;
  job.blocks = prefix_blocks(answer->facts.text);
  job.output_tokens = answer->facts.max_output_tokens;
  job.resume_from = body.value("resume_from", 0U);
  job.priority = static_cast<std::int32_t>(std::strtol(
      std::string(request.headers.get(engine_api::kPriorityHeader)).c_str(), nullptr, 10));
  submit(answer, job);
}

void EngineStandin::submit(const std::shared_ptr<Answer>& answer, const EngineJob& job) {
  run_emulator();
  const SubmitResult result = emulator_.submit(emulated_now(), job);
  if (result != SubmitResult::kAccepted) return refuse(answer->responder, to_text(result));
  if (faults_.drop_after_accept) {
    // A truncated reply: a successful status and a stream without its end marker.
    answer->responder->begin_stream(200, {{"Content-Type", "text/event-stream"}});
    answer->responder->finish();
    return;
  }
  answers_[answer->attempt] = answer;
  answer->responder->on_closed([this, attempt = answer->attempt] {
    emulator_.cancel(emulated_now(), attempt);
    answers_.erase(attempt);
  });
  schedule();
}

void EngineStandin::run_emulator() {
  for (const EngineEvent& event : emulator_.advance(emulated_now())) deliver(event);
  schedule();
}

void EngineStandin::schedule() {
  timer_.reset();
  const auto next = emulator_.next_time();
  if (!next) return;
  const double seconds = to_seconds(*next - emulated_now()) / settings_.time_scale;
  // Rounded up, so that the step has ended when the timer fires.
  const Duration delay = from_seconds(std::max(0.0, seconds)) + Duration(1);
  timer_ = runtime_.after(delay, [this] { run_emulator(); });
}

void EngineStandin::deliver(const EngineEvent& event) {
  const auto found = answers_.find(event.attempt);
  if (found == answers_.end()) return;
  const std::shared_ptr<Answer> answer = found->second;
  switch (event.kind) {
    case EngineEvent::Kind::kToken:
      return send_token(*answer, event.index);
    case EngineEvent::Kind::kPrefilled:
      answers_.erase(event.attempt);
      return answer->responder->respond(
          json_reply(200, {{"kv_handle", answer->attempt.value()},
                           {"prompt_tokens", answer->facts.prompt_tokens}}));
    case EngineEvent::Kind::kFinished:
      answers_.erase(event.attempt);
      return finish(*answer);
    case EngineEvent::Kind::kInterrupted:
      answers_.erase(event.attempt);
      // A stream without its end marker, or an error without an outcome header.
      if (answer->stream_started) return answer->responder->finish();
      return answer->responder->respond(json_reply(500, {{"error", "cut"}}));
  }
}

namespace {

json chunk_json(CompletionKind kind, const RequestId& request, const std::string& model) {
  const bool chat = kind == CompletionKind::kChat;
  return {{"id", (chat ? "chatcmpl-" : "cmpl-") + request.value()},
          {"object", chat ? "chat.completion.chunk" : "text_completion"},
          {"created", 0},
          {"model", model}};
}

json text_choice(CompletionKind kind, const std::string& text, const json& finish_reason) {
  json choice{{"index", 0}, {"finish_reason", finish_reason}};
  if (kind == CompletionKind::kChat) choice["delta"] = {{"content", text}};
  if (kind == CompletionKind::kText) choice["text"] = text;
  return choice;
}

}  // namespace

void EngineStandin::send_token(Answer& answer, std::uint32_t index) {
  const std::string text = answer_token(answer.facts.text, index);
  if (!answer.facts.stream) {
    answer.collected += text;
    return;
  }
  if (!std::exchange(answer.stream_started, true)) {
    answer.responder->begin_stream(200, {{"Content-Type", "text/event-stream"},
                                         {engine_api::kAttemptIdHeader, answer.attempt.value()},
                                         {engine_api::kLoadHeader, load_header()}});
  }
  const bool last = index + 1 == answer.facts.max_output_tokens;
  json chunk = chunk_json(answer.kind, answer.request, answer.facts.model);
  chunk["choices"] = {text_choice(answer.kind, text, last ? json("length") : json(nullptr))};
  const std::string attempt = faults_.wrong_attempt_id ? "other.1" : answer.attempt.value();
  answer.responder->write("id: " + attempt + ":" + std::to_string(index) +
                          "\ndata: " + chunk.dump() + "\n\n");
}

void EngineStandin::finish(Answer& answer) {
  const std::uint32_t output = answer.facts.max_output_tokens;
  const json usage{{"prompt_tokens", answer.facts.prompt_tokens},
                   {"completion_tokens", output},
                   {"total_tokens", answer.facts.prompt_tokens + output}};
  if (answer.facts.stream) {
    json chunk = chunk_json(answer.kind, answer.request, answer.facts.model);
    chunk["choices"] = json::array();
    chunk["usage"] = usage;
    if (answer.facts.wants_usage) answer.responder->write("data: " + chunk.dump() + "\n\n");
    answer.responder->write("id: " + answer.attempt.value() + ":" + std::to_string(output) +
                            "\ndata: [DONE]\n\n");
    return answer.responder->finish();
  }
  json completion_json = chunk_json(answer.kind, answer.request, answer.facts.model);
  json choice{{"index", 0}, {"finish_reason", "length"}};
  if (answer.kind == CompletionKind::kChat) {
    completion_json["object"] = "chat.completion";
    choice["message"] = {{"role", "assistant"}, {"content", answer.collected}};
  } else {
    choice["text"] = answer.collected;
  }
  completion_json["choices"] = json::array({choice});
  completion_json["usage"] = usage;
  HttpReply reply = json_reply(200, completion_json);
  reply.headers.add(engine_api::kAttemptIdHeader, answer.attempt.value());
  reply.headers.add(engine_api::kLoadHeader, load_header());
  answer.responder->respond(std::move(reply));
}

void EngineStandin::handle_plain(const HttpRequest& request, const Responder& responder) {
  const RequestId id(std::string(request.headers.get(engine_api::kRequestIdHeader)));
  const AttemptId attempt(std::string(request.headers.get(engine_api::kAttemptIdHeader)));
  const MonotonicTime now = emulated_now();
  plain_executions_.push_back({id, attempt, "", now, now, Execution::End::kFinished});
  const std::string request_hash =
      sha256_hex(request.method + " " + request.path + "\n" + request.body);
  HttpReply reply = json_reply(200, {{"path", request.path}, {"sha256", request_hash}});
  reply.headers.add(engine_api::kAttemptIdHeader, attempt.value());
  reply.headers.add(engine_api::kLoadHeader, load_header());
  call_after(runtime_, settings_.plain_service_time,
             [responder, reply]() mutable { responder->respond(std::move(reply)); });
}

json EngineStandin::executions_json() const {
  json list = json::array();
  const auto add = [&list, this](const Execution& execution) {
    list.push_back({{"request", execution.request.value()},
                    {"attempt", execution.attempt.value()},
                    {"started_us", (execution.started - started_).count()},
                    {"ended_us", (execution.ended - started_).count()},
                    {"end", to_text(execution.end)}});
  };
  for (const Execution& execution : emulator_.executions()) add(execution);
  for (const Execution& execution : plain_executions_) add(execution);
  json orders = json::array();
  for (const OrderHistoryEntry& entry : emulator_.order_history()) {
    json item = engine_api::to_json(entry.order);
    item["taken"] = entry.verdict == OrderVerdict::kAccepted;
    orders.push_back(std::move(item));
  }
  return {{"executions", std::move(list)},
          {"orders", std::move(orders)},
          {"cut_by_change", emulator_.interrupted_by_change()},
          {"role_changes", emulator_.role_changes()}};
}

json EngineStandin::cache_events_json(std::uint64_t after) const {
  json list = json::array();
  for (const CacheEvent& event : emulator_.cache_events()) {
    const double draw =
        static_cast<double>(hash64(std::to_string(event.number), settings_.seed) % 1000);
    const bool lost = draw < settings_.cache_event_loss * 1000;
    const bool too_new = event.at + settings_.cache_event_lag > emulated_now();
    if (event.number <= after || lost || too_new) continue;
    list.push_back(
        {{"number", event.number}, {"inserted", event.inserted}, {"blocks", event.blocks}});
  }
  return {{"events", std::move(list)}};
}

}  // namespace shuntbank
