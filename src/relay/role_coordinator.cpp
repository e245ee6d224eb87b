#include "relay/role_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"
#include "protocol/lease_codec.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::size_t kWriteIdBytes = 8;

/// Calls to engines that wait for their answer at the same time.
constexpr std::size_t kMostOrdersUnderWay = 32;

}  // namespace

RoleCoordinator::RoleCoordinator(const RelayIo& io, store::ObjectStore& store, RelayNode& node,
                                 const std::string& self, const RoleCoordinatorSettings& settings,
                                 const StagePlannerSettings& planner)
    : io_(io),
      store_(store),
      node_(node),
      // A start of a process is a holder of its own: what it knew of the lease is gone.
      self_(self + "/" + io.runtime.random_hex(4)),
      settings_(settings),
      lease_(NodeId(self_), settings.lease),
      planner_(planner),
      ticker_(std::make_unique<Periodic>(io.runtime, settings.tick, [this] { tick(); })) {}

RoleCoordinator::~RoleCoordinator() {
  *alive_ = false;
}

void RoleCoordinator::stop() {
  stopped_ = true;
  lease_.resign();
}

void RoleCoordinator::tick() {
  if (stopped_ || !node_.ready()) return;
  run_lease();
  const bool holds = lease_.authority(io_.runtime.now()).has_value();
  if (holds != held_) {
    held_ = holds;
    held_since_ = io_.runtime.now();
    log_event(LogArea::kControl, LogLevel::kInfo, holds ? "lease_taken" : "lease_lost",
              {{"holder", self_}, {"epoch", lease_.last_seen().record.epoch}});
  }
  if (holds && io_.runtime.now() - held_since_ >= settings_.settle) plan();
}

/// A few nodes stand by closely; of the rest, one looks now and then in case those are all gone.
void RoleCoordinator::pace_standby() {
  const Fleet& fleet = node_.fleet();
  const Duration renewed = settings_.lease.renew_every;
  const Duration others = settings_.others_read_every * static_cast<std::int64_t>(fleet.nodes);
  const bool close = fleet.rank < settings_.standbys;
  lease_.set_standby_interval(close ? renewed : std::max(renewed, others));
}

void RoleCoordinator::run_lease() {
  pace_standby();
  switch (lease_.poll(io_.runtime.now(), true, io_.runtime.random_hex(kWriteIdBytes))) {
    case LeaseAction::kNothing:
      return;
    case LeaseAction::kRead:
      return read_lease();
    case LeaseAction::kWrite:
      return write_lease();
  }
}

void RoleCoordinator::read_lease() {
  store_.read(
      location_.kind, location_.name, settings_.order_timeout,
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& read) {
        if (!*alive) return;
        const MonotonicTime now = io_.runtime.now();
        if (read) {
          return lease_.on_read(now, {read->revision, lease_from_json(read->content)});
        }
        if (read.error() == store::StoreError::kMissing) return lease_.on_read(now, {});
        lease_.on_read_failed(now);
      });
}

void RoleCoordinator::write_lease() {
  const VersionedLease& lease = lease_.pending_write();
  auto done =
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& written) {
        if (!*alive) return;
        const MonotonicTime now = io_.runtime.now();
        if (written) return lease_.on_written(now, true, written->revision);
        if (written.error() == store::StoreError::kConflict)
          return lease_.on_written(now, false, 0);
        lease_.on_write_unanswered(now);
      };
  const nlohmann::json content = lease_to_json(lease.record);
  if (lease.version == 0) {
    store_.create(location_.kind, location_.name, content, settings_.order_timeout, done);
  } else {
    store_.replace(location_.kind, location_.name, lease.version, content, settings_.order_timeout,
                   done);
  }
}

void RoleCoordinator::plan() {
  if (node_.table() == nullptr) return;
  while (orders_under_way_ < kMostOrdersUnderWay) {
    const auto change = planner_.next(io_.runtime.now(), node_.engines(), *node_.table());
    if (!change) return;
    const EngineView* engine = node_.engines().find(change->engine);
    if (engine != nullptr) ask(engine->record, change->stage);
  }
}

/// Asks how many orders the engine has taken, so that the order which follows is refused if another
/// one, such as a late one of an earlier holder, comes between.
void RoleCoordinator::ask(const EngineRecord& record, EngineStage stage) {
  OutgoingRequest call = io_.dialect.ask_report(record.address, record.own_name());
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++orders_under_way_;
  io_.http.fetch(std::move(call), [this, alive = alive_, record,
                                   stage](const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --orders_under_way_;
    if (!reply || reply->status != http_status::kOk) return;
    const auto report = io_.dialect.report(reply->body);
    if (!report || report->changing || report->stage == stage) return;
    // Another start of the engine answers: the order was meant for the one before.
    const std::uint64_t started = report->started_unix_ms.value_or(record.started_unix_ms);
    if (started != record.started_unix_ms) return;
    order(record, stage, *report);
  });
}

void RoleCoordinator::order(const EngineRecord& record, EngineStage stage,
                            const EngineReport& report) {
  // Right before the order leaves: a process that stood still may have lost the lease meanwhile.
  const auto fence = lease_.authority(io_.runtime.now());
  if (!fence) return;
  StageOrder order;
  order.engine = record.own_name();
  order.address = record.address;
  order.stage = stage;
  order.holder = self_;
  order.fence = *fence;
  order.expected_orders = report.orders_taken;
  OutgoingRequest call = io_.dialect.stage_order(order);
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++orders_under_way_;
  log_event(LogArea::kControl, LogLevel::kInfo, "order_given",
            {{"engine", record.id.value()},
             {"stage", to_text(stage)},
             {"fence", *fence},
             {"expected", report.orders_taken}});
  io_.http.fetch(std::move(call), [this, alive = alive_, id = record.id](
                                      const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --orders_under_way_;
    log_event(LogArea::kControl, LogLevel::kInfo, "order_answered",
              {{"engine", id.value()},
               {"status", reply ? reply->status : 0},
               {"error", reply ? std::string() : reply.error().message}});
  });
}

}  // namespace shuntbank::relay
