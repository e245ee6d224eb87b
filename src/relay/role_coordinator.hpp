/// @file
/// Holds the lease of the role planner and gives engines their orders while this node has it.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/lease/lease_holder.hpp"
#include "core/relay/stage_planner.hpp"
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Where the lease lies in the store.
struct LeaseLocation {
  std::string kind = "shuntbank-leases";
  std::string name = "roles";
};

/// The part of one node in the planning of engines' stages.
class RoleCoordinator {
 public:
  /// All references outlive this.
  RoleCoordinator(const RelayIo& io, store::ObjectStore& store, RelayNode& node,
                  const std::string& self, const RoleCoordinatorSettings& settings,
                  const StagePlannerSettings& planner);
  ~RoleCoordinator();
  RoleCoordinator(const RoleCoordinator&) = delete;
  RoleCoordinator& operator=(const RoleCoordinator&) = delete;

  /// Gives the lease up: the process is to stop.
  void stop();

 private:
  void tick();
  void run_lease();
  void pace_standby();
  void read_lease();
  void write_lease();
  void plan();
  void ask(const EngineRecord& record, EngineStage stage);
  void order(const EngineRecord& record, EngineStage stage, const EngineReport& report);

  RelayIo io_;
  store::ObjectStore& store_;
  RelayNode& node_;
  std::string self_;
  RoleCoordinatorSettings settings_;
  LeaseLocation location_;
  LeaseHolder lease_;
  StagePlanner planner_;
  bool stopped_ = false;
  bool held_ = false;
  MonotonicTime held_since_{};
  std::size_t orders_under_way_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Periodic> ticker_;
};

}  // namespace shuntbank::relay
