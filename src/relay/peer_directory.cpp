#include "relay/peer_directory.hpp"

#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kRegisterTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRegisterRetryInterval = std::chrono::seconds(2);
constexpr Duration kRemoveTimeout = std::chrono::milliseconds(1500);

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
  if (std::exchange(this->registering, true)) return;
  this->register_again = false;
  this->store.create(
      this->settings.kind, this->self.value(), to_json(this->own_record()), kRegisterTimeout,
      [this,
       living = this->alive](const tl::expected<store::StoredObject, store::StoreError>& created) {
        if (!*living) return;
        this->registering = false;
        // On conflict there is a record of an earlier start; the watch shows whether it differs.
        const bool exists = created || created.error() == store::StoreError::kConflict;
        if (created) this->registered_at = created->revision;
        if (!exists) return this->register_later();
        if (this->register_again) this->register_self();
      });
}

void PeerDirectory::register_later() {
  this->register_timer =
      this->runtime.after(kRegisterRetryInterval, [this] { this->register_self(); });
}

/// Replaces the record of an earlier start with another address, zone or capacity.
void PeerDirectory::update_own_record(std::uint64_t revision) {
  log_event(LogArea::kControl, LogLevel::kInfo, "node_record_replaced",
            {{"node", this->self.value()}, {"revision", revision}});
  this->store.replace(this->settings.kind, this->self.value(), revision,
                      to_json(this->own_record()), kRegisterTimeout,
                      [this, living = this->alive](const auto& replaced) {
                        if (*living && !replaced) this->register_later();
                      });
}

void PeerDirectory::remove(const NodeId& node, std::function<void(bool removed)> handler) {
  const auto found = this->revisions.find(node);
  if (found == this->revisions.end()) return handler(false);
  this->store.remove(
      this->settings.kind, node.value(), found->second, kRemoveTimeout,
      [this, living = this->alive, node, handler = std::move(handler)](const auto& removed) {
        if (!*living) return;
        const bool gone = removed || removed.error() == store::StoreError::kMissing;
        if (gone) this->forget(node);
        handler(gone);
      });
}

void PeerDirectory::restore(const NodeId& node, const PeerRecord& record) {
  log_event(LogArea::kControl, LogLevel::kWarning, "node_restored", {{"node", node.value()}});
  // On failure the node answers another probe.
  this->store.create(this->settings.kind, node.value(), to_json(record), kRegisterTimeout,
                     [](const auto& /*created*/) {});
}

void PeerDirectory::watch_nodes() {
  store::KindWatchHandlers handlers;
  handlers.on_list = [this](const store::ObjectList& list) { this->apply_list(list); };
  handlers.on_change = [this](const store::ObjectChange& change) { this->apply_change(change); };
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

void PeerDirectory::apply_list(const store::ObjectList& list) {
  const PeerRecord own = this->own_record();
  this->records = {{this->self, own}};
  this->revisions.clear();
  bool listed = false;
  for (const store::StoredObject& object : list.objects) {
    listed = listed || object.name == this->self.value();
    this->apply_record(object);
  }
  // A list that lags may be older than the record.
  if (!listed && list.revision > this->registered_at) this->register_self();
  this->change_handler();
}

void PeerDirectory::apply_change(const store::ObjectChange& change) {
  if (!change.deleted) {
    this->apply_record(change.object);
  } else if (change.object.name == this->self.value()) {
    log_event(LogArea::kControl, LogLevel::kWarning, "own_record_removed",
              {{"node", this->self.value()}, {"revision", change.object.revision}});
    this->register_again = this->registering;
    this->register_self();
  } else {
    this->forget(NodeId(change.object.name));
  }
  this->notify_later();
}

void PeerDirectory::forget(const NodeId& node) {
  if (this->records.erase(node) > 0) this->notify_later();
  this->revisions.erase(node);
}

void PeerDirectory::apply_record(const store::StoredObject& object) {
  if (!object.content.is_object()) return;
  if (object.name == this->self.value()) {
    if (object.content != to_json(this->own_record())) this->update_own_record(object.revision);
    return;
  }
  try {
    this->records[NodeId(object.name)] = {object.content.at("address").get<std::string>(),
                                          ZoneName(object.content.value("zone", "")),
                                          object.content.value("capacity", 0.0)};
    this->revisions[NodeId(object.name)] = object.revision;
  } catch (const nlohmann::json::exception& error) {
    log_event(
        LogArea::kPlatform, LogLevel::kError, "object_malformed",
        {{"name", object.name}, {"revision", object.revision}, {"why", std::string(error.what())}});
  }
}

}  // namespace shuntbank::relay
