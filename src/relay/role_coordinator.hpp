/// @file
/// Sends the stage planner's orders to engines while this node holds the lease.
#pragma once

#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/relay/stage_planner.hpp"
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/lease_keeper.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// Runs on every node; acts only on the lease holder.
class RoleCoordinator {
 public:
  /// All references must outlive this object.
  RoleCoordinator(const RelayIo& io, LeaseKeeper& lease, RelayNode& node,
                  const RoleCoordinatorSettings& settings, const StagePlannerSettings& planner);
  ~RoleCoordinator();
  RoleCoordinator(const RoleCoordinator&) = delete;
  RoleCoordinator& operator=(const RoleCoordinator&) = delete;

 private:
  void plan();
  void log_target_changes();
  void request_report(const EngineRecord& record, EngineStage stage);
  void on_report(const EngineRecord& record, EngineStage stage, const HttpReply& reply);
  void send_order(const EngineRecord& record, EngineStage stage, const EngineReport& report);

  RelayIo io_;
  LeaseKeeper& lease_;
  RelayNode& node_;
  RoleCoordinatorSettings settings_;
  StagePlanner planner_;
  std::size_t calls_in_flight_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
