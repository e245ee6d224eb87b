/// @file
/// Orders engines according to the capacity planner while this node holds the lease.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/capacity/capacity_planner.hpp"
#include "core/capacity/needed_engines.hpp"
#include "core/relay/stage_demand.hpp"
#include "relay/capacity_settings.hpp"
#include "relay/duty_service.hpp"
#include "relay/lease_keeper.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Runs on every node; acts only on the lease holder.
class CapacityCoordinator {
 public:
  /// All references must outlive this object.
  /// @param machine name that is sent with orders.
  CapacityCoordinator(Runtime& runtime, store::ObjectStore& store, LeaseKeeper& lease,
                      DutyService& service, RelayNode& node, const std::string& machine,
                      const CapacityCoordinatorSettings& settings);
  ~CapacityCoordinator();
  CapacityCoordinator(const CapacityCoordinator&) = delete;
  CapacityCoordinator& operator=(const CapacityCoordinator&) = delete;

 private:
  /// The last order for one kind of engine.
  struct IssuedOrder {
    std::uint32_t engines = 0;
    MonotonicTime issued_at{};
    bool in_flight = false;
  };
  /// State of one service.
  struct ServiceState {
    explicit ServiceState(const CapacityCoordinatorSettings& settings)
        : planner(settings.planner), sizing(settings.needed) {}
    capacity::CapacityPlanner planner;
    capacity::NeededEngines sizing;  ///< Follows demand once `needed_known`.
    StageDemand demand;
    std::uint32_t needed = 0;  ///< Highest count seen, until `needed_known`.
    bool needed_known = false;
    std::uint64_t record_revision = 0;
    std::uint32_t stored = 0;       ///< The number of needed engines in the store.
    MonotonicTime store_call_at{};  ///< The last attempt to store it.
    MonotonicTime increased_at{};   ///< Last growth of `needed` before `needed_known`.
    bool record_missing = false;
    bool store_call_pending = false;  ///< A read or create call is in flight.
    std::map<capacity::Purchase, IssuedOrder> orders;
    MonotonicTime budget_refilled_at{};
    double change_budget = 0;  ///< Engines that may be ordered or released now.
  };

  void tick();
  void plan_service(const RelayedService& declared, ServiceState& state);
  capacity::EnginesByZone count_engines(const RelayedService& declared) const;
  void update_needed(const ServiceName& name, ServiceState& state,
                     const capacity::EnginesByZone& engines);
  void read_needed(const ServiceName& name);
  void create_needed_record(const ServiceName& name, std::uint32_t count);
  void follow_demand(const RelayedService& declared, ServiceState& state);
  void store_needed(const ServiceName& name, ServiceState& state);
  void on_needed_record(const ServiceName& name, const store::StoredObject& object);
  bool is_order_due(const RelayedService& declared, const ServiceState& state,
                    const capacity::Purchase& purchase, std::uint32_t wanted,
                    std::uint32_t current) const;
  void refill_change_budget(ServiceState& state) const;
  std::uint32_t next_order_count(const RelayedService& declared, ServiceState& state,
                                 const capacity::Purchase& purchase, std::uint32_t wanted,
                                 std::uint32_t current) const;
  bool is_effect_overdue(const RelayedService& declared, const IssuedOrder& issued) const;
  Duration effect_timeout(const RelayedService& declared) const;
  void send_order(const RelayedService& declared, ServiceState& state,
                  const capacity::Purchase& purchase, std::uint32_t wanted);
  void on_order_answered(const EngineOrder& order, DutyOutcome outcome);

  Runtime& runtime;
  store::ObjectStore& store;
  LeaseKeeper& lease;
  DutyService& duty_service;
  RelayNode& node;
  std::string machine;
  CapacityCoordinatorSettings settings;
  std::map<ServiceName, ServiceState> service_states;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
