/// @file
/// Plans stage changes (prefill or decode) of model engines. A change costs money and takes the
/// engine out of service for seconds, so changes are few and batched.
#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"
#include "core/relay/stage_demand.hpp"

namespace shuntbank::relay {

/// What decides how the engines of a service are divided between the stages.
enum class StageMode {
  kFixed,   ///< The configured share.
  kDemand,  ///< The work of each stage; the configured share until a request has been seen.
};

/// Reads and writes the names `fixed` and `demand`.
std::istream& operator>>(std::istream& in, StageMode& mode);
std::ostream& operator<<(std::ostream& out, StageMode mode);

/// Tunables of the planner.
struct StagePlannerSettings {
  StageMode mode = StageMode::kDemand;
  double prefill_share = 0.56;  ///< Configured share of prefill engines per service.
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

/// A change of a service's target and its inputs, for the log.
struct StageTargetChange {
  ServiceName service;
  StageTargetCause cause = StageTargetCause::kUnknown;
  std::optional<StageTarget> target;  ///< Unset: none any more.
  StageAmounts capacity;              ///< Once all orders in progress have completed.
  StageAmounts heaviest;              ///< Work of the heaviest seconds in the history.
  StageAmounts recent;                ///< Work of the last second.
  Duration history = Duration::zero();
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

  /// Measures demand without planning, while orders are not allowed yet.
  void observe(MonotonicTime now, const EngineDirectory& engines, const RouteTable& table);

  /// @return the changes of targets since the last call.
  std::vector<StageTargetChange> take_target_changes();

 private:
  /// The demand of one service and what follows from it.
  struct ServiceState {
    explicit ServiceState(double prefill_share) : balance(prefill_share) {}

    StageDemand demand;
    StageBalance balance;
  };
  /// The engines of one service by the stage that they have once orders in progress are done.
  struct EnginesByStage {
    std::vector<EngineView*> prefill;
    std::vector<EngineView*> decode;
    std::vector<EngineView*>& of(EngineStage stage) {
      return stage == EngineStage::kPrefill ? prefill : decode;
    }
  };

  std::optional<StageChange> next_for_service(MonotonicTime now, EngineDirectory& engines,
                                              const RelayedService& service, bool batch_open);
  EnginesByStage divide(MonotonicTime now, const EngineDirectory& engines,
                        const RelayedService& service) const;
  void update_demand(MonotonicTime now, const EngineDirectory& engines,
                     const RelayedService& service, const EnginesByStage& divided);
  std::optional<EngineStage> growing_stage(const RelayedService& service,
                                           const EnginesByStage& divided) const;
  std::optional<EngineStage> growing_by_share(const EnginesByStage& divided) const;
  std::optional<EngineStage> growing_by_demand(const ServiceState& state,
                                               const EnginesByStage& divided) const;
  std::optional<EngineId> choose_engine(MonotonicTime now, std::vector<EngineView*> sources,
                                        EngineStage stage, bool batch_open) const;
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
  std::map<ServiceName, ServiceState> services_;
  std::vector<StageTargetChange> target_changes_;
};

}  // namespace shuntbank::relay
