#include "relay/support/fakes.hpp"

#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shuntbank::testing {

class ManualRuntime::ManualTimer : public Timer {
 public:
  explicit ManualTimer(std::shared_ptr<bool> alive) : alive_(std::move(alive)) {}

 private:
  std::shared_ptr<bool> alive_;
};

std::unique_ptr<Timer> ManualRuntime::after(Duration delay, std::function<void()> function) {
  auto alive = std::make_shared<bool>(true);
  timers_.emplace(now_ + delay, Entry{std::move(function), alive});
  return std::make_unique<ManualTimer>(std::move(alive));
}

void ManualRuntime::post(std::function<void()> function) {
  timers_.emplace(now_, Entry{std::move(function), never_cancelled_});
}

std::string ManualRuntime::random_hex(std::size_t bytes) {
  const std::string digits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < bytes * 2; ++i) text += digits[(++draws_ * 7 + i) % digits.size()];
  return text;
}

void ManualRuntime::advance(Duration duration) {
  const MonotonicTime until = now_ + duration;
  while (!timers_.empty() && timers_.begin()->first <= until) {
    const auto first = timers_.begin();
    now_ = std::max(now_, first->first);
    const Entry entry = std::move(first->second);
    timers_.erase(first);
    const auto alive = entry.alive.lock();
    if (alive) entry.function();
  }
  now_ = until;
}

TransferId ScriptedHttpClient::start(OutgoingRequest request, TransferHandlers handlers) {
  auto entry = std::make_shared<SentRequest>();
  entry->id = sent.size() + 1;
  entry->request = std::move(request);
  entry->handlers = std::move(handlers);
  sent.push_back(entry);
  return entry->id;
}

void ScriptedHttpClient::cancel(TransferId id) {
  sent.at(id - 1)->cancelled = true;
}

void ScriptedHttpClient::answer(std::size_t index, int status, const HttpHeaders& headers,
                                const std::string& body) {
  begin(index, status, headers);
  if (!body.empty()) piece(index, body);
  finish(index);
}

void ScriptedHttpClient::begin(std::size_t index, int status, const HttpHeaders& headers) {
  const auto entry = sent.at(index);
  if (!entry->cancelled) entry->handlers.on_headers(status, headers);
}

void ScriptedHttpClient::piece(std::size_t index, const std::string& bytes) {
  const auto entry = sent.at(index);
  if (!entry->cancelled) entry->handlers.on_data(bytes);
}

void ScriptedHttpClient::finish(std::size_t index) {
  const auto entry = sent.at(index);
  entry->done = true;
  if (!entry->cancelled) entry->handlers.on_done({});
}

void ScriptedHttpClient::fail(std::size_t index, TransferFailure failure) {
  const auto entry = sent.at(index);
  entry->done = true;
  if (!entry->cancelled) {
    entry->handlers.on_done(tl::make_unexpected(TransferError{failure, "broken"}));
  }
}

void ScriptedHttpClient::refuse_tunnel(std::size_t index, TunnelStatus status) {
  const auto entry = sent.at(index);
  entry->done = true;
  if (entry->cancelled) return;
  entry->handlers.on_done(tl::make_unexpected(TransferError{
      TransferFailure::kNothingSent, "no tunnel", status == TunnelStatus::kRefused, status}));
}

void ScriptedProbe::probe(const std::string& address, Duration timeout, Handler handler) {
  ++this->count;
  const bool connects = this->reachable.count(address) > 0;
  const Duration delay = connects ? Duration(std::chrono::milliseconds(1)) : timeout;
  this->timers.push_back(
      this->runtime.after(delay, [connects, handler = std::move(handler)] { handler(connects); }));
}

void ScriptedHttpClient::refuse_connection(std::size_t index) {
  const auto entry = sent.at(index);
  entry->done = true;
  if (entry->cancelled) return;
  entry->handlers.on_done(tl::make_unexpected(
      TransferError{TransferFailure::kNothingSent, "Connection refused", true}));
}

void RecordingResponder::respond(HttpReply reply) {
  reply_->status = reply.status;
  reply_->headers = reply.headers;
  reply_->body = reply.body;
  reply_->finished = true;
  ++reply_->head_count;
}

void RecordingResponder::begin_stream(int status, const HttpHeaders& headers) {
  reply_->status = status;
  reply_->headers = headers;
  ++reply_->head_count;
}

TestDialect::TestDialect() {
  names_.request_id = "id";
  names_.deadline_ms = "deadline";
  names_.last_event_id = "last-event";
  names_.resumed_request = "resumes";
  names_.seal = "seal";
  names_.retry_after = "Retry-After";
  names_.expected_engine = "for-engine";
  names_.urgency = "urgency";
  names_.stage = "stage";
  names_.prompt_source = "source";
  names_.fetch_from = "fetch";
  names_.tenant_key = "key";
  names_.tenant = "tenant";
  names_.stripped_from_requests = {"for-engine", "urgency", "stage", "source",
                                   "fetch",      "key",     "tenant"};
}

std::optional<relay::PromptShape> TestDialect::parse_prompt(const HttpHeaders& headers) const {
  if (headers.get("tokens").empty()) return std::nullopt;
  relay::PromptShape shape;
  shape.prompt_tokens = std::stoull(std::string(headers.get("tokens")));
  shape.parts = {{7, shape.prompt_tokens / 2}, {8, shape.prompt_tokens - shape.prompt_tokens / 2}};
  std::istringstream ids{std::string(headers.get("parts"))};
  std::vector<std::uint64_t> named{std::istream_iterator<std::uint64_t>(ids), {}};
  if (named.empty()) return shape;
  shape.parts.clear();
  for (const std::uint64_t part : named) {
    shape.parts.push_back({part, shape.prompt_tokens / named.size()});
  }
  return shape;
}

std::optional<relay::ReportedLoad> TestDialect::parse_load(const HttpHeaders& headers) const {
  std::istringstream text{std::string(headers.get("load"))};
  relay::ReportedLoad load;
  return text >> load.waiting >> load.slowdown ? std::optional(load) : std::nullopt;
}

std::optional<std::uint64_t> TestDialect::parse_token_count(const HttpHeaders& headers) const {
  if (headers.get("tokens").empty()) return std::nullopt;
  return std::stoull(std::string(headers.get("tokens")));
}

relay::ParsedNotice TestDialect::parse_notice(int status, const HttpHeaders& headers) const {
  relay::ParsedNotice read;
  read.notice.draining = headers.count("leaving") > 0;
  const std::string rest(headers.get("rest-seconds"));
  const std::string limit(headers.get("limit"));
  read.notice.has_limit = !limit.empty();
  if (!limit.empty()) read.notice.limit = std::stod(limit);
  if (status == 503 && !rest.empty()) read.notice.cooldown = std::chrono::seconds(std::stoll(rest));
  return read;
}

tl::expected<relay::PromptHandle, std::string> TestDialect::parse_prefill_answer(
    const std::string& body) const {
  if (body.empty()) return tl::make_unexpected(std::string("empty"));
  return relay::PromptHandle{body, 0};
}

OutgoingRequest TestDialect::release_handle_request(const std::string& address,
                                                    const std::string& handle) const {
  OutgoingRequest call;
  call.method = "DELETE";
  call.url = "http://" + address + "/handle/" + handle;
  return call;
}

OutgoingRequest TestDialect::report_request(const std::string& address, const std::string&) const {
  OutgoingRequest call;
  call.url = "http://" + address + "/report";
  return call;
}

tl::expected<relay::EngineReport, std::string> TestDialect::parse_report(
    const std::string& body) const {
  if (body != "decode" && body != "prefill") return tl::make_unexpected(std::string("unknown"));
  relay::EngineReport report;
  report.stage = body == "decode" ? relay::EngineStage::kDecode : relay::EngineStage::kPrefill;
  report.orders_accepted = 4;
  return report;
}

OutgoingRequest TestDialect::stage_order_request(const relay::StageOrder& order) const {
  OutgoingRequest call;
  call.method = "POST";
  call.url = "http://" + order.address + "/order";
  call.headers.add("fence", std::to_string(order.fence));
  call.headers.add("expected", std::to_string(order.expected_orders));
  call.headers.add("for-engine", order.engine);
  call.body = relay::to_text(order.stage);
  return call;
}

std::uint64_t MemoryStore::visible_revision(store::Freshness freshness) const {
  const bool lags = freshness == store::Freshness::kMayLag;
  return lags ? std::min(revision_, replica_revision) : revision_;
}

store::CallId MemoryStore::list(const std::string& kind, store::Freshness freshness,
                                Duration timeout, store::StoreHandler<store::ObjectList> handler) {
  const store::CallId call = ++last_call_;
  ++lists;
  if (freshness == store::Freshness::kLatest) ++latest_calls;
  if (down) {
    reply<store::ObjectList>(std::move(handler), tl::make_unexpected(store::StoreError::kNotDone));
    return call;
  }
  store::ObjectList list;
  list.revision = visible_revision(freshness);
  std::map<std::string, store::StoredObject> objects;
  for (const Change& change : full_history_) {
    if (change.kind != kind || change.revision > list.revision) continue;
    objects[change.change.object.name] = change.change.object;
    if (change.change.deleted) objects.erase(change.change.object.name);
  }
  for (const auto& [name, object] : objects) list.objects.push_back(object);
  send<store::ObjectList>(call, objects.size(), timeout, std::move(handler), list);
  return call;
}

std::size_t MemoryStore::received(store::CallId call) const {
  return link == nullptr ? 0 : link->transferred(call);
}

void MemoryStore::cancel(store::CallId call) {
  if (link != nullptr) link->cancel(call);
  std::erase_if(pending_watches_, [call](const PendingWatch& watch) { return watch.call == call; });
}

store::ChangeBatch MemoryStore::changes_after(const std::string& kind, std::uint64_t revision,
                                              store::Freshness freshness) const {
  store::ChangeBatch batch;
  batch.revision = visible_revision(freshness);
  for (const Change& change : history_) {
    if (change.kind != kind || change.revision <= revision) continue;
    if (change.revision <= batch.revision) batch.changes.push_back(change.change);
  }
  return batch;
}

store::CallId MemoryStore::watch(const std::string& kind, std::uint64_t revision,
                                 store::Freshness freshness, Duration wait, Duration timeout,
                                 store::StoreHandler<store::ChangeBatch> handler) {
  const store::CallId call = ++last_call_;
  ++watches;
  if (freshness == store::Freshness::kLatest) ++latest_calls;
  if (down || history_gone(revision)) {
    reply<store::ChangeBatch>(
        std::move(handler),
        tl::make_unexpected(down ? store::StoreError::kNotDone : store::StoreError::kHistoryGone));
    return call;
  }
  const auto batch = changes_after(kind, revision, freshness);
  if (!batch.changes.empty()) {
    send<store::ChangeBatch>(call, batch.changes.size(), timeout, std::move(handler), batch);
    return call;
  }
  auto open = std::make_shared<bool>(true);
  std::shared_ptr<Timer> timer =
      runtime_.after(wait, [this, call, open, handler, kind, revision, freshness, timeout] {
        if (!std::exchange(*open, false)) return;
        const auto later = changes_after(kind, revision, freshness);
        send<store::ChangeBatch>(call, later.changes.size(), timeout, handler, later);
      });
  pending_watches_.push_back(
      {call, kind, revision, freshness, timeout, std::move(handler), open, std::move(timer)});
  return call;
}

bool MemoryStore::history_gone(std::uint64_t revision) const {
  if (revision < oldest_revision_) return true;
  if (history_time == Duration::max()) return false;
  const auto missing =
      std::find_if(history_.begin(), history_.end(),
                   [revision](const Change& change) { return change.revision > revision; });
  return missing != history_.end() && runtime_.now() - missing->at > history_time;
}

void MemoryStore::notify_watches() {
  if (drop_notifications) return;
  for (PendingWatch& watch : pending_watches_) {
    const auto batch = changes_after(watch.kind, watch.revision, watch.freshness);
    if (!*watch.open || batch.changes.empty()) continue;
    *watch.open = false;
    send<store::ChangeBatch>(watch.call, batch.changes.size(), watch.timeout, watch.handler, batch);
  }
  std::erase_if(pending_watches_, [](const PendingWatch& watch) { return !*watch.open; });
}

void MemoryStore::put(const std::string& kind, const std::string& name,
                      const nlohmann::json& content) {
  store::StoredObject object{name, ++revision_, content};
  kinds_[kind][name] = object;
  history_.push_back({kind, {object, false}, revision_, runtime_.now()});
  full_history_.push_back(history_.back());
  notify_watches();
}

void MemoryStore::remove(const std::string& kind, const std::string& name) {
  const store::StoredObject object = kinds_[kind][name];
  kinds_[kind].erase(name);
  history_.push_back({kind, {object, true}, ++revision_, runtime_.now()});
  full_history_.push_back(history_.back());
  notify_watches();
}

void MemoryStore::forget_history() {
  history_.clear();
  oldest_revision_ = ++revision_;
  for (PendingWatch& watch : pending_watches_) {
    if (std::exchange(*watch.open, false)) {
      reply<store::ChangeBatch>(watch.handler, tl::make_unexpected(store::StoreError::kUncertain));
    }
  }
  pending_watches_.clear();
}

void MemoryStore::read(const std::string& kind, const std::string& name, Duration,
                       store::StoreHandler<store::StoredObject> handler) {
  using Result = tl::expected<store::StoredObject, store::StoreError>;
  Result result = tl::make_unexpected(store::StoreError::kMissing);
  const auto found = kinds_[kind].find(name);
  if (found != kinds_[kind].end()) result = found->second;
  if (down) result = tl::make_unexpected(store::StoreError::kNotDone);
  reply<store::StoredObject>(std::move(handler), result);
}

void MemoryStore::create(const std::string& kind, const std::string& name,
                         const nlohmann::json& content, Duration,
                         store::StoreHandler<store::StoredObject> handler) {
  using Result = tl::expected<store::StoredObject, store::StoreError>;
  ++writes;
  const auto fail = [&](store::StoreError error) {
    reply<store::StoredObject>(std::move(handler), tl::make_unexpected(error));
  };
  if (down) return fail(store::StoreError::kNotDone);
  if (kinds_[kind].count(name) > 0) return fail(store::StoreError::kConflict);
  put(kind, name, content);
  if (lose_answers) return fail(store::StoreError::kUncertain);
  reply<store::StoredObject>(std::move(handler), Result(kinds_[kind][name]));
}

void MemoryStore::replace(const std::string& kind, const std::string& name, std::uint64_t revision,
                          const nlohmann::json& content, Duration,
                          store::StoreHandler<store::StoredObject> handler) {
  using Result = tl::expected<store::StoredObject, store::StoreError>;
  ++writes;
  Result result = tl::make_unexpected(store::StoreError::kConflict);
  if (down) {
    result = tl::make_unexpected(store::StoreError::kNotDone);
  } else if (kinds_[kind][name].revision == revision) {
    put(kind, name, content);
    result = kinds_[kind][name];
    if (lose_answers) result = tl::make_unexpected(store::StoreError::kUncertain);
  }
  reply<store::StoredObject>(std::move(handler), result);
}

void MemoryStore::remove(const std::string& kind, const std::string& name, std::uint64_t revision,
                         Duration, store::StoreHandler<void> handler) {
  ++writes;
  tl::expected<void, store::StoreError> result;
  const auto found = kinds_[kind].find(name);
  if (down) {
    result = tl::make_unexpected(store::StoreError::kNotDone);
  } else if (found == kinds_[kind].end()) {
    result = tl::make_unexpected(store::StoreError::kMissing);
  } else if (found->second.revision != revision) {
    result = tl::make_unexpected(store::StoreError::kConflict);
  } else {
    remove(kind, name);
    if (lose_answers) result = tl::make_unexpected(store::StoreError::kUncertain);
  }
  runtime_.post([handler = std::move(handler), result] { handler(result); });
}

tl::expected<relay::RouteConfiguration, std::string> TestCodec::configuration(
    const nlohmann::json& content) const {
  return RelayFixture::configuration(content.at("version").get<std::uint64_t>());
}

tl::expected<relay::EngineRecord, std::string> TestCodec::engine(
    const store::StoredObject& object) const {
  relay::EngineRecord record;
  record.id = EngineId(object.name);
  record.service = ServiceName(object.content.value("service", "plain"));
  record.address = object.content.at("address").get<std::string>();
  record.draining = object.content.value("draining", false);
  record.software_version = object.content.value("software", "");
  if (object.content.value("decodes", false)) record.stage = relay::EngineStage::kDecode;
  return record;
}

relay::RouteConfiguration RelayFixture::configuration(std::uint64_t version) {
  using namespace std::chrono_literals;
  relay::RouteConfiguration configuration;
  configuration.version = version;
  const auto add_route = [&](const std::string& name, const std::string& service,
                             relay::RouteKind kind, std::uint32_t attempts, bool resumable) {
    relay::Route route;
    route.name = name;
    route.host = "site";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.split = {{ServiceName(service), 1}};
    route.max_attempts = attempts;
    route.timeout = 3s;
    route.resumable = resumable;
    configuration.routes.push_back(route);
  };
  add_route("safe", "plain", relay::RouteKind::kSafe, 2, false);
  add_route("once", "plain", relay::RouteKind::kUnsafe, 1, false);
  add_route("stream", "model", relay::RouteKind::kStream, 1, false);
  add_route("resumable", "model", relay::RouteKind::kStream, 2, true);
  relay::ModelServing model;
  model.kv_tokens = 100000;
  model.kv_token_bytes = 1000;
  model.link_megabits_per_second = 100000;
  configuration.services = {{ServiceName("plain"), 0, std::nullopt},
                            {ServiceName("model"), 0, model}};
  return configuration;
}

void RelayFixture::restart() {
  node =
      std::make_unique<relay::RelayNode>(relay::RelayIo{runtime, http, dialect, probe}, settings);
  node->adopt(configuration(1));
  node->streams().set_engine_list(&engine_list);
  node->set_engines({});
}

bool RelayFixture::sends_retry() {
  for (const char* id : {"a", "b"}) add_engine(id, "plain");
  const std::size_t first = http.count();
  request("/safe/a");
  http.fail(first, TransferFailure::kUncertain);
  return http.count() > first + 1;
}

RelayFixture::RelayFixture() {
  settings.node = "n1";
  settings.zone = ZoneName("z1");
  settings.retry_budget.slack = 80;
  restart();
  node->set_fleet({7, 0});
  runtime.advance(relay::charge_duration(settings.retry_budget));
}

void RelayFixture::add_engine(const std::string& id, const std::string& service,
                              relay::EngineStage stage, bool draining) {
  relay::EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName(service);
  record.address = id + ":80";
  record.zone = ZoneName("z1");
  record.slots = 8;
  record.stage = stage;
  record.draining = draining;
  record.software_version = software_version;
  node->set_engine(record);
}

HttpHeaders RelayFixture::sealed_headers(const std::string& id) {
  return {{"id", id}, {"seal", "s"}};
}

std::shared_ptr<RecordedReply> RelayFixture::request(const std::string& path,
                                                     const HttpHeaders& more,
                                                     const std::string& method,
                                                     const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.path = path.substr(0, path.find('?'));
  request.headers.add("Host", "site");
  if (more.count("id") == 0) request.headers.add("id", "r1");
  for (const HttpHeader& field : more.fields()) request.headers.add(field.name, field.value);
  request.body = body;
  request.caller = caller_address;
  auto reply = std::make_shared<RecordedReply>();
  caller = std::make_shared<RecordingResponder>(reply);
  node->handle(std::move(request), caller);
  return reply;
}

}  // namespace shuntbank::testing
