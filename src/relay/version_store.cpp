#include "relay/version_store.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

using nlohmann::json;
using Versions = std::map<ServiceName, std::set<std::string>>;

json to_json(const Versions& versions) {
  json document = json::object();
  for (const auto& [service, of_service] : versions) document[service.value()] = of_service;
  return {{"versions", document}};
}

tl::expected<Versions, std::string> parse_versions(const json& content) {
  try {
    Versions versions;
    for (const auto& [service, of_service] : content.at("versions").items()) {
      versions[ServiceName(service)] = of_service.get<std::set<std::string>>();
    }
    return versions;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace

VersionStore::VersionStore(Runtime& own_runtime, store::ObjectStore& own_store, RelayNode& own_node,
                           bool bootstrap, std::function<bool()> own_is_writer,
                           const VersionStoreSettings& own_settings)
    : runtime(own_runtime),
      store(own_store),
      node(own_node),
      is_writer(std::move(own_is_writer)),
      settings(own_settings),
      adopted(bootstrap) {
  this->ticker =
      std::make_unique<Periodic>(this->runtime, this->settings.interval, [this] { this->tick(); });
  this->node.streams().on_new_version([this] { this->on_new_version(); });
  if (!this->adopted) this->read();
}

VersionStore::~VersionStore() {
  *this->alive = false;
  // The node outlives this object.
  this->node.streams().on_new_version(nullptr);
}

/// Recorded at once, as all nodes may be killed before the next tick.
void VersionStore::on_new_version() {
  this->runtime.post([this, still_alive = this->alive] {
    if (*still_alive) this->tick();
  });
}

void VersionStore::tick() {
  const bool missing = !this->missing_versions().empty();
  if (!missing) this->missing_since.reset();
  if (missing && !this->missing_since) this->missing_since = this->runtime.now();
  if (this->call_pending) return;
  const bool changed = this->node.streams().recent_versions() != this->known_content;
  if (!this->adopted || (changed && this->may_write())) this->read();
}

/// @return the versions that were seen lately and that the object lacks.
VersionStore::Versions VersionStore::missing_versions() const {
  Versions missing;
  for (const auto& [service, versions] : this->node.streams().recent_versions()) {
    const auto known = this->known_content.find(service);
    for (const std::string& version : versions) {
      if (known == this->known_content.end() || known->second.count(version) == 0)
        missing[service].insert(version);
    }
  }
  return missing;
}

bool VersionStore::may_write() const {
  if (this->is_writer()) return true;
  if (!this->missing_since) return false;
  const auto turn = static_cast<std::int64_t>(this->node.fleet().rank) + 1;
  return this->runtime.now() - *this->missing_since >= turn * this->settings.takeover_delay;
}

void VersionStore::read() {
  this->call_pending = true;
  this->store.read(this->settings.kind, this->settings.name, this->settings.call_timeout,
                   [this, still_alive = this->alive](const StoreResult& answer) {
                     if (*still_alive) this->on_read(answer);
                   });
}

void VersionStore::on_read(const StoreResult& answer) {
  this->call_pending = false;
  const bool missing = !answer && answer.error() == store::StoreError::kMissing;
  if (!answer && !missing) return;
  if (answer) {
    const auto stored = parse_versions(answer->content);
    if (stored) this->known_content = *stored;
    if (stored && !this->adopted) this->adopt(*stored);
    if (!stored) {
      log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
                {{"name", this->settings.name}, {"why", stored.error()}});
    }
  }
  this->adopted = true;
  if (this->may_write()) this->write(answer);
}

void VersionStore::adopt(const Versions& stored) {
  std::vector<VersionSighting> sightings;
  for (const auto& [service, versions] : stored) {
    for (const std::string& version : versions) sightings.push_back({service, version, 0});
  }
  this->node.streams().adopt_sightings(sightings);
}

/// The writer alone drops versions that were not seen lately: others may have run for less time.
VersionStore::Versions VersionStore::content() const {
  if (this->is_writer()) return this->node.streams().recent_versions();
  Versions content = this->known_content;
  for (auto& [service, versions] : this->missing_versions()) content[service].merge(versions);
  return content;
}

void VersionStore::write(const StoreResult& answer) {
  const Versions recent = this->content();
  if (recent == this->known_content) return;
  this->call_pending = true;
  const auto handler = [this, still_alive = this->alive, recent](const StoreResult& written) {
    if (!*still_alive) return;
    if (written) this->known_content = recent;
    this->on_written(written);
  };
  if (answer) {
    this->store.replace(this->settings.kind, this->settings.name, answer->revision, to_json(recent),
                        this->settings.call_timeout, handler);
  } else {
    this->store.create(this->settings.kind, this->settings.name, to_json(recent),
                       this->settings.call_timeout, handler);
  }
}

/// The next tick reads the object again after a failure.
void VersionStore::on_written(const StoreResult& answer) {
  this->call_pending = false;
  log_event(LogArea::kPlatform, answer ? LogLevel::kInfo : LogLevel::kWarning, "versions_kept",
            {{"done", answer.has_value()}, {"why", answer ? "" : store::to_text(answer.error())}});
}

}  // namespace shuntbank::relay
