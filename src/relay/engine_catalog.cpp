#include "relay/engine_catalog.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "relay/fallback_timing.hpp"

namespace shuntbank::relay {
namespace {

/// Longer than between two answers of the store to a watch. Engines do not join, begin streams and
/// leave the list again within this time.
constexpr Duration kMaxSkippedTime = std::chrono::seconds(5);

}  // namespace

EngineCatalog::EngineCatalog(Runtime& own_runtime, store::ObjectStore& store,
                             const std::string& kind, EngineDecoder own_decoder,
                             RelayNode& own_node, LinkShare& own_answers,
                             const CatalogSettings& own_settings)
    : runtime(own_runtime),
      decoder(std::move(own_decoder)),
      node(own_node),
      large_answers(own_answers),
      settings(own_settings),
      started_at(own_runtime.now()) {
  store::KindWatchHandlers handlers;
  handlers.on_list = [this](const store::ObjectList& objects) { this->apply_list(objects); };
  handlers.on_change = [this](const store::ObjectChange& change) { this->apply_change(change); };
  handlers.on_revision = [this](std::uint64_t revision) {
    if (this->list.advance(revision)) this->newest_removal = revision;
    this->current_at = std::max(this->current_at, this->watch->confirmed_latest_at());
  };
  store::KindWatchSettings watch_settings;
  watch_settings.freshness = store::Freshness::kMayLag;
  watch_settings.confirm_first_list = own_settings.join_existing;
  this->watch = std::make_unique<store::KindWatch>(own_runtime, store, kind, watch_settings,
                                                   std::move(handlers));
  this->check = this->make_check(store, kind);
  this->node.streams().set_engine_list(this);
}

EngineCatalog::~EngineCatalog() {
  *this->alive = false;
  // The node outlives this object.
  this->node.streams().set_engine_list(nullptr);
}

std::unique_ptr<EngineListCheck> EngineCatalog::make_check(store::ObjectStore& store,
                                                           const std::string& kind) {
  EngineListCheckHandlers handlers;
  handlers.revision = [this] { return this->list.revision(); };
  handlers.nodes = [this] { return this->node.fleet().nodes; };
  handlers.on_changes_skipped = [this] { this->on_changes_skipped(); };
  handlers.on_engine = [this](const store::StoredObject& object) {
    const auto record = this->decoder(object);
    if (record) this->node.streams().on_engine_listed(*record);
  };
  return std::make_unique<EngineListCheck>(this->runtime, store, kind, this->settings.list_check,
                                           std::move(handlers));
}

ListedEngine EngineCatalog::read(const store::StoredObject& object) const {
  auto record = this->decoder(object);
  if (record) return {object.name, std::move(*record)};
  log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
            {{"name", object.name}, {"revision", object.revision}, {"why", record.error()}});
  return {object.name, std::nullopt};
}

void EngineCatalog::confirm(Handler handler) {
  this->check->run([this, asked_at = this->runtime.now(), handler = std::move(handler)](bool done) {
    if (done) this->current_at = std::max(this->current_at, asked_at);
    handler(done && !this->may_have_missed_engines());
  });
}

/// The state is brought up to date without the changes that led to it.
void EngineCatalog::on_changes_skipped() {
  // A node that joins a running system claims no observation of before its first list.
  if (this->list.revision() == 0 && this->settings.join_existing) return;
  const Duration skipped = this->runtime.now() - std::max(this->current_at, this->started_at);
  if (skipped <= kMaxSkippedTime) return;
  this->changes_missed_at = this->runtime.now();
  log_event(LogArea::kPlatform, LogLevel::kWarning, "engine_changes_missed",
            {{"revision", this->list.revision()}, {"skipped_ms", whole_ms(skipped)}});
}

bool EngineCatalog::may_have_missed_engines() const {
  return this->changes_missed_at &&
         this->runtime.now() - *this->changes_missed_at <= kStreamRetention;
}

void EngineCatalog::apply_list(const store::ObjectList& objects) {
  this->on_changes_skipped();
  std::vector<ListedEngine> engines;
  std::vector<EngineRecord> records;
  for (const store::StoredObject& object : objects.objects) {
    engines.push_back(this->read(object));
    if (engines.back().record) records.push_back(*engines.back().record);
  }
  this->list.replace(engines, objects.revision);
  this->node.set_engines(records);
}

void EngineCatalog::apply_change(const store::ObjectChange& change) {
  const std::string& name = change.object.name;
  if (change.deleted) {
    this->list.remove(name);
    return this->node.remove_engine(name);
  }
  ListedEngine engine = this->read(change.object);
  this->use_entry(engine);
  this->list.set(std::move(engine));
}

/// The store may report a removed object with the revision of its last update.
std::uint64_t EngineCatalog::newest_change() const {
  const std::uint64_t change = this->watch->newest_change();
  return this->peers_used ? std::max(change, this->newest_removal) : change;
}

void EngineCatalog::set_timing(Duration wait, Duration max_backoff, Duration batch_delay) {
  this->watch->set_wait(wait);
  this->watch->set_max_backoff(max_backoff);
  this->watch->set_batch_delay(batch_delay);
}

void EngineCatalog::use_peers(bool use) {
  if (std::exchange(this->peers_used, use) == use) return;
  this->peers_used_since = this->runtime.now();
  if (use && this->needs_update()) this->schedule_fetch();
  this->update_source();
}

void EngineCatalog::set_readers(const StoreReaders& own_readers) {
  this->readers = own_readers;
  if (this->peers_used && !this->needs_update()) {
    this->current_at = std::max(this->current_at, this->readers.confirmed_at);
  }
  this->update_source();
  this->watch->report_lag();
}

/// Suspends the watch while other nodes provide the changes.
void EngineCatalog::update_source() {
  if (this->peers_used && !this->readers.self && !this->falls_back()) {
    return this->watch->suspend();
  }
  this->watch->set_freshness(this->watch_freshness());
  this->watch->resume();
}

store::Freshness EngineCatalog::watch_freshness() const {
  if (this->readers.self || this->peers_used) return store::Freshness::kLatest;
  const MonotonicTime confirmed_at = std::max(this->readers.confirmed_at, this->started_at);
  const bool readers_active = this->runtime.now() - confirmed_at <= this->settings.reader_timeout;
  return readers_active ? store::Freshness::kMayLag : store::Freshness::kLatest;
}

/// @return whether this node watches the store as other nodes do not keep it up to date.
bool EngineCatalog::falls_back() {
  const MonotonicTime now = this->runtime.now();
  const char* why = this->peer_failure();
  if (why == nullptr) return now < this->fallback_until;
  if (now >= this->fallback_until) {
    log_event(LogArea::kPlatform, LogLevel::kWarning, "engines_from_store",
              {{"why", why},
               {"revision", this->list.revision()},
               {"others_have", this->watch->newest_hint()},
               {"behind_ms", whole_ms(this->behind())}});
  }
  this->fallback_until = now + this->settings.fallback_time;
  return true;
}

/// @return why the other nodes do not keep this one up to date; null if they do.
const char* EngineCatalog::peer_failure() const {
  const MonotonicTime now = this->runtime.now();
  if (this->list.revision() == 0) {
    const auto rank = static_cast<std::int64_t>(this->node.fleet().rank);
    const Duration timeout =
        this->settings.peer_list_timeout + this->settings.peer_list_timeout_per_node * rank;
    return now - this->peers_used_since > timeout ? "no_list" : nullptr;
  }
  const FallbackTiming timing = fallback_timing(this->settings, this->node.fleet());
  const Duration stalled = std::min(this->behind(), now - this->last_update_at);
  if (stalled > timing.change_timeout) return "behind";
  const MonotonicTime confirmed_at = std::max(this->readers.confirmed_at, this->peers_used_since);
  return now - confirmed_at > timing.reader_timeout ? "readers_silent" : nullptr;
}

void EngineCatalog::hint(std::uint64_t revision) {
  this->watch->hint(revision);
  if (this->peers_used && this->needs_update()) this->schedule_fetch();
}

/// Spreads the requests of the nodes that get a hint at the same time. A node that watches the
/// store usually gets the change from there.
void EngineCatalog::schedule_fetch() {
  if (this->fetch_timer) return;
  const MonotonicTime now = this->runtime.now();
  const Duration spread =
      from_seconds(to_seconds(this->settings.peer_fetch_spread) * random_fraction(this->runtime));
  const Duration delay = std::max(this->next_fetch_at - now, Duration::zero()) + spread;
  const Duration least = this->watching() ? this->settings.watching_fetch_delay : Duration::zero();
  this->fetch_timer = this->runtime.after(std::max(delay, least), [this] { this->fetch(); });
}

void EngineCatalog::fetch() {
  this->fetch_timer.reset();
  if (!this->peers_used || !this->needs_update() || !this->peer_fetch) return;
  this->next_fetch_at = this->runtime.now() + this->settings.engine_fetch_interval;
  this->peer_fetch({this->list.revision()}, [this, living = this->alive](const auto* update) {
    if (*living) this->on_update(update);
  });
}

void EngineCatalog::on_update(const EngineListUpdate* update) {
  if (update != nullptr) {
    this->fetch_backoff = Duration::zero();
    this->apply_update(*update);
  } else {
    this->fetch_backoff =
        std::clamp(2 * this->fetch_backoff, this->settings.initial_peer_fetch_backoff,
                   this->settings.max_peer_fetch_backoff);
    this->next_fetch_at = this->runtime.now() + this->fetch_backoff;
  }
  if (this->needs_update()) this->schedule_fetch();
}

void EngineCatalog::apply_update(const EngineListUpdate& update) {
  if (update.revision > this->list.revision()) this->on_changes_skipped();
  if (!this->list.apply(update)) return;
  this->last_update_at = this->runtime.now();
  if (update.complete) {
    std::vector<EngineRecord> records;
    for (const ListedEngine& engine : update.changed) {
      if (engine.record) records.push_back(*engine.record);
    }
    this->node.set_engines(records);
  } else {
    for (const ListedEngine& engine : update.changed) this->use_entry(engine);
    for (const std::string& name : update.removed) this->node.remove_engine(name);
  }
  this->watch->adopt(update.revision, update.newest_change);
}

void EngineCatalog::use_entry(const ListedEngine& engine) {
  if (engine.record) return this->node.set_engine(*engine.record);
  this->node.invalidate_engine(engine.name);
}

std::string EngineCatalog::answer(const EngineListCall& call) {
  if (!this->has_cached_answer(call)) {
    auto update = this->list.update_since(call.known_revision);
    if (!update) return "";
    update->newest_change = this->newest_change();
    this->cached_answer = {call.known_revision, update->revision, update->complete,
                           encode(*update)};
  }
  const std::string& bytes = this->cached_answer.bytes;
  if (bytes.size() > kMaxEngineListMessage) return "";
  return this->large_answers.admit(bytes.size()) ? bytes : "";
}

/// An answer made for an earlier revision serves a later one too, with some changes repeated.
bool EngineCatalog::has_cached_answer(const EngineListCall& call) const {
  const CachedAnswer& cached = this->cached_answer;
  if (cached.revision != this->list.revision() || call.known_revision >= cached.revision) {
    return false;
  }
  const bool small = cached.bytes.size() <= this->settings.large_answer_bytes;
  const bool repeatable = small && !cached.complete && cached.known < call.known_revision;
  return repeatable || cached.known == call.known_revision;
}

Duration EngineCatalog::age() const {
  const MonotonicTime confirmed_at =
      this->watching() ? this->watch->confirmed_at() : this->readers.confirmed_at;
  return std::max(this->behind(), this->runtime.now() - confirmed_at);
}

}  // namespace shuntbank::relay
