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
      // A start of a process is a holder of its own: what it knew of the lease is gone.
      holder_(self + "/" + runtime.random_hex(4)),
      settings_(settings),
      lease_(NodeId(holder_), settings.lease),
      ticker_(std::make_unique<Periodic>(runtime, settings.tick, [this] { tick(); })) {}

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
  run();
  const bool holds = authority().has_value();
  if (holds != held_since_.has_value()) {
    held_since_ = holds ? std::optional(runtime_.now()) : std::nullopt;
    log_event(LogArea::kControl, LogLevel::kInfo, holds ? "lease_taken" : "lease_lost",
              {{"holder", holder_}, {"epoch", lease_.last_seen().record.epoch}});
  }
  if (!holds) return;
  for (const auto& handler : handlers_) handler();
}

/// A few nodes stand by closely; of the rest, one looks now and then in case those are all gone.
void LeaseKeeper::pace_standby() {
  const Fleet& fleet = node_.fleet();
  const Duration renewed = settings_.lease.renew_interval;
  const Duration others = settings_.others_read_every * static_cast<std::int64_t>(fleet.nodes);
  const bool close = fleet.rank < settings_.standbys;
  lease_.set_standby_interval(close ? renewed : std::max(renewed, others));
}

void LeaseKeeper::run() {
  pace_standby();
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
  auto done =
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
    store_.create(location_.kind, location_.name, content, settings_.call_timeout, done);
  } else {
    store_.replace(location_.kind, location_.name, lease.version, content, settings_.call_timeout,
                   done);
  }
}

}  // namespace shuntbank::relay
