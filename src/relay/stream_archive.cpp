#include "relay/stream_archive.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

using nlohmann::json;

constexpr int kHexadecimal = 16;

std::string to_hex(StreamKey key) {
  std::array<char, 2 * sizeof(key)> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), key, kHexadecimal).ptr;
  return {text.data(), end};
}

/// Streams of one version together, as their number is much larger than that of the versions.
json to_json(const StreamOriginMap& origins) {
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> groups;
  for (const auto& [key, origin] : origins) {
    groups[{origin.service.value(), origin.version}].push_back(to_hex(key));
  }
  json streams = json::array();
  for (const auto& [group, keys] : groups) {
    streams.push_back({{"service", group.first}, {"software", group.second}, {"streams", keys}});
  }
  return {{"origins", streams}};
}

std::optional<StreamKey> parse_key(const std::string& text) {
  StreamKey key = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), key, kHexadecimal);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(key) : std::nullopt;
}

void add_origins(const store::StoredObject& object, StreamOriginMap& origins) {
  try {
    for (const json& group : object.content.at("origins")) {
      const StreamOrigin origin{ServiceName(group.at("service").get<std::string>()),
                                group.at("software").get<std::string>()};
      for (const json& text : group.at("streams")) {
        const auto key = parse_key(text.get<std::string>());
        if (key) origins.emplace(*key, origin);
      }
    }
  } catch (const json::exception& error) {
    log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
              {{"name", object.name}, {"why", std::string(error.what())}});
  }
}

}  // namespace

StreamArchive::StreamArchive(Runtime& own_runtime, store::ObjectStore& own_store,
                             RelayNode& own_node, const std::string& own_name,
                             const StreamArchiveSettings& own_settings)
    : runtime(own_runtime),
      store(own_store),
      node(own_node),
      self(own_name),
      settings(own_settings) {
  this->node.streams().on_stream_held([this] { this->write_soon(); });
  this->node.streams().set_archive(
      [this](StreamKey key, Handler handler) { this->find(key, std::move(handler)); });
  this->check_timer = std::make_unique<Periodic>(this->runtime, this->settings.check_interval,
                                                 [this] { this->tick(); });
}

StreamArchive::~StreamArchive() {
  *this->alive = false;
  // The node outlives this object.
  this->node.streams().on_stream_held([this] { this->write_soon(); });
  this->node.streams().set_archive(nullptr);
  this->node.streams().on_stream_held(nullptr);
}

Duration StreamArchive::interval(Duration per_node) const {
  const auto nodes = static_cast<std::int64_t>(this->node.fleet().nodes);
  return std::max(nodes * per_node, this->settings.min_interval);
}

bool StreamArchive::fleet_too_large() const {
  return this->node.fleet().nodes > this->settings.max_nodes;
}

void StreamArchive::write_soon() {
  if (this->timer) return;
  const Duration delay = std::max(this->next_write_at - this->runtime.now(), Duration::zero());
  this->timer = this->runtime.after(delay, [this] {
    this->timer.reset();
    this->tick();
  });
}

void StreamArchive::tick() {
  if (this->call_pending || this->fleet_too_large()) return;
  StreamOriginMap origins = this->node.streams().origins_to_keep();
  if (origins.empty() && this->written.empty()) return;
  if (!this->revision) return this->read_own();
  for (const auto& [key, origin] : this->earlier_streams()) origins.emplace(key, origin);
  const bool added = std::any_of(origins.begin(), origins.end(), [this](const auto& entry) {
    return this->written.count(entry.first) == 0;
  });
  if (added || origins.empty()) this->write(origins);
}

/// Streams of this node's previous run may still be taken up.
StreamOriginMap StreamArchive::earlier_streams() {
  if (this->runtime.now() > this->earlier_until) this->earlier.clear();
  return this->earlier;
}

void StreamArchive::read_own() {
  this->call_pending = true;
  this->store.read(this->settings.kind, this->self, this->settings.call_timeout,
                   [this, living = this->alive](const StoreResult& answer) {
                     if (*living) this->on_own_read(answer);
                   });
}

void StreamArchive::on_own_read(const StoreResult& answer) {
  this->call_pending = false;
  const bool missing = !answer && answer.error() == store::StoreError::kMissing;
  if (!answer && !missing) return this->pause();
  this->revision = answer ? answer->revision : 0;
  this->written.clear();
  if (!answer) return this->tick();
  add_origins(*answer, this->written);
  this->earlier.insert(this->written.begin(), this->written.end());
  this->earlier_until = this->runtime.now() + kStreamRetention;
  this->tick();
}

void StreamArchive::write(const StreamOriginMap& origins) {
  this->call_pending = true;
  this->next_write_at =
      this->runtime.now() + this->interval(this->settings.write_interval_per_node);
  const auto handler = [this, living = this->alive, origins](const StoreResult& answer) {
    if (*living) this->on_written(origins, answer);
  };
  const json content = to_json(origins);
  if (*this->revision == 0) {
    this->store.create(this->settings.kind, this->self, content, this->settings.call_timeout,
                       handler);
  } else {
    this->store.replace(this->settings.kind, this->self, *this->revision, content,
                        this->settings.call_timeout, handler);
  }
}

/// After a failure the object is read again, as the write may have taken effect.
void StreamArchive::on_written(const StreamOriginMap& origins, const StoreResult& answer) {
  this->call_pending = false;
  if (answer) {
    this->revision = answer->revision;
    this->written = origins;
    return this->write_soon();
  }
  log_event(LogArea::kPlatform, LogLevel::kInfo, "streams_not_kept",
            {{"streams", origins.size()}, {"why", store::to_text(answer.error())}});
  this->revision.reset();
  this->pause();
}

void StreamArchive::pause() {
  this->next_write_at = this->runtime.now() + this->settings.check_interval;
}

/// A recent list will do: nodes that live answer for their streams themselves.
void StreamArchive::find(StreamKey key, Handler handler) {
  this->lookups.push_back({key, std::move(handler)});
  if (this->list_pending || this->list_timer) return;
  const MonotonicTime now = this->runtime.now();
  const bool recent =
      this->last_list_at &&
      now - *this->last_list_at < this->interval(this->settings.list_interval_per_node);
  const bool use_last = recent || this->fleet_too_large();
  this->list_timer = this->runtime.after(Duration::zero(), [this, use_last] {
    this->list_timer.reset();
    if (!use_last) return this->list();
    this->answer_lookups();
  });
}

void StreamArchive::list() {
  this->list_pending = true;
  this->store.list(this->settings.kind, store::Freshness::kLatest, this->settings.list_timeout,
                   [this, living = this->alive](const auto& answer) {
                     if (*living) this->on_list(answer);
                   });
}

void StreamArchive::on_list(const tl::expected<store::ObjectList, store::StoreError>& answer) {
  this->list_pending = false;
  this->last_list_at = this->runtime.now();
  if (answer) {
    this->listed.clear();
    for (const store::StoredObject& object : answer->objects) add_origins(object, this->listed);
  }
  log_event(LogArea::kPlatform, answer ? LogLevel::kInfo : LogLevel::kWarning, "streams_listed",
            {{"streams", this->listed.size()},
             {"lookups", this->lookups.size()},
             {"why", answer ? "" : store::to_text(answer.error())}});
  this->answer_lookups();
}

void StreamArchive::answer_lookups() {
  for (const Lookup& lookup : std::exchange(this->lookups, {})) {
    const auto found = this->listed.find(lookup.key);
    lookup.handler(found == this->listed.end() ? std::nullopt : std::optional(found->second));
  }
}

void StreamArchive::remove(const NodeId& gone) {
  this->store.read(this->settings.kind, gone.value(), this->settings.call_timeout,
                   [this, living = this->alive, gone](const StoreResult& object) {
                     if (!*living || !object) return;
                     this->store.remove(this->settings.kind, gone.value(), object->revision,
                                        this->settings.call_timeout, [](const auto& /*done*/) {});
                   });
}

}  // namespace shuntbank::relay
