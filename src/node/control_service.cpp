#include "node/control_service.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/units.hpp"
#include "protocol/lease_codec.hpp"

namespace shuntbank {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kPlanInterval = std::chrono::seconds(1);

/// Candidates for each lease, the preferred holder included.
constexpr std::size_t kLeaseCandidates = 2;

constexpr std::size_t kWriteIdBytes = 8;

const Policy kDefaultPolicy;

bool allows_disaggregation(const Service& service) {
  const auto allows = [&service](EngineRole role) {
    return std::find(service.allowed_roles.begin(), service.allowed_roles.end(), role) !=
           service.allowed_roles.end();
  };
  return allows(EngineRole::kPrefill) && allows(EngineRole::kDecode);
}

}  // namespace

ControlService::ControlService(Runtime& runtime, ObjectClient& platform, EngineClient& engines,
                               ClusterService& cluster, RegionName region, Duration lease_duration)
    : runtime_(runtime),
      platform_(platform),
      engines_(engines),
      cluster_(cluster),
      region_(std::move(region)),
      lease_settings_{lease_duration, lease_duration / 4, lease_duration / 5},
      ticker_(runtime, kTickInterval, [this] { tick(); }) {}

void ControlService::configure(const SnapshotPointer& snapshot) {
  snapshot_ = snapshot;
  std::erase_if(duties_, [&snapshot](const auto& entry) {
    return snapshot->find_service(entry.first) == nullptr;
  });
  for (const auto& [name, service] : snapshot->services()) {
    if (service.kind != ServiceKind::kModel) continue;
    Duty& duty = duties_.try_emplace(name, cluster_.self().node, lease_settings_).first->second;
    if (duty.controller) {
      duty.controller->configure(snapshot->engines_of(name), service.models,
                                 policy_for(name).drain_bound);
    }
  }
}

const Policy& ControlService::policy_for(const ServiceName& service) const {
  const Labels labels{{"service", service.value()}};
  for (const Policy& policy : snapshot_->policies()) {
    if (policy.service_selector.matches(labels)) return policy;
  }
  return kDefaultPolicy;
}

std::string ControlService::lease_key(const ServiceName& service) const {
  return "lease/" + region_.value() + "/" + service.value();
}

int ControlService::rank_of_self(const ServiceName& service) const {
  const auto candidates = cluster_.candidates(lease_key(service), kLeaseCandidates);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].node == cluster_.self().node) return static_cast<int>(i);
  }
  return -1;
}

std::optional<MemberFact> ControlService::controller_of(const ServiceName& service) const {
  const auto candidates = cluster_.candidates(lease_key(service), kLeaseCandidates);
  if (candidates.empty()) return std::nullopt;
  return candidates.front();
}

void ControlService::tick() {
  if (!snapshot_ || resigned_) return;
  for (auto& [service, duty] : duties_) {
    run_lease(service, duty);
    run_controller(service, duty);
  }
}

void ControlService::run_lease(const ServiceName& service, Duty& duty) {
  const MonotonicTime now = runtime_.now();
  const int rank = rank_of_self(service);
  const bool has_authority = duty.lease.authority(now).has_value();
  // Standbys poll less often, to let the preferred holder go first and limit the store's load.
  if (rank > 0 && !has_authority) {
    if (now < duty.next_standby_poll_at) return;
    duty.next_standby_poll_at = now + lease_settings_.duration / 2;
  }
  switch (duty.lease.poll(now, rank >= 0, runtime_.random_hex(kWriteIdBytes))) {
    case LeaseAction::kNothing:
      return;
    case LeaseAction::kRead:
      return read_lease(service);
    case LeaseAction::kWrite:
      return write_lease(service, duty.lease.pending_write());
  }
}

void ControlService::read_lease(const ServiceName& service) {
  platform_.read(lease_key(service), [this, service](const auto& result) {
    const auto found = duties_.find(service);
    if (found == duties_.end()) return;
    LeaseHolder& lease = found->second.lease;
    if (!result) return lease.on_read_failed(runtime_.now());
    VersionedLease seen;
    if (result->has_value()) seen = {(*result)->version, lease_from_json((*result)->value)};
    lease.on_read(runtime_.now(), seen);
  });
}

void ControlService::write_lease(const ServiceName& service, const VersionedLease& lease) {
  platform_.write(lease_key(service), lease.version, lease_to_json(lease.record),
                  [this, service](const auto& result) {
                    const auto found = duties_.find(service);
                    if (found == duties_.end()) return;
                    LeaseHolder& holder = found->second.lease;
                    if (!result) return holder.on_write_unanswered(runtime_.now());
                    holder.on_written(runtime_.now(), result->applied, result->version);
                  });
}

void ControlService::drop_controller(Duty& duty) {
  if (!duty.controller) return;
  duty.previous_role_changes += duty.controller->role_changes();
  duty.initial_counters = duty.controller->counters();
  duty.controller.reset();
}

void ControlService::create_controller(const ServiceName& service, Duty& duty, Fence fence) {
  drop_controller(duty);
  duty.controller =
      std::make_unique<EngineController>(fence, ControllerSettings{}, duty.initial_counters);
  duty.planner.reset();
  configure(snapshot_);
  log_event(LogArea::kControl, LogLevel::kInfo, "lease_taken",
            {{"service", service.value()}, {"fence", fence}});
}

void ControlService::run_controller(const ServiceName& service, Duty& duty) {
  const auto fence = duty.lease.authority(runtime_.now());
  if (!fence) {
    if (duty.controller) {
      log_event(LogArea::kControl, LogLevel::kWarning, "lease_lost",
                {{"service", service.value()}, {"fence", duty.controller->fence()}});
    }
    drop_controller(duty);
    return;
  }
  if (!duty.controller || duty.controller->fence() != *fence) {
    create_controller(service, duty, *fence);
  }
  if (duty.controller->superseded()) return duty.lease.resign();
  plan_roles(service, duty);
  for (const ControlCommand& command : duty.controller->poll(runtime_.now())) {
    execute(service, command);
  }
  cluster_.publish_engine_facts(duty.controller->facts());
}

void ControlService::execute(const ServiceName& service, const ControlCommand& command) {
  const EngineId engine = std::visit([](const auto& value) { return value.engine; }, command);
  const Engine* declared = snapshot_->find_engine(engine);
  const Duty& duty = duties_.at(service);
  // Checked again before sending, as the lease may have expired since the tick began.
  const auto fence = duty.lease.authority(runtime_.now());
  if (declared == nullptr || !fence) return;
  const auto handler = [this, service, fence = *fence, engine](const auto& answer) {
    on_engine_answer(service, fence, engine, answer);
  };
  if (const auto* claim = std::get_if<ClaimEngine>(&command)) {
    return engines_.claim(declared->address, claim->fence, handler);
  }
  if (const auto* order = std::get_if<SendOrder>(&command)) {
    log_event(LogArea::kControl, LogLevel::kInfo, "order",
              {{"service", service.value()},
               {"engine", engine.value()},
               {"fence", order->order.stamp.fence},
               {"sequence", order->order.stamp.sequence},
               {"role", to_text(order->order.desired.role)},
               {"accepting", order->order.desired.accepting}});
    return engines_.send_order(declared->address, order->order, handler);
  }
  engines_.read_state(declared->address, handler);
}

void ControlService::on_engine_answer(const ServiceName& service, Fence fence,
                                      const EngineId& engine,
                                      const tl::expected<EngineState, EngineCallError>& answer) {
  const auto found = duties_.find(service);
  if (found == duties_.end() || !found->second.controller) return;
  EngineController& controller = *found->second.controller;
  if (controller.fence() != fence) return;
  if (answer) return controller.on_state(runtime_.now(), engine, *answer);
  if (answer.error() == EngineCallError::kStale) return controller.on_stale_fence(engine);
  controller.on_no_answer(runtime_.now(), engine);
}

void ControlService::on_demand(const DemandReport& report) {
  const auto found = duties_.find(report.service);
  if (found != duties_.end()) found->second.demand[report.from] = report;
}

void ControlService::plan_roles(const ServiceName& service, Duty& duty) {
  const MonotonicTime now = runtime_.now();
  const Service* declared = snapshot_->find_service(service);
  if (now < duty.next_plan_at || !allows_disaggregation(*declared)) return;
  duty.next_plan_at = now + kPlanInterval;
  if (!duty.planner) {
    PlannerSettings settings;
    settings.role_change_cost = policy_for(service).role_change_cost;
    duty.planner = std::make_unique<RolePlanner>(settings);
  }
  DemandSample demand;
  for (const auto& [node, report] : duty.demand) {
    demand.prefill_tokens_per_second += report.prefill_tokens_per_second;
    demand.decode_tokens_per_second += report.decode_tokens_per_second;
  }
  duty.planner->observe(now, demand);
  const auto choice = assign_roles(*duty.planner, duty.controller->statuses());
  duty.plan = choice.reason;
  for (const auto& [engine, role] : choice.roles) {
    log_event(LogArea::kControl, LogLevel::kInfo, "role_wanted",
              {{"service", service.value()},
               {"engine", engine.value()},
               {"role", to_text(role)},
               {"reason", choice.reason}});
    duty.controller->set_wanted_role(engine, role);
  }
}

void ControlService::resign() {
  resigned_ = true;
  for (auto& [service, duty] : duties_) {
    duty.lease.resign();
    drop_controller(duty);
  }
}

std::vector<ControlService::DutyStatus> ControlService::duty_statuses() const {
  std::vector<DutyStatus> statuses;
  for (const auto& [service, duty] : duties_) {
    DutyStatus status;
    status.service = service;
    status.holder = duty.lease.last_seen().record.holder;
    status.fence = duty.lease.authority(runtime_.now());
    status.plan = duty.plan;
    status.role_changes = duty.previous_role_changes;
    if (duty.controller) {
      status.role_changes += duty.controller->role_changes();
      status.drain_timeouts = duty.controller->drain_timeouts();
      status.engines = duty.controller->statuses();
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace shuntbank
