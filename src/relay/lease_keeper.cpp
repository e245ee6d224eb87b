#include "relay/lease_keeper.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "protocol/lease_codec.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::size_t kWriteIdBytes = 8;

}  // namespace

LeaseKeeper::LeaseKeeper(Runtime& runtime, store::ObjectStore& store, const RelayNode& node,
                         const std::string& self, const LeaseKeeperSettings& settings)
    : runtime_(runtime),
      store_(store),
      node_(node),
      // Each process is a separate holder: it has no lease state of earlier ones.
      holder_(self + "/" + runtime.random_hex(4)),
      settings_(settings),
      lease_(NodeId(holder_), settings.lease),
      ticker_(std::make_unique<Periodic>(runtime, settings.tick_interval, [this] { tick(); })) {}

LeaseKeeper::~LeaseKeeper() {
  *alive_ = false;
}

void LeaseKeeper::stop() {
  stopped_ = true;
  lease_.resign();
}

std::optional<Fence> LeaseKeeper::authority() const {
  return lease_.authority(runtime_.now());
}

Duration LeaseKeeper::held_for() const {
  return held_since_ && authority() ? runtime_.now() - *held_since_ : Duration::zero();
}

void LeaseKeeper::tick() {
  if (stopped_ || !node_.ready()) return;
  // Orders need a path to the engines.
  if (node_.paths().bypassed()) {
    lease_.resign();
  } else {
    poll_lease();
  }
  const bool holding = authority().has_value();
  if (holding != held_since_.has_value()) {
    held_since_ = holding ? std::optional(runtime_.now()) : std::nullopt;
    log_event(LogArea::kControl, LogLevel::kInfo, holding ? "lease_taken" : "lease_lost",
              {{"holder", holder_}, {"epoch", lease_.last_seen().record.epoch}});
  }
  if (!holding) return;
  for (const auto& handler : handlers_) handler();
}

/// A few standby nodes read the lease frequently; the others read rarely, in case all standbys
/// fail.
void LeaseKeeper::update_standby_interval() {
  const Fleet& fleet = node_.fleet();
  const Duration renew_interval = settings_.lease.renew_interval;
  const Duration read_interval =
      settings_.read_interval_per_node * static_cast<std::int64_t>(fleet.nodes);
  const bool is_standby = fleet.rank < settings_.standbys;
  lease_.set_standby_interval(is_standby ? renew_interval
                                         : std::max(renew_interval, read_interval));
}

void LeaseKeeper::poll_lease() {
  update_standby_interval();
  switch (lease_.poll(runtime_.now(), true, runtime_.random_hex(kWriteIdBytes))) {
    case LeaseAction::kNothing:
      return;
    case LeaseAction::kRead:
      return read();
    case LeaseAction::kWrite:
      return write();
  }
}

void LeaseKeeper::read() {
  store_.read(
      location_.kind, location_.name, settings_.call_timeout,
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& read) {
        if (!*alive) return;
        const MonotonicTime now = runtime_.now();
        if (read) {
          return lease_.on_read(now, {read->revision, lease_from_json(read->content)});
        }
        if (read.error() == store::StoreError::kMissing) return lease_.on_read(now, {});
        lease_.on_read_failed(now);
      });
}

void LeaseKeeper::write() {
  const VersionedLease& lease = lease_.pending_write();
  auto handler =
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& written) {
        if (!*alive) return;
        const MonotonicTime now = runtime_.now();
        if (written) return lease_.on_written(now, true, written->revision);
        if (written.error() == store::StoreError::kConflict)
          return lease_.on_written(now, false, 0);
        lease_.on_write_unanswered(now);
      };
  const nlohmann::json content = lease_to_json(lease.record);
  if (lease.version == 0) {
    store_.create(location_.kind, location_.name, content, settings_.call_timeout, handler);
  } else {
    store_.replace(location_.kind, location_.name, lease.version, content, settings_.call_timeout,
                   handler);
  }
}

}  // namespace shuntbank::relay
