#include "relay/capacity_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {

using capacity::EnginesByZone;
using capacity::Purchase;

namespace {

/// Before this, a mix that flips every few seconds may have shown one phase only.
constexpr Duration kMinDemandHistory = std::chrono::seconds(6);

}  // namespace

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
    const auto state = this->service_states.try_emplace(declared.name, this->settings).first;
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
  if (state.needed_known) this->follow_demand(declared, state);
  const MonotonicTime now = this->runtime.now();
  const auto plan = state.planner.plan(now, *declared.scale, state.needed, engines);
  this->refill_change_budget(state);
  for (const auto& [purchase, wanted] : plan) {
    const capacity::ZoneEngines& present = engines.at(purchase.zone);
    const std::uint32_t current = purchase.spot ? present.spot : present.full;
    // Releases nothing until the number is known: a new holder would take back half of the spot
    // engines that its predecessor ordered.
    if (!state.needed_known && (!purchase.spot || wanted < current)) continue;
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
  const auto sizing = object.content["engines"].get<std::uint32_t>();
  // Written by releases that follow demand.
  const bool followed =
      object.content.contains("needed") && object.content["needed"].is_number_unsigned();
  ServiceState& known = state->second;
  known.record_revision = object.revision;
  known.stored = followed ? object.content["needed"].get<std::uint32_t>() : sizing;
  if (known.needed_known) return;
  known.needed = this->settings.needed.by_demand ? std::min(known.stored, sizing) : sizing;
  known.needed_known = true;
  known.sizing.reset(this->runtime.now(), sizing, known.needed);
  log_event(LogArea::kControl, LogLevel::kInfo, "capacity_needed",
            {{"service", name.value()}, {"engines", known.needed}, {"first_sizing", sizing}});
}

/// Updates the number of needed engines by the work of both stages. Until it is known, the stored
/// number applies.
void CapacityCoordinator::follow_demand(const RelayedService& declared, ServiceState& state) {
  if (!declared.model || !this->settings.needed.by_demand) return;
  const MonotonicTime now = this->runtime.now();
  EngineDirectory& engines = this->node.engines();
  state.demand.observe(now, measure_stage_load(now, engines.find_by_service(declared.name),
                                               engines.model_of(declared.name)));
  if (!state.demand.any_request_seen() || state.demand.history() < kMinDemandHistory) return;
  const StageAmounts heaviest = state.demand.heaviest();
  const std::uint32_t before = state.needed;
  if (state.sizing.update(now, heaviest.total())) {
    state.needed = state.sizing.count();
    log_event(LogArea::kControl, LogLevel::kInfo, "capacity_needed",
              {{"service", declared.name.value()},
               {"engines", state.needed},
               {"before", before},
               {"first_sizing", state.sizing.first_sizing()},
               {"prefill_work", heaviest.prefill},
               {"decode_work", heaviest.decode},
               {"history_ms", whole_ms(state.demand.history())}});
  }
  this->store_needed(declared.name, state);
}

/// Stores the number of needed engines for the next lease holder, which has no history.
void CapacityCoordinator::store_needed(const ServiceName& name, ServiceState& state) {
  const MonotonicTime now = this->runtime.now();
  if (state.stored == state.needed || state.store_call_pending) return;
  if (now - state.store_call_at < this->settings.store_interval || !this->lease.authority()) return;
  state.store_call_at = now;
  state.store_call_pending = true;
  this->store.replace(
      this->settings.record_kind, name.value(), state.record_revision,
      nlohmann::json{{"engines", state.sizing.first_sizing()}, {"needed", state.needed}},
      this->settings.call_timeout,
      [this, still_alive = this->alive,
       name](const tl::expected<store::StoredObject, store::StoreError>& replaced) {
        if (!*still_alive) return;
        if (replaced) return this->on_needed_record(name, *replaced);
        const auto known = this->service_states.find(name);
        if (known == this->service_states.end()) return;
        known->second.store_call_pending = false;
        // The write may have been done, or another holder has written: take over its revision.
        if (replaced.error() != store::StoreError::kNotDone) this->read_needed(name);
      });
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
