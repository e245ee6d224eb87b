/// @file
/// Control duties of this node: service leases, engine orders and role plans.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "core/lease/lease_holder.hpp"
#include "core/roles/engine_controller.hpp"
#include "core/roles/role_assignment.hpp"
#include "core/roles/role_planner.hpp"
#include "engine/engine_client.hpp"
#include "node/cluster_service.hpp"
#include "node/config_service.hpp"
#include "platform/object_client.hpp"

namespace shuntbank {

/// Holds service leases and controls the engines of the services it holds.
class ControlService {
 public:
  ControlService(Runtime& runtime, ObjectClient& platform, EngineClient& engines,
                 ClusterService& cluster, RegionName region, Duration lease_duration);

  /// Applies a new configuration.
  void configure(const SnapshotPointer& snapshot);

  /// Records the demand that a node reports.
  void on_demand(const DemandReport& report);

  /// @return the member that receives demand reports of a service.
  std::optional<MemberFact> controller_of(const ServiceName& service) const;

  /// Gives up all leases because this node is leaving.
  void resign();

  /// Status of one duty, for the operator API.
  struct DutyStatus {
    ServiceName service;
    NodeId holder;               ///< As last read from the store; empty if none.
    std::optional<Fence> fence;  ///< Set while this node holds the lease.
    std::string plan;
    std::uint64_t role_changes = 0;
    std::uint64_t drain_timeouts = 0;
    std::vector<EngineController::EngineStatus> engines;
  };
  std::vector<DutyStatus> duty_statuses() const;

 private:
  struct Duty {
    Duty(const NodeId& self, const LeaseSettings& settings) : lease(self, settings) {}
    LeaseHolder lease;
    std::unique_ptr<EngineController> controller;
    std::unique_ptr<RolePlanner> planner;
    std::map<NodeId, DemandReport> demand;
    std::string plan = "none";
    MonotonicTime next_plan_at{};
    MonotonicTime next_standby_poll_at{};
    ControlCounters initial_counters;         ///< Carried over from the previous controller.
    std::uint64_t previous_role_changes = 0;  ///< Made by previous controllers.
  };

  void tick();
  void run_lease(const ServiceName& service, Duty& duty);
  void read_lease(const ServiceName& service);
  void write_lease(const ServiceName& service, const VersionedLease& lease);
  void run_controller(const ServiceName& service, Duty& duty);
  void drop_controller(Duty& duty);
  void create_controller(const ServiceName& service, Duty& duty, Fence fence);
  void execute(const ServiceName& service, const ControlCommand& command);
  void on_engine_answer(const ServiceName& service, Fence fence, const EngineId& engine,
                        const tl::expected<EngineState, EngineCallError>& answer);
  void plan_roles(const ServiceName& service, Duty& duty);
  int rank_of_self(const ServiceName& service) const;

  std::string lease_key(const ServiceName& service) const;
  const Policy& policy_for(const ServiceName& service) const;

  Runtime& runtime_;
  ObjectClient& platform_;
  EngineClient& engines_;
  ClusterService& cluster_;
  RegionName region_;
  LeaseSettings lease_settings_;
  SnapshotPointer snapshot_;
  std::map<ServiceName, Duty> duties_;
  bool resigned_ = false;
  Periodic ticker_;
};

}  // namespace shuntbank
