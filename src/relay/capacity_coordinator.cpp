#include "relay/capacity_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {

using capacity::EnginesByZone;
using capacity::Purchase;

CapacityCoordinator::CapacityCoordinator(Runtime& own_runtime, store::ObjectStore& own_store,
                                         LeaseKeeper& own_lease, DutyService& own_service,
                                         RelayNode& own_node, const std::string& own_machine,
                                         const CapacityCoordinatorSettings& own_settings)
    : runtime(own_runtime),
      store(own_store),
      lease(own_lease),
      service(own_service),
      node(own_node),
      machine(own_machine),
      settings(own_settings) {
  this->lease.on_tick([this, living = this->alive] {
    if (*living) this->tick();
  });
}

CapacityCoordinator::~CapacityCoordinator() {
  *this->alive = false;
}

void CapacityCoordinator::tick() {
  if (this->settings.planner.strategy == capacity::SpotStrategy::kNone) return;
  if (this->lease.held_for() < this->settings.settle) {
    // Another holder may have ordered meanwhile.
    this->services.clear();
    return;
  }
  if (this->node.table() == nullptr) return;
  for (const RelayedService& declared : this->node.table()->configuration().services) {
    if (!declared.scale) continue;
    const auto known = this->services.try_emplace(declared.name, this->settings.planner).first;
    this->plan(declared, known->second);
  }
}

/// Zones without an engine count where the operator names a price for them.
EnginesByZone CapacityCoordinator::present(const RelayedService& declared) const {
  EnginesByZone engines;
  for (const auto& [zone, price] : declared.scale->zone_prices) engines[zone];
  for (const auto& [id, engine] : this->node.engines().all()) {
    const EngineRecord& record = engine.record;
    if (record.service != declared.name || record.draining) continue;
    capacity::ZoneEngines& there = engines[record.zone];
    ++(record.spot ? there.spot : there.full);
  }
  return engines;
}

void CapacityCoordinator::plan(const RelayedService& declared, Service& known) {
  const EnginesByZone engines = this->present(declared);
  if (!known.need_known) this->learn_need(declared.name, known, engines);
  const MonotonicTime now = this->runtime.now();
  const auto plan = known.planner.plan(now, *declared.scale, known.needed, engines);
  this->refill_changes(known);
  for (const auto& [purchase, wanted] : plan) {
    // Before it is known what is needed nothing is given back.
    if (!known.need_known && !purchase.spot) continue;
    const capacity::ZoneEngines& there = engines.at(purchase.zone);
    const std::uint32_t have = purchase.spot ? there.spot : there.full;
    if (!this->due(declared, known, purchase, wanted, have)) continue;
    const std::uint32_t step = this->next_step(declared, known, purchase, wanted, have);
    const auto given = known.given.find(purchase);
    const bool same = given != known.given.end() && given->second.engines == step;
    if (same && !this->effect_overdue(declared, given->second)) continue;
    this->order(declared.name, known, purchase, step);
  }
}

void CapacityCoordinator::refill_changes(Service& known) const {
  const MonotonicTime now = this->runtime.now();
  const Duration most = std::chrono::seconds(1);
  const Duration since = std::min<Duration>(now - known.changed_at, most);
  known.changed_at = now;
  const double a_second = this->settings.changes_a_second;
  known.changes_left = std::min(a_second, known.changes_left + to_seconds(since) * a_second);
}

/// @return how many are ordered now on the way from what there is, or is coming, to what is wanted.
std::uint32_t CapacityCoordinator::next_step(const RelayedService& declared, Service& known,
                                             const Purchase& purchase, std::uint32_t wanted,
                                             std::uint32_t there) const {
  const auto given = known.given.find(purchase);
  const bool coming = given != known.given.end() && !this->effect_overdue(declared, given->second);
  const std::uint32_t from = coming ? given->second.engines : there;
  const std::uint32_t way = wanted > from ? wanted - from : from - wanted;
  const std::uint32_t step = std::min(way, static_cast<std::uint32_t>(known.changes_left));
  known.changes_left -= step;
  return wanted > from ? from + step : from - step;
}

/// Engines that were taken back are not replaced without a word.
bool CapacityCoordinator::effect_overdue(const RelayedService& declared, const Given& given) const {
  const Duration due_after = declared.scale->startup + this->settings.effect_due;
  return this->runtime.now() - given.at >= due_after;
}

/// What the operator has sized the service for is what it had before this product ordered anything:
/// written down once, so that no later holder takes what was ordered for it.
void CapacityCoordinator::learn_need(const ServiceName& name, Service& known,
                                     const EnginesByZone& engines) {
  const MonotonicTime now = this->runtime.now();
  const std::uint32_t seen = capacity::total_engines(engines).full;
  if (seen > known.needed) {
    known.needed = seen;
    known.grown_at = now;
  }
  if (known.calling) return;
  if (!known.record_missing) return this->read_need(name);
  const bool stands = now - known.grown_at >= this->settings.count_stands;
  if (known.needed > 0 && stands) this->create_need(name, known.needed);
}

void CapacityCoordinator::read_need(const ServiceName& name) {
  this->services.at(name).calling = true;
  this->store.read(this->settings.record_kind, name.value(), this->settings.call_timeout,
                   [this, living = this->alive,
                    name](const tl::expected<store::StoredObject, store::StoreError>& read) {
                     if (!*living) return;
                     if (read) return this->take_need(name, *read);
                     const auto known = this->services.find(name);
                     if (known == this->services.end()) return;
                     known->second.calling = false;
                     known->second.record_missing = read.error() == store::StoreError::kMissing;
                   });
}

void CapacityCoordinator::create_need(const ServiceName& name, std::uint32_t seen) {
  this->services.at(name).calling = true;
  this->store.create(this->settings.record_kind, name.value(), nlohmann::json{{"engines", seen}},
                     this->settings.call_timeout,
                     [this, living = this->alive,
                      name](const tl::expected<store::StoredObject, store::StoreError>& made) {
                       if (!*living) return;
                       if (made) return this->take_need(name, *made);
                       // It may have been made, by this node or another: read again.
                       const auto known = this->services.find(name);
                       if (known == this->services.end()) return;
                       known->second.calling = false;
                       known->second.record_missing = false;
                     });
}

void CapacityCoordinator::take_need(const ServiceName& name, const store::StoredObject& object) {
  const auto known = this->services.find(name);
  if (known == this->services.end()) return;
  known->second.calling = false;
  const bool readable = object.content.is_object() && object.content.contains("engines") &&
                        object.content["engines"].is_number_unsigned();
  if (!readable) {
    return log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
                     {{"name", object.name}, {"why", "no count of engines"}});
  }
  known->second.needed = object.content["engines"].get<std::uint32_t>();
  known->second.need_known = true;
  log_event(LogArea::kControl, LogLevel::kInfo, "capacity_needed",
            {{"service", name.value()}, {"engines", known->second.needed}});
}

bool CapacityCoordinator::due(const RelayedService& declared, const Service& known,
                              const Purchase& purchase, std::uint32_t wanted,
                              std::uint32_t there) const {
  const MonotonicTime now = this->runtime.now();
  const bool more = wanted > there;
  if (more && !known.planner.may_request(now, purchase)) return false;
  const auto given = known.given.find(purchase);
  if (given == known.given.end()) return wanted != there;
  if (given->second.busy) return false;
  if (given->second.engines != wanted) return true;
  return more && this->effect_overdue(declared, given->second);
}

void CapacityCoordinator::order(const ServiceName& name, Service& known, const Purchase& purchase,
                                std::uint32_t wanted) {
  const auto fence = this->lease.authority();
  if (!fence) return;
  known.given[purchase] = {wanted, this->runtime.now(), true};
  const EngineOrder order{name, purchase.zone, wanted, purchase.spot};
  log_event(LogArea::kControl, LogLevel::kInfo, "engines_ordered",
            {{"service", name.value()},
             {"zone", purchase.zone.value()},
             {"spot", purchase.spot},
             {"engines", wanted},
             {"needed", known.needed},
             {"fence", *fence}});
  this->service.order_engines({this->machine, *fence}, order, this->settings.call_timeout,
                              [this, living = this->alive, order](DutyOutcome outcome) {
                                if (*living) this->on_ordered(order, outcome);
                              });
}

void CapacityCoordinator::on_ordered(const EngineOrder& order, DutyOutcome outcome) {
  this->node.metrics().count_duty_call("engines", to_text(outcome));
  log_event(LogArea::kControl, LogLevel::kInfo, "engines_order_answered",
            {{"service", order.service.value()},
             {"zone", order.zone.value()},
             {"spot", order.spot},
             {"engines", order.engines},
             {"outcome", to_text(outcome)}});
  const auto known = this->services.find(order.service);
  if (known == this->services.end()) return;
  const Purchase purchase{order.zone, order.spot};
  const auto given = known->second.given.find(purchase);
  if (given == known->second.given.end()) return;
  given->second.busy = false;
  if (outcome == DutyOutcome::kDone) return;
  known->second.given.erase(given);
  if (outcome == DutyOutcome::kRefused) {
    known->second.planner.on_unavailable(this->runtime.now(), purchase);
  }
}

}  // namespace shuntbank::relay
