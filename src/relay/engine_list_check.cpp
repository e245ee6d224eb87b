#include "relay/engine_list_check.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// The store answers at once.
constexpr Duration kNoWait = std::chrono::milliseconds(1);

}  // namespace

EngineListCheck::EngineListCheck(Runtime& own_runtime, store::ObjectStore& own_store,
                                 const std::string& own_kind,
                                 const EngineListCheckSettings& own_settings,
                                 EngineListCheckHandlers own_handlers)
    : runtime(own_runtime),
      store(own_store),
      kind(own_kind),
      settings(own_settings),
      handlers(std::move(own_handlers)) {}

EngineListCheck::~EngineListCheck() {
  *this->alive = false;
}

void EngineListCheck::run(Handler handler) {
  this->waiting.push_back(std::move(handler));
  this->schedule();
}

void EngineListCheck::schedule() {
  if (this->call_pending || this->timer || this->waiting.empty()) return;
  const Duration delay = std::max(this->next_call_at - this->runtime.now(), Duration::zero());
  this->timer = this->runtime.after(delay, [this] { this->begin(); });
}

Duration EngineListCheck::interval() const {
  const auto nodes = static_cast<std::int64_t>(this->handlers.nodes());
  return std::clamp(this->settings.interval_per_node * nodes, this->settings.min_interval,
                    this->settings.max_interval);
}

void EngineListCheck::begin() {
  this->timer.reset();
  this->call_pending = true;
  this->under_way = std::exchange(this->waiting, {});
  this->begun_at = this->runtime.now();
  this->next_call_at = this->begun_at + this->interval();
  if (this->handlers.revision() == 0) return this->finish(false, "no list");
  this->watch();
}

void EngineListCheck::watch() {
  const std::uint64_t revision = std::max(this->checked_revision, this->handlers.revision());
  this->store.watch(this->kind, revision, store::Freshness::kLatest, kNoWait,
                    this->settings.call_timeout, [this, living = this->alive](const auto& batch) {
                      if (*living) this->on_batch(batch);
                    });
}

void EngineListCheck::on_batch(const tl::expected<store::ChangeBatch, store::StoreError>& batch) {
  if (!batch && batch.error() == store::StoreError::kHistoryGone) return this->list();
  if (!batch) return this->finish(false, store::to_text(batch.error()));
  // Engines that are gone again may have begun streams.
  for (const store::ObjectChange& change : batch->changes) this->handlers.on_engine(change.object);
  this->checked_revision = std::max(this->checked_revision, batch->revision);
  this->finish(true, "");
}

void EngineListCheck::list() {
  this->store.list(this->kind, store::Freshness::kLatest, this->settings.call_timeout,
                   [this, living = this->alive](const auto& listed) {
                     if (*living) this->on_list(listed);
                   });
}

void EngineListCheck::on_list(const tl::expected<store::ObjectList, store::StoreError>& listed) {
  if (!listed) return this->finish(false, store::to_text(listed.error()));
  this->handlers.on_changes_skipped();
  for (const store::StoredObject& object : listed->objects) this->handlers.on_engine(object);
  this->checked_revision = std::max(this->checked_revision, listed->revision);
  this->finish(true, "");
}

void EngineListCheck::finish(bool confirmed, const char* why) {
  this->call_pending = false;
  const std::vector<Handler> asked = std::exchange(this->under_way, {});
  log_event(LogArea::kPlatform, confirmed ? LogLevel::kInfo : LogLevel::kWarning,
            "engine_list_checked",
            {{"confirmed", confirmed},
             {"revision", this->checked_revision},
             {"lookups", asked.size()},
             {"why", why},
             {"took_ms", whole_ms(this->runtime.now() - this->begun_at)}});
  for (const Handler& handler : asked) handler(confirmed);
  this->schedule();
}

}  // namespace shuntbank::relay
