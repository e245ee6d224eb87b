#include "platform/support/store_standin.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace shuntbank::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/objects/";

std::uint64_t parse_number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

StoreStandin::StoreStandin(asio::io_context& own_loop) : loop(own_loop) {
  Http1ServerSettings settings;
  settings.listen = {asio::ip::make_address("127.0.0.1"), 0};
  this->server = std::make_unique<Http1Server>(
      this->loop, settings, [this](const HttpRequest& request, const auto& responder) {
        this->handle(request, responder);
      });
}

StoreStandin::~StoreStandin() = default;

void StoreStandin::reply(const Responder& responder, int status, const json& body) const {
  HttpReply reply;
  reply.status = status;
  reply.headers.add("Content-Type", "application/json");
  reply.body = body.is_null() ? "" : body.dump();
  for (const auto& [placeholder, text] : this->texts) {
    for (std::size_t at = reply.body.find(placeholder); at != std::string::npos;
         at = reply.body.find(placeholder, at + text.size())) {
      reply.body.replace(at, placeholder.size(), text);
    }
  }
  responder->respond(std::move(reply));
}

void StoreStandin::set_fault(StoreFault wanted) {
  this->fault = wanted;
  for (const Responder& responder : std::exchange(this->unanswered, {})) responder->abort();
  const bool closes_watches = wanted == StoreFault::kBusy || wanted == StoreFault::kResetting;
  if (!closes_watches) return;
  for (Watch& watch : this->watches) {
    if (std::exchange(watch.open, false)) watch.responder->abort();
  }
}

void StoreStandin::drop_history() {
  this->history.clear();
  this->oldest_watchable = this->revision + 1;
}

void StoreStandin::handle(const HttpRequest& request, const Responder& responder) {
  if (this->fault == StoreFault::kBusy) return this->reply(responder, 503, {});
  if (this->fault == StoreFault::kResetting) return responder->abort();
  if (this->fault == StoreFault::kSilent) {
    this->unanswered.push_back(responder);
    return;
  }
  if (request.path.rfind(kPrefix, 0) != 0) return this->reply(responder, 404, {});
  const std::string rest = request.path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const json body = json::parse(request.body, nullptr, false);
  if (request.method == "POST") return this->create(kind, body, responder);
  if (request.method == "PUT") return this->replace(kind, name, body, responder);
  if (request.method == "DELETE") return this->remove(kind, name, request, responder);
  if (!request.query_value("watch").empty()) return this->watch(kind, request, responder);
  if (name.empty()) return this->list(kind, request, responder);
  const auto object = this->kinds[kind].find(name);
  if (object == this->kinds[kind].end()) return this->reply(responder, 404, {});
  this->reply(responder, 200, object->second);
}

void StoreStandin::list(const std::string& kind, const HttpRequest& request,
                        const Responder& responder) {
  constexpr std::size_t kPage = 5;  // Small, to exercise paging.
  json items = json::array();
  const auto& objects = this->kinds[kind];
  auto next = objects.upper_bound(request.query_value("after"));
  // A stale list omits later changes; a watch from its revision delivers them.
  const std::uint64_t visible = this->visible_revision(request);
  for (; next != objects.end() && items.size() < kPage; ++next) {
    if (next->second.at("meta").at("revision") <= visible)
      items.push_back(this->as_seen_by(request.caller, next->second));
  }
  this->reply(responder, 200, {{"items", items}, {"more", next != objects.end()}, {"at", visible}});
}

std::uint64_t StoreStandin::visible_revision(const HttpRequest& request) const {
  if (request.query_value("stale").empty()) return this->revision;
  return this->stale_revision();
}

std::uint64_t StoreStandin::stale_revision() const {
  const auto horizon = std::chrono::steady_clock::now() - kStaleReadAge;
  const auto newer =
      std::find_if(this->history.begin(), this->history.end(),
                   [horizon](const Event& event) { return event.recorded_at > horizon; });
  return newer == this->history.end() ? this->revision : newer->revision - 1;
}

void StoreStandin::watch(const std::string& kind, const HttpRequest& request,
                         const Responder& responder) {
  const std::uint64_t since = parse_number(request.query_value("watch"));
  if (since < this->oldest_watchable) return this->reply(responder, 410, {});
  Watch& watch = this->watches.emplace_back();
  watch.kind = kind;
  watch.since = since;
  watch.stale_allowed = !request.query_value("stale").empty();
  watch.caller = request.caller;
  watch.responder = responder;
  if (!this->visible_events(watch).empty()) return this->answer(watch);
  const std::chrono::milliseconds wait(parse_number(request.query_value("wait_ms")));
  watch.timer = std::make_unique<asio::steady_timer>(this->loop, wait);
  watch.timer->async_wait([this, &watch](const std::error_code& error) {
    if (!error && watch.open) this->answer(watch);
  });
  responder->on_closed([&watch] { watch.open = false; });
}

void StoreStandin::answer(Watch& watch) {
  watch.open = false;
  if (this->fault == StoreFault::kSilent) {
    this->unanswered.push_back(watch.responder);
    return;
  }
  const std::uint64_t visible = watch.stale_allowed ? this->stale_revision() : this->revision;
  json events = this->visible_events(watch);
  for (json& event : events) event["object"] = this->as_seen_by(watch.caller, event["object"]);
  this->reply(watch.responder, 200, {{"events", events}, {"at", std::max(visible, watch.since)}});
}

json StoreStandin::visible_events(const Watch& watch) const {
  return this->events_between(watch.kind, watch.since,
                              watch.stale_allowed ? this->stale_revision() : this->revision);
}

void StoreStandin::answer_ready_watches() {
  for (Watch& watch : this->watches) {
    if (watch.open && !this->visible_events(watch).empty()) this->answer(watch);
  }
}

json StoreStandin::events_between(const std::string& kind, std::uint64_t after,
                                  std::uint64_t last) const {
  json events = json::array();
  for (const Event& event : this->history) {
    const bool wanted = event.revision > after && event.revision <= last;
    if (event.kind == kind && wanted) events.push_back(event.event);
  }
  return events;
}

void StoreStandin::schedule_stale_watches() {
  auto timer = std::make_shared<asio::steady_timer>(this->loop, kStaleReadAge);
  timer->async_wait(
      [this, timer, lifetime = std::weak_ptr<bool>(this->lifetime_token)](const auto& error) {
        if (!error && !lifetime.expired()) this->answer_ready_watches();
      });
}

json& StoreStandin::store_object(const std::string& kind, const std::string& name,
                                 const json& spec) {
  json& object = this->kinds[kind][name];
  object = {{"meta",
             {{"name", name},
              {"revision", ++this->revision},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
  this->record(kind, object, false);
  return object;
}

void StoreStandin::record(const std::string& kind, const json& object, bool removed) {
  this->history.push_back({this->revision,
                           std::chrono::steady_clock::now(),
                           kind,
                           {{"object", object}, {"gone", removed}}});
  this->schedule_stale_watches();
}

void StoreStandin::put(const std::string& kind, const std::string& name, const json& spec) {
  this->store_object(kind, name, spec);
  this->answer_ready_watches();
}

void StoreStandin::put_text(const std::string& kind, const std::string& name, std::string spec) {
  const json placeholder = "text of " + kind + "/" + name;
  this->texts[placeholder.dump()] = std::move(spec);
  this->put(kind, name, placeholder);
}

void StoreStandin::remove(const std::string& kind, const std::string& name) {
  const auto object = this->kinds[kind].find(name);
  if (object == this->kinds[kind].end()) return;
  ++this->revision;
  this->record(kind, object->second, true);
  this->kinds[kind].erase(object);
  this->answer_ready_watches();
}

std::set<std::string> StoreStandin::names(const std::string& kind) const {
  std::set<std::string> all;
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) return all;
  for (const auto& [name, object] : found->second) all.insert(name);
  return all;
}

void StoreStandin::create(const std::string& kind, const json& body, const Responder& responder) {
  const std::string name = body.at("meta").at("name");
  if (this->kinds[kind].count(name) > 0)
    return this->reply(responder, 409, this->kinds[kind][name]);
  this->finish_write(this->store_object(kind, name, body.at("spec")), responder);
}

void StoreStandin::replace(const std::string& kind, const std::string& name, const json& body,
                           const Responder& responder) {
  const auto object = this->kinds[kind].find(name);
  if (object == this->kinds[kind].end()) return this->reply(responder, 404, {});
  const json& meta = body.at("meta");
  const bool same =
      !meta.contains("revision") || meta["revision"] == object->second.at("meta").at("revision");
  if (!same) return this->reply(responder, 409, object->second);
  this->finish_write(this->store_object(kind, name, body.at("spec")), responder);
}

void StoreStandin::remove(const std::string& kind, const std::string& name,
                          const HttpRequest& request, const Responder& responder) {
  const auto found = this->kinds[kind].find(name);
  if (found == this->kinds[kind].end()) return this->reply(responder, 404, {});
  const json object = found->second;
  const std::string wanted = request.query_value("revision");
  if (!wanted.empty() && parse_number(wanted) != object.at("meta").at("revision")) {
    return this->reply(responder, 409, object);
  }
  this->remove(kind, name);
  this->finish_write(object, responder);
}

json StoreStandin::as_seen_by(const std::string& caller, json object) const {
  json& spec = object["spec"];
  if (!this->address_view || !spec.is_object() || !spec.contains("addr")) return object;
  spec["addr"] = this->address_view(caller, spec["addr"].get<std::string>());
  return object;
}

void StoreStandin::finish_write(const json& object, const Responder& responder) {
  const json answer = object;
  this->answer_ready_watches();
  if (this->fault == StoreFault::kLosingWrites) return responder->abort();
  this->reply(responder, 200, answer);
}

}  // namespace shuntbank::testing
