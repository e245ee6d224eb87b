#include "relay/quarantine_store.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/hash.hpp"
#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

using nlohmann::json;

/// The processes of one life share no steady clock with those of the next, so that the object holds
/// the time of day. That may be off by seconds, which is nothing against the time it measures.
Duration left_until(std::uint64_t until_unix_ms, std::uint64_t now_unix_ms) {
  const auto left = until_unix_ms > now_unix_ms ? until_unix_ms - now_unix_ms : 0;
  return std::chrono::milliseconds(left);
}

json to_json(const HeldRequest& held, std::uint64_t now_unix_ms) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(held.left).count();
  return {{"request", to_text(held.request)},
          {"engines_ended", held.ended},
          {"callers", held.callers},
          {"until_unix_ms", now_unix_ms + static_cast<std::uint64_t>(left)}};
}

std::vector<HeldRequest> held_from(const json& content, std::uint64_t now_unix_ms) {
  std::vector<HeldRequest> all;
  try {
    for (const json& entry : content.at("held")) {
      const auto request = parse_digest(entry.at("request").get<std::string>());
      const Duration left = left_until(entry.at("until_unix_ms").get<std::uint64_t>(), now_unix_ms);
      auto callers = entry.at("callers").get<std::set<CallerAddressHash>>();
      if (!request || callers.empty() || left == Duration::zero()) continue;
      all.push_back({*request, entry.at("engines_ended").get<std::vector<EngineKey>>(),
                     std::move(callers), left});
    }
  } catch (const json::exception& error) {
    log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
              {{"name", "held"}, {"why", std::string(error.what())}});
  }
  return all;
}

}  // namespace

QuarantineStore::QuarantineStore(Runtime& own_runtime, store::ObjectStore& own_store,
                                 RelayNode& own_node, const QuarantineStoreSettings& own_settings)
    : runtime(own_runtime), store(own_store), node(own_node), settings(own_settings) {
  this->node.quarantine().on_held_changed([this](bool own) { this->on_held_changed(own); });
  this->call(Duration::zero());
}

QuarantineStore::~QuarantineStore() {
  *this->alive = false;
  // The node outlives this.
  this->node.quarantine().on_held_changed(nullptr);
}

void QuarantineStore::on_held_changed(bool own) {
  if (!own && this->node.fleet().rank != 0) return;
  this->changed = true;
  this->call(own ? Duration::zero() : this->settings.look_after);
}

void QuarantineStore::call(Duration delay) {
  if (this->calling) return;
  this->timer = this->runtime.after(delay, [this] { this->read(); });
}

void QuarantineStore::read() {
  this->calling = true;
  this->store.read(this->settings.kind, this->settings.name, this->settings.call_timeout,
                   [this, living = this->alive](const Answer& answer) {
                     if (*living) this->on_read(answer);
                   });
}

void QuarantineStore::on_read(const Answer& answer) {
  this->calling = false;
  const bool missing = !answer && answer.error() == store::StoreError::kMissing;
  if (!answer && !missing) return this->call(this->settings.again);
  // Also before each writing: another node may know more.
  if (answer) {
    this->node.quarantine().restore(held_from(answer->content, this->runtime.unix_milliseconds()));
  }
  if (this->changed) this->write(answer);
}

void QuarantineStore::write(const Answer& answer) {
  json content = this->content();
  if (answer && answer->content == content) {
    this->changed = false;
    return;
  }
  this->calling = true;
  this->changed = false;
  const auto handler = [this, living = this->alive](const Answer& written) {
    if (*living) this->on_written(written);
  };
  if (answer) {
    this->store.replace(this->settings.kind, this->settings.name, answer->revision, content,
                        this->settings.call_timeout, handler);
  } else {
    this->store.create(this->settings.kind, this->settings.name, content,
                       this->settings.call_timeout, handler);
  }
}

void QuarantineStore::on_written(const Answer& answer) {
  this->calling = false;
  // Whatever became of it, a look at the store settles it.
  if (!answer) this->changed = true;
  log_event(LogArea::kPlatform, answer ? LogLevel::kInfo : LogLevel::kWarning, "quarantine_kept",
            {{"done", answer.has_value()}, {"why", answer ? "" : store::to_text(answer.error())}});
  if (this->changed) this->call(this->settings.again);
}

/// Holds what this node holds back, and so also what it has just read.
json QuarantineStore::content() const {
  std::vector<HeldRequest> held = this->node.quarantine().held();
  std::sort(held.begin(), held.end(), [](const HeldRequest& left, const HeldRequest& right) {
    return left.left > right.left;
  });
  held.resize(std::min(held.size(), this->settings.most_requests));
  json list = json::array();
  for (const HeldRequest& entry : held) {
    list.push_back(to_json(entry, this->runtime.unix_milliseconds()));
  }
  return {{"held", std::move(list)}};
}

}  // namespace shuntbank::relay
