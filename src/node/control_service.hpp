/// @file
/// Control duty of this node: leases of services, orders to their engines, plans of their roles.
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

/// Runs the duties that fall to this node.
class ControlService {
 public:
  ControlService(Runtime& runtime, ObjectClient& platform, EngineClient& engines,
                 ClusterService& cluster, RegionName region, Duration lease_duration);

  /// A new configuration is in force.
  void configure(const SnapshotPointer& snapshot);

  /// A node tells what its callers asked for.
  void on_demand(const DemandReport& report);

  /// @return the member that demand of a service is sent to.
  std::optional<MemberFact> controller_of(const ServiceName& service) const;

  /// Stops all duties: this node is leaving.
  void resign();

  /// One duty in `status`.
  struct DutyStatus {
    ServiceName service;
    NodeId holder;               ///< As last seen in the store; empty when nobody was.
    std::optional<Fence> fence;  ///< Set while this node may act.
    std::string plan;
    std::uint64_t role_changes = 0;
    std::uint64_t drain_timeouts = 0;
    std::vector<EngineController::Line> engines;
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
    MonotonicTime next_plan{};
    MonotonicTime next_standby_poll{};
    ControlCounters counters;               ///< Of the controller before, under the same lease.
    std::uint64_t role_changes_before = 0;  ///< Of controllers under earlier fences.
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
