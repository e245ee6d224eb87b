/// @file
/// Announces the stage planner's changes to all nodes and sends the orders to the engines while
/// this node holds the lease.
#pragma once

#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/relay/stage_change_queue.hpp"
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
  void announce_planned(MonotonicTime now, Fence fence);
  void end_change(const StageChangeStep& step);
  void cancel_change(const EngineId& engine, const char* why);
  void repeat_notice(const StageChangeStep& step);
  void request_report(const EngineRecord& record, EngineStage stage, Fence fence);
  void on_report(const EngineRecord& record, EngineStage stage, Fence fence,
                 const HttpReply& reply);
  void send_order(const EngineRecord& record, EngineStage stage, Fence fence,
                  const EngineReport& report);
  void on_order_answered(const EngineId& engine,
                         const tl::expected<HttpReply, TransferError>& reply);
  void log_target_changes();

  RelayIo io_;
  LeaseKeeper& lease_;
  RelayNode& node_;
  RoleCoordinatorSettings settings_;
  StagePlanner planner_;
  StageChangeQueue changes_;
  std::size_t calls_in_flight_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
