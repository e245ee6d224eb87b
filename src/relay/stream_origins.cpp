#include "relay/stream_origins.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "core/relay/stream_replicas.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Nodes that hold a stream's origin beside the one that forwards its events.
constexpr std::size_t kReplicas = 2;

/// Nodes asked for an origin by each call. One more than hold it, as the list of nodes may have
/// changed; a repeated call asks as many further ones, as the first may be down.
constexpr std::size_t kNodesPerCall = kReplicas + 1;

/// Time after which a call is repeated. Round trips between regions take up to 100 ms.
constexpr Duration kCallTimeout = std::chrono::milliseconds(110);

constexpr int kMaxCalls = 3;

constexpr Duration kTickInterval = std::chrono::seconds(1);

/// Callers that lost a stream take it up within some seconds.
constexpr Duration kReleasedRetention = std::chrono::seconds(10);

/// Streams whose origin is sent again in a tick: about 0.6 KB a second.
constexpr std::size_t kMaxRefreshed = 4;

}  // namespace

StreamOrigins::StreamOrigins(Runtime& own_runtime, const EngineDirectory& own_engines,
                             bool bootstrap, std::uint64_t seed)
    : runtime(own_runtime), engines(own_engines), boot_id(seed), versions(bootstrap) {
  this->ticker = std::make_unique<Periodic>(this->runtime, kTickInterval, [this] { this->tick(); });
}

void StreamOrigins::connect(PeerTransport& own_transport, const PeerDirectory& own_peers) {
  this->transport = &own_transport;
  this->peers = &own_peers;
}

void StreamOrigins::disconnect() {
  this->transport = nullptr;
  this->peers = nullptr;
}

void StreamOrigins::release(StreamKey key, bool finished) {
  const auto found = this->held.find(key);
  if (found == this->held.end()) return;
  if (!finished) this->released[key] = {found->second.origin, this->runtime.now()};
  this->held.erase(found);
}

std::map<StreamKey, StreamOrigin> StreamOrigins::origins_to_keep() {
  const MonotonicTime now = this->runtime.now();
  std::map<StreamKey, StreamOrigin> origins;
  const auto add = [&](StreamKey key, const StreamOrigin& origin) {
    if (!sole_version(this->versions.recent(now, origin.service))) origins.emplace(key, origin);
  };
  for (const auto& [key, stream] : this->held) add(key, stream.origin);
  for (const auto& [key, stream] : this->released) add(key, stream.origin);
  return origins;
}

void StreamOrigins::tick() {
  std::erase_if(this->released, [this](const auto& stream) {
    return this->runtime.now() - stream.second.at > kReleasedRetention;
  });
  this->table.expire(this->runtime.now());
  this->observe_versions();
  this->refresh_held();
}

void StreamOrigins::on_engine_listed(const EngineRecord& engine) {
  const bool is_new =
      this->versions.on_listed(this->runtime.now(), engine.service, engine.stream_version());
  if (is_new && this->new_version_handler) this->new_version_handler();
}

void StreamOrigins::observe_versions() {
  if (!this->engines_known) return;
  if (std::exchange(this->engines_changed, false)) this->versions.set_engines(this->engines);
  this->versions.observe(this->runtime.now());
}

std::optional<std::vector<VersionSighting>> StreamOrigins::sightings() {
  this->observe_versions();
  if (this->may_have_missed_engines()) return std::nullopt;
  return this->versions.sightings(this->runtime.now());
}

std::map<ServiceName, std::set<std::string>> StreamOrigins::recent_versions() {
  this->observe_versions();
  return this->versions.all_recent();
}

void StreamOrigins::adopt_sightings(const std::vector<VersionSighting>& sightings) {
  this->observe_versions();
  this->versions.adopt(this->runtime.now(), sightings);
}

void StreamOrigins::hold(StreamKey key, const StreamOrigin& origin) {
  const MonotonicTime now = this->runtime.now();
  this->table.put(now, key, origin);
  this->held[key] = {origin, now};
  this->send_record(key, origin);
  if (this->stream_held_handler) this->stream_held_handler();
}

void StreamOrigins::send_record(StreamKey key, const StreamOrigin& origin) {
  if (this->peers == nullptr) return;
  const std::string bytes = encode(StreamRecord{this->peers->own_name(), key, origin});
  for (const NodeId& node : stream_replicas(this->peers->nodes(), key, kReplicas + 1)) {
    if (node != this->peers->own_name()) this->send(node, bytes);
  }
}

/// Sends a few origins again, in turn.
void StreamOrigins::refresh_held() {
  const MonotonicTime now = this->runtime.now();
  const std::size_t count = std::min(kMaxRefreshed, this->held.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = this->held.upper_bound(this->last_refreshed);
    if (next == this->held.end()) next = this->held.begin();
    this->last_refreshed = next->first;
    if (now - next->second.sent_at < kTickInterval) continue;
    next->second.sent_at = now;
    this->table.put(now, next->first, next->second.origin);
    this->send_record(next->first, next->second.origin);
  }
}

void StreamOrigins::find(StreamKey key, const std::optional<ServiceName>& service,
                         Handler handler) {
  if (const auto known = this->table.find(key)) return handler(known);
  this->observe_versions();
  const std::uint64_t number = ++this->last_number;
  Lookup& lookup = this->lookups[number];
  lookup.key = key;
  lookup.service = service;
  lookup.handler = std::move(handler);
  if (service) lookup.recent = this->versions.recent(this->runtime.now(), *service);
  this->ask(number);
}

void StreamOrigins::ask(std::uint64_t number) {
  Lookup& lookup = this->lookups.at(number);
  const bool settled = lookup.any_answer && sole_version(lookup.recent).has_value();
  if (settled || lookup.calls >= kMaxCalls) return this->finish_unknown(number);
  ++lookup.calls;
  this->add_nodes(lookup);
  if (lookup.unanswered.empty()) return this->finish_unknown(number);
  lookup.timer = this->runtime.after(kCallTimeout, [this, number] { this->ask(number); });
  const StreamCall call{this->peers->own_name(), this->boot_id, number, lookup.key,
                        lookup.service.value_or(ServiceName())};
  const std::string bytes = encode(call);
  const std::set<NodeId> nodes = lookup.unanswered;
  for (const NodeId& node : nodes) this->send(node, bytes);
}

/// Adds the nodes to ask with the next call.
void StreamOrigins::add_nodes(Lookup& lookup) const {
  if (this->peers == nullptr) return;
  const std::size_t wanted = kNodesPerCall * static_cast<std::size_t>(lookup.calls);
  for (const NodeId& node : stream_replicas(this->peers->nodes(), lookup.key, wanted + 1)) {
    if (node == this->peers->own_name() || lookup.asked.size() >= wanted) continue;
    if (lookup.asked.insert(node).second) lookup.unanswered.insert(node);
  }
}

void StreamOrigins::finish(std::uint64_t number, const std::optional<StreamOrigin>& origin) {
  const auto found = this->lookups.find(number);
  const Lookup lookup = std::move(found->second);
  this->lookups.erase(found);
  if (origin) this->table.put(this->runtime.now(), lookup.key, *origin);
  lookup.handler(origin);
}

/// No other node holds the origin. It is still certain if the service had one version all the
/// while.
void StreamOrigins::finish_unknown(std::uint64_t number) {
  const Lookup& lookup = this->lookups.at(number);
  const bool alone = this->peers == nullptr || this->peers->peer_count() == 0;
  const bool one_version = sole_version(lookup.recent).has_value();
  log_event(LogArea::kCallers, LogLevel::kInfo, "stream_origin_missing",
            {{"stream_key", lookup.key},
             {"service", lookup.service ? lookup.service->value() : std::string()},
             {"asked", lookup.asked.size()},
             {"unanswered", lookup.unanswered.size()},
             {"versions", lookup.recent.versions.size()},
             {"observed", lookup.recent.complete}});
  if (!lookup.service || !one_version || (!alone && !lookup.any_answer)) {
    return this->find_in_archive(number);
  }
  this->confirm_sole_version(number);
}

/// The nodes that answered may lack the same changes as this one, and a node that knows no others
/// may not be alone. A store that answers a call which begins now includes every engine that can
/// have begun the stream.
void StreamOrigins::confirm_sole_version(std::uint64_t number) {
  Lookup& lookup = this->lookups.at(number);
  if (this->engine_list == nullptr) return this->find_in_archive(number);
  lookup.timer.reset();
  lookup.confirming = true;
  this->engine_list->confirm([this, number](bool confirmed) {
    // A node may have answered meanwhile.
    if (this->lookups.count(number) > 0) this->on_confirmed(number, confirmed);
  });
}

void StreamOrigins::on_confirmed(std::uint64_t number, bool confirmed) {
  this->observe_versions();
  Lookup& lookup = this->lookups.at(number);
  merge(lookup.recent, this->versions.recent(this->runtime.now(), *lookup.service));
  const auto version = sole_version(lookup.recent);
  if (!confirmed || !version) return this->find_in_archive(number);
  this->finish(number, StreamOrigin{*lookup.service, *version});
}

void StreamOrigins::find_in_archive(std::uint64_t number) {
  Lookup& lookup = this->lookups.at(number);
  lookup.timer.reset();
  if (!this->find_archived) return this->finish(number, std::nullopt);
  if (std::exchange(lookup.archived, true)) return;
  this->find_archived(lookup.key, [this, number](const std::optional<StreamOrigin>& origin) {
    // A node may have answered meanwhile.
    if (this->lookups.count(number) > 0) this->finish(number, origin);
  });
}

bool StreamOrigins::handles(std::string_view bytes) {
  return is_stream_record(bytes) || is_stream_call(bytes) || is_stream_answer(bytes);
}

/// Drops messages of unlisted nodes.
void StreamOrigins::on_message(std::string_view bytes) {
  if (this->peers == nullptr) return;
  if (is_stream_record(bytes)) {
    const auto record = decode_stream_record(bytes);
    if (!record) return log_malformed_message("stream record", record.error());
    if (!this->peers->is_peer(record->node)) return;
    return this->table.put(this->runtime.now(), record->key, record->origin);
  }
  if (is_stream_call(bytes)) {
    const auto call = decode_stream_call(bytes);
    if (!call) return log_malformed_message("stream call", call.error());
    if (this->peers->is_peer(call->node)) this->on_call(*call);
    return;
  }
  const auto answer = decode_stream_answer(bytes);
  if (!answer) return log_malformed_message("stream answer", answer.error());
  if (this->peers->is_peer(answer->node)) this->on_answer(*answer);
}

void StreamOrigins::on_call(const StreamCall& call) {
  this->observe_versions();
  StreamAnswer answer;
  answer.node = this->peers->own_name();
  answer.boot = call.boot;
  answer.number = call.number;
  answer.origin = this->table.find(call.key);
  answer.recent = this->versions.recent(this->runtime.now(), call.service);
  if (this->may_have_missed_engines()) answer.recent.complete = false;
  this->send(call.node, encode(answer));
}

bool StreamOrigins::may_have_missed_engines() const {
  return this->engine_list != nullptr && this->engine_list->may_have_missed_engines();
}

void StreamOrigins::on_answer(const StreamAnswer& answer) {
  const auto found = this->lookups.find(answer.number);
  if (answer.boot != this->boot_id || found == this->lookups.end()) return;
  if (answer.origin) return this->finish(answer.number, answer.origin);
  Lookup& lookup = found->second;
  if (lookup.unanswered.erase(answer.node) == 0) return;
  lookup.any_answer = true;
  merge(lookup.recent, answer.recent);
  const bool waits = !lookup.confirming && !lookup.archived;
  if (lookup.unanswered.empty() && waits) this->finish_unknown(answer.number);
}

void StreamOrigins::send(const NodeId& node, std::string_view bytes) {
  const PeerRecord* record = this->peers->find(node);
  if (record != nullptr) this->transport->send(record->address, bytes);
}

}  // namespace shuntbank::relay
