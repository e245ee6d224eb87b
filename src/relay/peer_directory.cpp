#include "relay/peer_directory.hpp"

#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kRegisterTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRegisterRetryInterval = std::chrono::seconds(2);

/// Delayed updates only delay the discovery of new nodes. The wait must stay below the store's
/// history, or each watch has to list again.
store::KindWatchSettings watch_settings() {
  store::KindWatchSettings settings;
  settings.wait = std::chrono::seconds(12);
  settings.max_backoff = std::chrono::seconds(4);
  // Stale node lists do no harm.
  settings.freshness = store::Freshness::kMayLag;
  settings.confirm_first_list = false;
  return settings;
}

nlohmann::json to_json(const PeerRecord& record) {
  return {
      {"address", record.address}, {"zone", record.zone.value()}, {"capacity", record.capacity}};
}

}  // namespace

PeerDirectory::PeerDirectory(Runtime& own_runtime, store::ObjectStore& own_store,
                             const NodeId& name, const PeerRecord& record,
                             const PeerDirectorySettings& own_settings,
                             std::function<void()> on_change)
    : runtime(own_runtime),
      store(own_store),
      self(name),
      settings(own_settings),
      change_handler(std::move(on_change)) {
  this->records[this->self] = record;
  this->register_self();
  this->start_timer =
      this->runtime.after(this->settings.initial_list_delay, [this] { this->watch_nodes(); });
}

PeerDirectory::~PeerDirectory() {
  *this->alive = false;
}

const PeerRecord* PeerDirectory::find(const NodeId& node) const {
  const auto found = this->records.find(node);
  return found == this->records.end() ? nullptr : &found->second;
}

std::vector<std::string> PeerDirectory::addresses() const {
  std::vector<std::string> all;
  for (const auto& [name, record] : this->records) {
    if (name != this->self) all.push_back(record.address);
  }
  return all;
}

std::vector<std::string> PeerDirectory::nearby_addresses() const {
  std::vector<std::string> nearby;
  for (const auto& [name, record] : this->records) {
    const bool own_zone = record.zone == this->own_record().zone;
    if (name != this->self && own_zone) nearby.push_back(record.address);
  }
  return nearby.empty() ? this->addresses() : nearby;
}

void PeerDirectory::register_self() {
  this->store.create(
      this->settings.kind, this->self.value(), to_json(this->own_record()), kRegisterTimeout,
      [this,
       living = this->alive](const tl::expected<store::StoredObject, store::StoreError>& created) {
        // On conflict the record exists: name and address survive a restart.
        if (!*living || created || created.error() == store::StoreError::kConflict) return;
        this->register_timer =
            this->runtime.after(kRegisterRetryInterval, [this] { this->register_self(); });
      });
}

void PeerDirectory::watch_nodes() {
  store::KindWatchHandlers handlers;
  handlers.on_list = [this](const store::ObjectList& list) {
    for (const store::StoredObject& object : list.objects) this->apply_record(object);
    this->change_handler();
  };
  handlers.on_change = [this](const store::ObjectChange& change) {
    if (!change.deleted) {
      this->apply_record(change.object);
    } else if (change.object.name != this->self.value()) {
      this->records.erase(NodeId(change.object.name));
    }
    this->notify_later();
  };
  this->watch = std::make_unique<store::KindWatch>(this->runtime, this->store, this->settings.kind,
                                                   watch_settings(), std::move(handlers));
}

/// Notifies once for all changes of a batch: the handler's cost grows with the number of nodes.
void PeerDirectory::notify_later() {
  if (std::exchange(this->notification_queued, true)) return;
  this->runtime.post([this, living = this->alive] {
    if (!*living) return;
    this->notification_queued = false;
    this->change_handler();
  });
}

void PeerDirectory::apply_record(const store::StoredObject& object) {
  if (!object.content.is_object() || object.name == this->self.value()) return;
  try {
    this->records[NodeId(object.name)] = {object.content.at("address").get<std::string>(),
                                          ZoneName(object.content.value("zone", "")),
                                          object.content.value("capacity", 0.0)};
  } catch (const nlohmann::json::exception& error) {
    log_event(
        LogArea::kPlatform, LogLevel::kError, "object_malformed",
        {{"name", object.name}, {"revision", object.revision}, {"why", std::string(error.what())}});
  }
}

}  // namespace shuntbank::relay
