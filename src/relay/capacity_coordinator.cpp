#include "relay/capacity_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {

using capacity::EnginesByZone;
using capacity::Purchase;

CapacityCoordinator::CapacityCoordinator(Runtime& own_runtime, store::ObjectStore& own_store,
                                         LeaseKeeper& own_lease, DutyService& own_duty_service,
                                         RelayNode& own_node, const std::string& own_machine,
                                         const CapacityCoordinatorSettings& own_settings)
    : runtime(own_runtime),
      store(own_store),
      lease(own_lease),
      duty_service(own_duty_service),
      node(own_node),
      machine(own_machine),
      settings(own_settings) {
  this->lease.on_tick([this, still_alive = this->alive] {
    if (*still_alive) this->tick();
  });
}

CapacityCoordinator::~CapacityCoordinator() {
  *this->alive = false;
}

void CapacityCoordinator::tick() {
  if (this->settings.planner.strategy == capacity::SpotStrategy::kNone) return;
  if (this->lease.held_for() < this->settings.takeover_delay) {
    // Another holder may have sent orders in the meantime.
    this->service_states.clear();
    return;
  }
  if (this->node.table() == nullptr) return;
  for (const RelayedService& declared : this->node.table()->configuration().services) {
    if (!declared.scale) continue;
    const auto state =
        this->service_states.try_emplace(declared.name, this->settings.planner).first;
    this->plan_service(declared, state->second);
  }
}

/// Includes zones without engines if the operator sets a price for them.
EnginesByZone CapacityCoordinator::count_engines(const RelayedService& declared) const {
  EnginesByZone engines;
  for (const auto& [zone, price] : declared.scale->zone_prices) engines[zone];
  for (const auto& [id, engine] : this->node.engines().all()) {
    const EngineRecord& record = engine.record;
    if (record.service != declared.name || record.draining) continue;
    capacity::ZoneEngines& counts = engines[record.zone];
    ++(record.spot ? counts.spot : counts.full);
  }
  return engines;
}

void CapacityCoordinator::plan_service(const RelayedService& declared, ServiceState& state) {
  const EnginesByZone engines = this->count_engines(declared);
  if (!state.needed_known) this->update_needed(declared.name, state, engines);
  const MonotonicTime now = this->runtime.now();
  const auto plan = state.planner.plan(now, *declared.scale, state.needed, engines);
  this->refill_change_budget(state);
  for (const auto& [purchase, wanted] : plan) {
    // Releases nothing until the baseline is known.
    if (!state.needed_known && !purchase.spot) continue;
    const capacity::ZoneEngines& present = engines.at(purchase.zone);
    const std::uint32_t current = purchase.spot ? present.spot : present.full;
    if (!this->is_order_due(declared, state, purchase, wanted, current)) continue;
    const std::uint32_t step = this->next_order_count(declared, state, purchase, wanted, current);
    const auto issued = state.orders.find(purchase);
    const bool unchanged = issued != state.orders.end() && issued->second.engines == step;
    if (unchanged && !this->is_effect_overdue(declared, issued->second)) continue;
    // Nothing changes while the budget is used up.
    if (issued == state.orders.end() && step == current) continue;
    this->send_order(declared, state, purchase, step);
  }
}

void CapacityCoordinator::refill_change_budget(ServiceState& state) const {
  const MonotonicTime now = this->runtime.now();
  const Duration max_elapsed = std::chrono::seconds(1);
  const Duration elapsed = std::min<Duration>(now - state.budget_refilled_at, max_elapsed);
  state.budget_refilled_at = now;
  const double per_second = this->settings.max_changes_per_second;
  state.change_budget =
      std::min(per_second, state.change_budget + to_seconds(elapsed) * per_second);
}

/// @return the engine count to order now: a step from the current or already ordered count towards
/// the wanted one, within the change budget.
std::uint32_t CapacityCoordinator::next_order_count(const RelayedService& declared,
                                                    ServiceState& state, const Purchase& purchase,
                                                    std::uint32_t wanted,
                                                    std::uint32_t current) const {
  const auto issued = state.orders.find(purchase);
  const bool pending =
      issued != state.orders.end() && !this->is_effect_overdue(declared, issued->second);
  const std::uint32_t base = pending ? issued->second.engines : current;
  const std::uint32_t distance = wanted > base ? wanted - base : base - wanted;
  const std::uint32_t step = std::min(distance, static_cast<std::uint32_t>(state.change_budget));
  state.change_budget -= step;
  return wanted > base ? base + step : base - step;
}

/// Engines that the provider reclaims are replaced only by a new order.
bool CapacityCoordinator::is_effect_overdue(const RelayedService& declared,
                                            const IssuedOrder& issued) const {
  return this->runtime.now() - issued.issued_at >= this->effect_timeout(declared);
}

Duration CapacityCoordinator::effect_timeout(const RelayedService& declared) const {
  return declared.scale->startup + this->settings.effect_timeout;
}

/// Determines how many engines the operator runs for the service before the first order. The count
/// is stored once, so that later lease holders don't include ordered engines in it.
void CapacityCoordinator::update_needed(const ServiceName& name, ServiceState& state,
                                        const EnginesByZone& engines) {
  const MonotonicTime now = this->runtime.now();
  const std::uint32_t count = capacity::total_engines(engines).full;
  if (count > state.needed) {
    state.needed = count;
    state.increased_at = now;
  }
  if (state.store_call_pending) return;
  if (!state.record_missing) return this->read_needed(name);
  const bool stable = now - state.increased_at >= this->settings.stable_count_interval;
  if (state.needed > 0 && stable) this->create_needed_record(name, state.needed);
}

void CapacityCoordinator::read_needed(const ServiceName& name) {
  this->service_states.at(name).store_call_pending = true;
  this->store.read(this->settings.record_kind, name.value(), this->settings.call_timeout,
                   [this, still_alive = this->alive,
                    name](const tl::expected<store::StoredObject, store::StoreError>& read) {
                     if (!*still_alive) return;
                     if (read) return this->on_needed_record(name, *read);
                     const auto state = this->service_states.find(name);
                     if (state == this->service_states.end()) return;
                     state->second.store_call_pending = false;
                     state->second.record_missing = read.error() == store::StoreError::kMissing;
                   });
}

void CapacityCoordinator::create_needed_record(const ServiceName& name, std::uint32_t count) {
  this->service_states.at(name).store_call_pending = true;
  this->store.create(this->settings.record_kind, name.value(), nlohmann::json{{"engines", count}},
                     this->settings.call_timeout,
                     [this, still_alive = this->alive,
                      name](const tl::expected<store::StoredObject, store::StoreError>& created) {
                       if (!*still_alive) return;
                       if (created) return this->on_needed_record(name, *created);
                       // This node or another may have created it: read again.
                       const auto state = this->service_states.find(name);
                       if (state == this->service_states.end()) return;
                       state->second.store_call_pending = false;
                       state->second.record_missing = false;
                     });
}

void CapacityCoordinator::on_needed_record(const ServiceName& name,
                                           const store::StoredObject& object) {
  const auto state = this->service_states.find(name);
  if (state == this->service_states.end()) return;
  state->second.store_call_pending = false;
  const bool readable = object.content.is_object() && object.content.contains("engines") &&
                        object.content["engines"].is_number_unsigned();
  if (!readable) {
    return log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
                     {{"name", object.name}, {"why", "engine count is missing or invalid"}});
  }
  state->second.needed = object.content["engines"].get<std::uint32_t>();
  state->second.needed_known = true;
  log_event(LogArea::kControl, LogLevel::kInfo, "capacity_needed",
            {{"service", name.value()}, {"engines", state->second.needed}});
}

bool CapacityCoordinator::is_order_due(const RelayedService& declared, const ServiceState& state,
                                       const Purchase& purchase, std::uint32_t wanted,
                                       std::uint32_t current) const {
  const MonotonicTime now = this->runtime.now();
  const bool increase = wanted > current;
  if (increase && !state.planner.may_request(now, purchase)) return false;
  const auto issued = state.orders.find(purchase);
  if (issued == state.orders.end()) return wanted != current;
  if (issued->second.in_flight) return false;
  if (issued->second.engines != wanted) return true;
  return increase && this->is_effect_overdue(declared, issued->second);
}

void CapacityCoordinator::send_order(const RelayedService& declared, ServiceState& state,
                                     const Purchase& purchase, std::uint32_t wanted) {
  const auto fence = this->lease.authority();
  if (!fence) return;
  const ServiceName& name = declared.name;
  state.orders[purchase] = {wanted, this->runtime.now(), true};
  state.planner.on_ordered(purchase, wanted, this->runtime.now() + this->effect_timeout(declared));
  const EngineOrder order{name, purchase.zone, wanted, purchase.spot};
  log_event(LogArea::kControl, LogLevel::kInfo, "engines_ordered",
            {{"service", name.value()},
             {"zone", purchase.zone.value()},
             {"spot", purchase.spot},
             {"engines", wanted},
             {"needed", state.needed},
             {"fence", *fence}});
  this->duty_service.order_engines({this->machine, *fence}, order, this->settings.call_timeout,
                                   [this, still_alive = this->alive, order](DutyOutcome outcome) {
                                     if (*still_alive) this->on_order_answered(order, outcome);
                                   });
}

void CapacityCoordinator::on_order_answered(const EngineOrder& order, DutyOutcome outcome) {
  this->node.metrics().count_duty_call("engines", to_text(outcome));
  log_event(LogArea::kControl, LogLevel::kInfo, "engines_order_answered",
            {{"service", order.service.value()},
             {"zone", order.zone.value()},
             {"spot", order.spot},
             {"engines", order.engines},
             {"outcome", to_text(outcome)}});
  const auto state = this->service_states.find(order.service);
  if (state == this->service_states.end()) return;
  const Purchase purchase{order.zone, order.spot};
  const auto issued = state->second.orders.find(purchase);
  if (issued == state->second.orders.end()) return;
  issued->second.in_flight = false;
  if (outcome == DutyOutcome::kDone) return;
  state->second.orders.erase(issued);
  state->second.planner.on_order_failed(purchase);
  if (outcome == DutyOutcome::kRefused) {
    state->second.planner.on_unavailable(this->runtime.now(), purchase);
  }
}

}  // namespace shuntbank::relay
