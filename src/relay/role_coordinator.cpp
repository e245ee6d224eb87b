#include "relay/role_coordinator.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/engine_call.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::size_t kMaxCallsInFlight = 32;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

RoleCoordinator::RoleCoordinator(const RelayIo& io, LeaseKeeper& lease, RelayNode& node,
                                 const RoleCoordinatorSettings& settings,
                                 const StagePlannerSettings& planner)
    : io_(io),
      lease_(lease),
      node_(node),
      settings_(settings),
      planner_(planner),
      changes_(settings.changes) {
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
  const auto fence = lease_.authority();
  if (node_.table() == nullptr || !fence) return;
  const MonotonicTime now = io_.runtime.now();
  for (const StageChangeStep& step : changes_.drop_before(now, *fence)) end_change(step);
  const auto still_wanted = [this, now](const StageChange& change) {
    return planner_.still_wanted(now, node_.engines(), *node_.table(), change);
  };
  const std::size_t max_orders = kMaxCallsInFlight - std::min(kMaxCallsInFlight, calls_in_flight_);
  const auto steps = changes_.poll(now, node_.engines(), still_wanted, max_orders);
  for (const StageChangeStep& step : steps) {
    if (StageChangeQueue::ends(step.action)) end_change(step);
  }
  // New notices go first, as messages have room for a few: they are awaited by an order.
  announce_planned(now, *fence);
  for (const StageChangeStep& step : steps) {
    if (!StageChangeQueue::ends(step.action)) repeat_notice(step);
    const EngineView* engine = node_.engines().find(step.change.engine);
    if (step.action != StageChangeAction::kOrder || engine == nullptr) continue;
    request_report(engine->record, step.change.stage, step.fence);
  }
}

void RoleCoordinator::announce_planned(MonotonicTime now, Fence fence) {
  while (changes_.has_room()) {
    const auto change = planner_.next(now, node_.engines(), *node_.table());
    log_target_changes();
    if (!change) return;
    if (!changes_.announce(now, *change, fence)) continue;
    const StageNotice notice = changes_.notice(*change, fence);
    node_.queue_stage_notice({change->engine, notice});
    node_.metrics().count_stage_notice("given");
    const EngineView* engine = node_.engines().find(change->engine);
    log_event(LogArea::kControl, LogLevel::kInfo, "stage_notice_given",
              {{"engine", change->engine.value()},
               {"stage", to_text(change->stage)},
               {"fence", fence},
               {"valid_ms", whole_ms(notice.valid_for)},
               {"lead_ms", whole_ms(settings_.changes.notice_lead)},
               {"requests", engine->total_requests(now)},
               {"slots", engine->record.slots}});
  }
}

void RoleCoordinator::repeat_notice(const StageChangeStep& step) {
  node_.queue_stage_notice({step.change.engine, changes_.notice(step.change, step.fence)});
}

/// Nodes get a withdrawal, and let the notices of completed and expired changes lapse: those that
/// do not know of the new stage yet must not send work of the old one meanwhile.
void RoleCoordinator::end_change(const StageChangeStep& step) {
  const EngineId& id = step.change.engine;
  const EngineView* engine = node_.engines().find(id);
  const bool withdrawn = step.action == StageChangeAction::kWithdraw;
  const bool completed = step.action == StageChangeAction::kComplete;
  if (withdrawn && engine != nullptr) {
    node_.queue_stage_notice({id, {engine->record.stage, step.fence, Duration::zero()}});
  }
  if (!completed && !step.ordered) planner_.withdraw(id);
  const char* outcome = withdrawn ? "withdrawn" : completed ? "completed" : "expired";
  node_.metrics().count_stage_notice(outcome);
  log_event(LogArea::kControl, LogLevel::kInfo, std::string("stage_notice_") + outcome,
            {{"engine", id.value()},
             {"stage", to_text(step.change.stage)},
             {"fence", step.fence},
             {"ordered", step.ordered},
             {"why", step.why},
             {"age_ms", whole_ms(step.age)}});
}

void RoleCoordinator::cancel_change(const EngineId& engine, const char* why) {
  const auto step = changes_.cancel(io_.runtime.now(), engine, why);
  if (step) end_change(*step);
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
void RoleCoordinator::request_report(const EngineRecord& record, EngineStage stage, Fence fence) {
  OutgoingRequest call = io_.dialect.report_request(record.address, record.own_name());
  expect_unnamed_answer(call, io_.dialect.names());
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++calls_in_flight_;
  io_.http.fetch(std::move(call), [this, alive = alive_, record, stage,
                                   fence](const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --calls_in_flight_;
    if (reply && reply->status == http_status::kOk) return on_report(record, stage, fence, *reply);
    cancel_change(record.id, "no report");
  });
}

void RoleCoordinator::on_report(const EngineRecord& record, EngineStage stage, Fence fence,
                                const HttpReply& reply) {
  const auto report = io_.dialect.parse_report(reply.body);
  if (!report) return cancel_change(record.id, "report unreadable");
  // Another incarnation of the engine answers: the order was meant for the previous one.
  const std::uint64_t started = report->started_unix_ms.value_or(record.started_unix_ms);
  if (started != record.started_unix_ms) return cancel_change(record.id, "engine restarted");
  EngineListener& listener = node_.listener();
  listener.on_response_head(record.id, reply.status, reply.headers);
  if (report->draining) listener.on_draining(record.id);
  if (node_.engines().notices().draining(record.id)) {
    return cancel_change(record.id, "engine drains");
  }
  // The change is under way or complete, and the list of engines does not show it yet.
  if (report->order_in_progress || report->stage == stage) {
    return changes_.on_ordered(io_.runtime.now(), record.id);
  }
  send_order(record, stage, fence, *report);
}

void RoleCoordinator::send_order(const EngineRecord& record, EngineStage stage, Fence fence,
                                 const EngineReport& report) {
  // Checked right before sending: the lease may have expired while the process was stalled.
  const auto current_fence = lease_.authority();
  // The change was announced under an earlier lease; a new one announces anew.
  if (!current_fence || *current_fence != fence) return;
  StageOrder order;
  order.engine = record.own_name();
  order.address = record.address;
  order.stage = stage;
  order.holder = lease_.holder();
  order.fence = fence;
  order.expected_orders = report.orders_accepted;
  OutgoingRequest call = io_.dialect.stage_order_request(order);
  expect_unnamed_answer(call, io_.dialect.names());
  call.total_timeout = settings_.order_timeout;
  call.connect_timeout = settings_.order_timeout;
  ++calls_in_flight_;
  planner_.on_ordered(io_.runtime.now(), {record.id, stage});
  changes_.on_ordered(io_.runtime.now(), record.id);
  log_event(LogArea::kControl, LogLevel::kInfo, "order_given",
            {{"engine", record.id.value()},
             {"stage", to_text(stage)},
             {"fence", fence},
             {"expected", report.orders_accepted}});
  io_.http.fetch(std::move(call), [this, alive = alive_, id = record.id](
                                      const tl::expected<HttpReply, TransferError>& reply) {
    if (!*alive) return;
    --calls_in_flight_;
    on_order_answered(id, reply);
  });
}

/// An order without an answer may still be carried out, so its notice stands.
void RoleCoordinator::on_order_answered(const EngineId& engine,
                                        const tl::expected<HttpReply, TransferError>& reply) {
  log_event(LogArea::kControl, LogLevel::kInfo, "order_answered",
            {{"engine", engine.value()},
             {"status", reply ? reply->status : 0},
             {"error", reply ? std::string() : reply.error().message}});
  if (reply && !is_success(reply->status)) cancel_change(engine, "order rejected");
}

}  // namespace shuntbank::relay
