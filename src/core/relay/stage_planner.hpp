/// @file
/// Plans stage changes (prefill or decode) of model engines. A change costs money and takes the
/// engine out of service for seconds, so changes are few and batched.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// Tunables of the planner.
struct StagePlannerSettings {
  double prefill_share = 0.56;  ///< Target share of prefill engines per service.
  std::uint32_t min_decode_engines = 2;
  Duration batch_interval = std::chrono::seconds(3);  ///< Between the starts of two batches.
  /// Share of a service's engines changed in one batch, at least one engine. Idle engines that
  /// joined later need not wait for a batch.
  double max_batch_share = 0.1;
  Duration engine_cooldown = std::chrono::seconds(12);  ///< Between two changes of one engine.
};

/// An order to change an engine's stage.
struct StageChange {
  EngineId engine;
  EngineStage stage = EngineStage::kDecode;
};

/// Plans stages from one node's view of the engines.
class StagePlanner {
 public:
  explicit StagePlanner(const StagePlannerSettings& settings) : settings_(settings) {}

  /// @return the next change, if one is due. It counts as issued until it is withdrawn.
  std::optional<StageChange> next(MonotonicTime now, EngineDirectory& engines,
                                  const RouteTable& table);

  /// @return whether a change returned by `next` would still be planned if it were not yet.
  bool still_wanted(MonotonicTime now, EngineDirectory& engines, const RouteTable& table,
                    const StageChange& change);

  /// The order of a change goes out now; the engine's cooldown begins.
  void on_ordered(MonotonicTime now, const StageChange& change) {
    issued_orders_[change.engine] = {change.stage, now};
  }

  /// A change is not ordered.
  void withdraw(const EngineId& engine) { issued_orders_.erase(engine); }

 private:
  std::optional<StageChange> next_for_service(MonotonicTime now, EngineDirectory& engines,
                                              const RelayedService& service, bool batch_open);
  bool is_idle_newcomer(MonotonicTime now, const EngineView& engine) const;
  void record_initial_engines(const EngineDirectory& engines);
  std::size_t batch_size(EngineDirectory& engines, const RelayedService& service) const;

  /// An issued order, whether or not the engine has changed yet.
  struct IssuedOrder {
    EngineStage stage = EngineStage::kDecode;
    MonotonicTime issued_at{};
  };

  /// @return the engine's stage once any order in progress has completed.
  EngineStage expected_stage(MonotonicTime now, const EngineRecord& record) const;

  StagePlannerSettings settings_;
  std::optional<MonotonicTime> batch_started_at_;
  std::size_t batch_remaining_ = 0;  ///< Orders left in the batch.
  std::map<EngineId, IssuedOrder> issued_orders_;
  std::optional<std::set<EngineId>> initial_engines_;  ///< Known when planning started.
};

}  // namespace shuntbank::relay
