/// @file
/// Decides when a model engine changes its stage. Orders are priced and take the engine away for
/// seconds, so that it orders little.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// Tunables of the planner.
struct StagePlannerSettings {
  double prefill_share = 0.56;  ///< Of a service's engines.
  std::uint32_t min_decode_engines = 2;
  Duration batch_interval = std::chrono::seconds(3);  ///< From one batch's begin to the next.
  /// Of a service's engines, ordered in one batch; one at least. Engines that have come since and
  /// hold nothing yet need not wait for a batch: nobody misses them.
  double max_batch_share = 0.1;
  Duration engine_cooldown = std::chrono::seconds(12);  ///< For one engine.
};

/// An order to give.
struct StageChange {
  EngineId engine;
  EngineStage stage = EngineStage::kDecode;
};

/// Plans the stages of one node's view of the engines.
class StagePlanner {
 public:
  explicit StagePlanner(const StagePlannerSettings& settings) : settings_(settings) {}

  /// @return the next order, if one pays now. It counts as given.
  std::optional<StageChange> next(MonotonicTime now, EngineDirectory& engines,
                                  const RouteTable& table);

 private:
  std::optional<StageChange> next_for_service(MonotonicTime now, EngineDirectory& engines,
                                              const RelayedService& service, bool batch_open);
  bool is_idle_newcomer(MonotonicTime now, const EngineView& engine) const;
  void record_initial_engines(const EngineDirectory& engines);
  std::size_t batch_size(EngineDirectory& engines, const RelayedService& service) const;

  /// An order that was given, whether or not its effect shows yet.
  struct IssuedOrder {
    EngineStage stage = EngineStage::kDecode;
    MonotonicTime issued_at{};
  };

  /// @return the stage that the engine has, or will have once its order is carried out.
  EngineStage expected_stage(MonotonicTime now, const EngineRecord& record) const;

  StagePlannerSettings settings_;
  std::optional<MonotonicTime> batch_started_at_;
  std::size_t batch_remaining_ = 0;  ///< Orders that the batch may still hold.
  std::map<EngineId, IssuedOrder> issued_orders_;
  std::optional<std::set<EngineId>> initial_engines_;  ///< That were there when planning began.
};

}  // namespace shuntbank::relay
