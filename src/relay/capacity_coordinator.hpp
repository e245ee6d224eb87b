/// @file
/// Orders engines as the capacity planner says, while this node has the lease.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/capacity/capacity_planner.hpp"
#include "relay/capacity_settings.hpp"
#include "relay/duty_service.hpp"
#include "relay/lease_keeper.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// The part of one node.
class CapacityCoordinator {
 public:
  /// All references outlive this. @param machine the name that the orders bear.
  CapacityCoordinator(Runtime& runtime, store::ObjectStore& store, LeaseKeeper& lease,
                      DutyService& service, RelayNode& node, const std::string& machine,
                      const CapacityCoordinatorSettings& settings);
  ~CapacityCoordinator();
  CapacityCoordinator(const CapacityCoordinator&) = delete;
  CapacityCoordinator& operator=(const CapacityCoordinator&) = delete;

 private:
  /// An order, and what is known of it.
  struct Given {
    std::uint32_t engines = 0;
    MonotonicTime at{};
    bool busy = false;  ///< Not answered yet.
  };
  /// What is known of one service.
  struct Service {
    explicit Service(const capacity::CapacitySettings& settings) : planner(settings) {}
    capacity::CapacityPlanner planner;
    std::uint32_t needed = 0;  ///< Most engines seen, until it is known what is needed.
    bool need_known = false;
    MonotonicTime grown_at{};  ///< When `needed` last grew, while it is not known.
    bool record_missing = false;
    bool calling = false;  ///< The record is being read or made.
    std::map<capacity::Purchase, Given> given;
    MonotonicTime changed_at{};  ///< When engines were last ordered.
    double changes_left = 0;     ///< Engines that may be bought or given back now.
  };

  void tick();
  void plan(const RelayedService& declared, Service& service);
  capacity::EnginesByZone present(const RelayedService& declared) const;
  void learn_need(const ServiceName& name, Service& known, const capacity::EnginesByZone& engines);
  void read_need(const ServiceName& name);
  void create_need(const ServiceName& name, std::uint32_t seen);
  void take_need(const ServiceName& name, const store::StoredObject& object);
  bool due(const RelayedService& declared, const Service& service,
           const capacity::Purchase& purchase, std::uint32_t wanted, std::uint32_t there) const;
  void refill_changes(Service& service) const;
  std::uint32_t next_step(const RelayedService& declared, Service& service,
                          const capacity::Purchase& purchase, std::uint32_t wanted,
                          std::uint32_t there) const;
  bool effect_overdue(const RelayedService& declared, const Given& given) const;
  void order(const ServiceName& name, Service& service, const capacity::Purchase& purchase,
             std::uint32_t wanted);
  void on_ordered(const EngineOrder& order, DutyOutcome outcome);

  Runtime& runtime;
  store::ObjectStore& store;
  LeaseKeeper& lease;
  DutyService& service;
  RelayNode& node;
  std::string machine;
  CapacityCoordinatorSettings settings;
  std::map<ServiceName, Service> services;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
