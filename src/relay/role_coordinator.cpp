#include "relay/role_coordinator.hpp"

#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

/// Calls to engines that wait for their answer at the same time.
constexpr std::size_t kMostOrdersUnderWay = 32;

}  // namespace

RoleCoordinator::RoleCoordinator(const RelayIo& io, LeaseKeeper& lease, RelayNode& node,
                                 const RoleCoordinatorSettings& settings,
                                 const StagePlannerSettings& planner)
    : io_(io), lease_(lease), node_(node), settings_(settings), planner_(planner) {
  lease_.on_tick([this, alive = alive_] {
    if (*alive && lease_.held_for() >= settings_.takeover_delay) plan();
  });
}

RoleCoordinator::~RoleCoordinator() {
  *alive_ = false;
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
    if (reply && reply->status == http_status::kOk) on_report(record, stage, *reply);
  });
}

void RoleCoordinator::on_report(const EngineRecord& record, EngineStage stage,
                                const HttpReply& reply) {
  const auto report = io_.dialect.report(reply.body);
  if (!report) return;
  // Another start of the engine answers: the order was meant for the one before.
  const std::uint64_t started = report->started_unix_ms.value_or(record.started_unix_ms);
  if (started != record.started_unix_ms) return;
  EngineListener& listener = node_.listener();
  listener.on_head(record.id, reply.status, reply.headers);
  if (report->leaving) listener.on_leaving(record.id);
  if (node_.engines().notices().leaving(record.id)) return;
  if (report->changing || report->stage == stage) return;
  order(record, stage, *report);
}

void RoleCoordinator::order(const EngineRecord& record, EngineStage stage,
                            const EngineReport& report) {
  // Right before the order leaves: a process that stood still may have lost the lease meanwhile.
  const auto fence = lease_.authority();
  if (!fence) return;
  StageOrder order;
  order.engine = record.own_name();
  order.address = record.address;
  order.stage = stage;
  order.holder = lease_.holder();
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
