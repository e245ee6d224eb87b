#include "relay/role_coordinator.hpp"

#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::size_t kMaxCallsInFlight = 32;

}  // namespace

RoleCoordinator::RoleCoordinator(const RelayIo& io, LeaseKeeper& lease, RelayNode& node,
                                 const RoleCoordinatorSettings& settings,
                                 const StagePlannerSettings& planner)
    : io_(io), lease_(lease), node_(node), settings_(settings), planner_(planner) {
  lease_.on_tick([this, alive = alive_] {
    if (!*alive) return;
    if (lease_.held_for() >= settings_.takeover_delay) return plan();
    // Measures before it may order, so that a saturated stage need not wait for both.
    const bool held = lease_.held_for() > Duration::zero();
    if (held && node_.table() != nullptr) {
      planner_.observe(io_.runtime.now(), node_.engines(), *node_.table());
    }
  });
}

RoleCoordinator::~RoleCoordinator() {
  *alive_ = false;
}

void RoleCoordinator::plan() {
  if (node_.table() == nullptr) return;
  while (calls_in_flight_ < kMaxCallsInFlight) {
    const auto change = planner_.next(io_.runtime.now(), node_.engines(), *node_.table());
    log_target_changes();
    if (!change) return;
    const EngineView* engine = node_.engines().find(change->engine);
    if (engine != nullptr) request_report(engine->record, change->stage);
  }
}

void RoleCoordinator::log_target_changes() {
  for (const StageTargetChange& change : planner_.take_target_changes()) {
    const auto& target = change.target;
    log_event(LogArea::kControl, LogLevel::kInfo, "stage_target",
              {{"service", change.service.value()},
               {"cause", to_text(change.cause)},
               {"growing", target ? to_text(target->growing) : "none"},
               {"prefill_share", target ? target->prefill_share : 0},
               {"prefill_engines", change.capacity.prefill},
               {"decode_engines", change.capacity.decode},
               {"prefill_work", change.heaviest.prefill},
               {"decode_work", change.heaviest.decode},
               {"recent_prefill_work", change.recent.prefill},
               {"recent_decode_work", change.recent.decode},
               {"history_ms", whole_ms(change.history)}});
  }
}

/// Requests the engine's order count, so that the following order is refused if another one, such
/// as a late one of an earlier holder, arrives first.
void RoleCoordinator::request_report(const EngineRecord& record, EngineStage stage) {
  OutgoingRequest call = io_.dialect.report_request(record.address, record.own_name());
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++calls_in_flight_;
  io_.http.fetch(std::move(call), [this, alive = alive_, record,
                                   stage](const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --calls_in_flight_;
    if (reply && reply->status == http_status::kOk) on_report(record, stage, *reply);
  });
}

void RoleCoordinator::on_report(const EngineRecord& record, EngineStage stage,
                                const HttpReply& reply) {
  const auto report = io_.dialect.parse_report(reply.body);
  if (!report) return;
  // Another incarnation of the engine answers: the order was meant for the previous one.
  const std::uint64_t started = report->started_unix_ms.value_or(record.started_unix_ms);
  if (started != record.started_unix_ms) return;
  EngineListener& listener = node_.listener();
  listener.on_response_head(record.id, reply.status, reply.headers);
  if (report->draining) listener.on_draining(record.id);
  if (node_.engines().notices().draining(record.id)) return;
  if (report->order_in_progress || report->stage == stage) return;
  send_order(record, stage, *report);
}

void RoleCoordinator::send_order(const EngineRecord& record, EngineStage stage,
                                 const EngineReport& report) {
  // Checked right before sending: the lease may have expired while the process was stalled.
  const auto fence = lease_.authority();
  if (!fence) return;
  StageOrder order;
  order.engine = record.own_name();
  order.address = record.address;
  order.stage = stage;
  order.holder = lease_.holder();
  order.fence = *fence;
  order.expected_orders = report.orders_accepted;
  OutgoingRequest call = io_.dialect.stage_order_request(order);
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++calls_in_flight_;
  log_event(LogArea::kControl, LogLevel::kInfo, "order_given",
            {{"engine", record.id.value()},
             {"stage", to_text(stage)},
             {"fence", *fence},
             {"expected", report.orders_accepted}});
  io_.http.fetch(std::move(call), [this, alive = alive_, id = record.id](
                                      const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --calls_in_flight_;
    log_event(LogArea::kControl, LogLevel::kInfo, "order_answered",
              {{"engine", id.value()},
               {"status", reply ? reply->status : 0},
               {"error", reply ? std::string() : reply.error().message}});
  });
}

}  // namespace shuntbank::relay
