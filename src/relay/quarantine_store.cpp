#include "relay/quarantine_store.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/hash.hpp"
#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

using nlohmann::json;

/// Wall-clock time, since monotonic clocks do not survive a restart. Skew of seconds is negligible
/// against the quarantine duration.
Duration time_left_until(std::uint64_t until_unix_ms, std::uint64_t now_unix_ms) {
  const auto left = until_unix_ms > now_unix_ms ? until_unix_ms - now_unix_ms : 0;
  return std::chrono::milliseconds(left);
}

json to_json(const QuarantinedRequest& entry, std::uint64_t now_unix_ms) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(entry.time_left).count();
  return {{"request", to_text(entry.request)},
          {"engines_ended", entry.crashed_engines},
          {"callers", entry.callers},
          {"until_unix_ms", now_unix_ms + static_cast<std::uint64_t>(left)}};
}

std::vector<QuarantinedRequest> parse_entries(const json& content, std::uint64_t now_unix_ms) {
  std::vector<QuarantinedRequest> entries;
  try {
    for (const json& entry : content.at("held")) {
      const auto request = parse_digest(entry.at("request").get<std::string>());
      const Duration time_left =
          time_left_until(entry.at("until_unix_ms").get<std::uint64_t>(), now_unix_ms);
      auto callers = entry.at("callers").get<std::set<CallerAddressHash>>();
      if (!request || callers.empty() || time_left == Duration::zero()) continue;
      entries.push_back({*request, entry.at("engines_ended").get<std::vector<EngineKey>>(),
                         std::move(callers), time_left});
    }
  } catch (const json::exception& error) {
    log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
              {{"name", "held"}, {"why", std::string(error.what())}});
  }
  return entries;
}

}  // namespace

QuarantineStore::QuarantineStore(Runtime& own_runtime, store::ObjectStore& own_store,
                                 RelayNode& own_node, const QuarantineStoreSettings& own_settings)
    : runtime(own_runtime), store(own_store), node(own_node), settings(own_settings) {
  this->node.quarantine().on_quarantine_changed(
      [this](bool own) { this->on_quarantine_changed(own); });
  this->schedule_read(Duration::zero());
}

QuarantineStore::~QuarantineStore() {
  *this->alive = false;
  // The node outlives this object.
  this->node.quarantine().on_quarantine_changed(nullptr);
}

void QuarantineStore::on_quarantine_changed(bool own) {
  if (!own && this->node.fleet().rank != 0) return;
  this->dirty = true;
  this->schedule_read(own ? Duration::zero() : this->settings.follow_up_delay);
}

void QuarantineStore::schedule_read(Duration delay) {
  if (this->call_pending) return;
  this->timer = this->runtime.after(delay, [this] { this->read(); });
}

void QuarantineStore::read() {
  this->call_pending = true;
  this->store.read(this->settings.kind, this->settings.name, this->settings.call_timeout,
                   [this, still_alive = this->alive](const StoreResult& answer) {
                     if (*still_alive) this->on_read(answer);
                   });
}

void QuarantineStore::on_read(const StoreResult& answer) {
  this->call_pending = false;
  const bool missing = !answer && answer.error() == store::StoreError::kMissing;
  if (!answer && !missing) return this->schedule_read(this->settings.retry_interval);
  // Also merged before each write, since another node may have more entries.
  if (answer) {
    this->node.quarantine().restore(
        parse_entries(answer->content, this->runtime.unix_milliseconds()));
  }
  if (this->dirty) this->write(answer);
}

void QuarantineStore::write(const StoreResult& answer) {
  json content = this->content();
  if (answer && answer->content == content) {
    this->dirty = false;
    return;
  }
  this->call_pending = true;
  this->dirty = false;
  const auto handler = [this, still_alive = this->alive](const StoreResult& written) {
    if (*still_alive) this->on_written(written);
  };
  if (answer) {
    this->store.replace(this->settings.kind, this->settings.name, answer->revision, content,
                        this->settings.call_timeout, handler);
  } else {
    this->store.create(this->settings.kind, this->settings.name, content,
                       this->settings.call_timeout, handler);
  }
}

void QuarantineStore::on_written(const StoreResult& answer) {
  this->call_pending = false;
  // The next read shows whether a failed write took effect.
  if (!answer) this->dirty = true;
  log_event(LogArea::kPlatform, answer ? LogLevel::kInfo : LogLevel::kWarning, "quarantine_kept",
            {{"done", answer.has_value()}, {"why", answer ? "" : store::to_text(answer.error())}});
  if (this->dirty) this->schedule_read(this->settings.retry_interval);
}

/// Includes the entries that were just read.
json QuarantineStore::content() const {
  std::vector<QuarantinedRequest> entries = this->node.quarantine().quarantined();
  std::sort(entries.begin(), entries.end(),
            [](const QuarantinedRequest& left, const QuarantinedRequest& right) {
              return left.time_left > right.time_left;
            });
  entries.resize(std::min(entries.size(), this->settings.max_requests));
  json stored = json::array();
  for (const QuarantinedRequest& entry : entries) {
    stored.push_back(to_json(entry, this->runtime.unix_milliseconds()));
  }
  return {{"held", std::move(stored)}};
}

}  // namespace shuntbank::relay
