#include "standin/platform_standin.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "platform/object_client.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

HttpReply json_reply(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

PlatformStandin::PlatformStandin(Runtime& runtime, const PlatformStandinSettings& settings)
    : runtime_(runtime), settings_(settings), weight_refilled_at_(runtime.now()) {}

PlatformStandin::~PlatformStandin() = default;

void PlatformStandin::handle(HttpRequest request, const Responder& responder) {
  if (request.path == "/faults") return handle_faults(request, responder);
  if (request.path == "/stats") return responder->respond(json_reply(200, request_counts_));
  ++request_counts_[request.method + " " + request.path];
  if (faults_.down) return responder->respond(json_reply(503, {{"error", "down"}}));
  if (faults_.delay == Duration::zero()) return dispatch(request, responder);
  call_after(runtime_, faults_.delay,
             [this, request = std::move(request), responder] { dispatch(request, responder); });
}

void PlatformStandin::dispatch(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/objects") return handle_object(request, responder);
  if (request.path == "/watch") return handle_watch(request, responder);
  if (request.path == "/machines") return handle_machines(request, responder);
  if (request.path == "/weights") return handle_weights(responder);
  responder->respond(json_reply(404, {{"error", "no such path"}}));
}

void PlatformStandin::reply_object(const std::string& key, const Responder& responder) {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return responder->respond(json_reply(404, {{"error", "no object"}}));
  responder->respond(
      json_reply(200, {{"version", found->second.version}, {"value", found->second.value}}));
}

void PlatformStandin::handle_object(const HttpRequest& request, const Responder& responder) {
  if (request.method == "PUT") return write_object(request, responder);
  const std::string prefix = request.query_value("prefix");
  if (prefix.empty()) return reply_object(request.query_value("key"), responder);
  json items = json::object();
  for (const auto& [key, object] : objects_) {
    if (key.rfind(prefix, 0) != 0) continue;
    items[key] = {{"version", object.version}, {"value", object.value}};
  }
  responder->respond(json_reply(200, {{"items", std::move(items)}}));
}

void PlatformStandin::write_object(const HttpRequest& request, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("value")) {
    return responder->respond(json_reply(400, {{"error", "not a write"}}));
  }
  const std::string key = request.query_value("key");
  const auto found = objects_.find(key);
  const std::uint64_t version = found == objects_.end() ? 0 : found->second.version;
  if (body.value("expected_version", std::uint64_t{0}) != version) {
    return responder->respond(json_reply(409, {{"version", version}}));
  }
  objects_[key] = {++last_version_, body["value"]};
  answer_watches(key);
  if (faults_.lose_write_answers > 0) {
    --faults_.lose_write_answers;
    // Holds the responder open for longer than the writer's timeout.
    call_after(runtime_, std::chrono::seconds(60), [responder] {});
    return;
  }
  responder->respond(json_reply(200, {{"version", last_version_}}));
}

void PlatformStandin::handle_watch(const HttpRequest& request, const Responder& responder) {
  const std::string key = request.query_value("key");
  const std::uint64_t known_version = parse_number(request.query_value("from"));
  const auto found = objects_.find(key);
  if (found != objects_.end() && found->second.version > known_version)
    return reply_object(key, responder);
  if (watches_.size() >= settings_.max_watches) {
    return responder->respond(json_reply(429, {{"error", "too many readers"}}));
  }
  watches_.push_back({key, known_version, responder, nullptr});
  const auto watch = std::prev(watches_.end());
  watch->timer = runtime_.after(ObjectClient::kWatchTime, [this, watch, key] {
    // Erasing the watch would destroy the timer whose callback is running.
    const auto timer = std::move(watch->timer);
    const Responder waiting = watch->responder;
    watches_.erase(watch);
    waiting->respond({204, {}, ""});  // Nothing has changed.
  });
  responder->on_closed([this, watch] { watches_.erase(watch); });
}

void PlatformStandin::answer_watches(const std::string& key) {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (watch->key != key) {
      ++watch;
      continue;
    }
    const Responder waiting = watch->responder;
    watch = watches_.erase(watch);
    reply_object(key, waiting);
  }
}

void PlatformStandin::cut_watches() {
  for (const Watch& watch : std::exchange(watches_, {})) {
    watch.responder->respond(json_reply(503, {{"error", "watch cut"}}));
  }
}

void PlatformStandin::handle_machines(const HttpRequest& request, const Responder& responder) {
  if (request.method != "PUT") {
    json list = json::array();
    for (const auto& [name, machine] : published_machines_.items()) list.push_back(machine);
    return responder->respond(json_reply(200, {{"machines", std::move(list)}}));
  }
  json machine = json::parse(request.body, nullptr, false);
  if (!machine.is_object())
    return responder->respond(json_reply(400, {{"error", "not a machine"}}));
  const std::string name = request.query_value("name");
  machine["name"] = name;
  machines_[name] = machine;
  const bool known = published_machines_.contains(name);
  if (!known) published_machines_[name] = machine;
  call_after(runtime_, settings_.machine_list_lag, [this, name] {
    if (!faults_.stale_machines) published_machines_[name] = machines_[name];
  });
  responder->respond(json_reply(200, json::object()));
}

void PlatformStandin::handle_weights(const Responder& responder) {
  const MonotonicTime now = runtime_.now();
  const double rate = settings_.weight_reads_per_second;
  weight_tokens_ = std::min(rate, weight_tokens_ + to_seconds(now - weight_refilled_at_) * rate);
  weight_refilled_at_ = now;
  if (weight_tokens_ < 1) return responder->respond(json_reply(429, {{"error", "rate limit"}}));
  weight_tokens_ -= 1;
  responder->respond(json_reply(200, {{"weights", "stand-in"}}));
}

void PlatformStandin::handle_faults(const HttpRequest& request, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return responder->respond(json_reply(400, {{"error", "not an object"}}));
  faults_.down = body.value("down", faults_.down);
  const std::int64_t delay_ms = body.value("delay_ms", std::int64_t{faults_.delay.count() / 1000});
  faults_.delay = std::chrono::milliseconds(delay_ms);
  faults_.lose_write_answers = body.value("lose_write_answers", faults_.lose_write_answers);
  faults_.stale_machines = body.value("stale_machines", faults_.stale_machines);
  if (faults_.down || body.value("cut_watches", false)) cut_watches();
  log_event(LogArea::kStandin, LogLevel::kInfo, "faults",
            {{"down", faults_.down},
             {"delay_ms", delay_ms},
             {"lose_write_answers", faults_.lose_write_answers}});
  responder->respond(json_reply(200, json::object()));
}

}  // namespace shuntbank
