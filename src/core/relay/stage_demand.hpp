/// @file
/// Measures the work of a model service's prefill and decode stage, and decides how its engines
/// should be divided between the two.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "common/time.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/engine_model.hpp"

namespace shuntbank::relay {

/// An amount for each stage, in engines of the service's usual speed: how many of them the work
/// keeps busy, or how many there are.
struct StageAmounts {
  double prefill = 0;
  double decode = 0;

  double total() const { return prefill + decode; }
  double of(EngineStage stage) const { return stage == EngineStage::kPrefill ? prefill : decode; }
  double& of(EngineStage stage) { return stage == EngineStage::kPrefill ? prefill : decode; }
};

/// @return the other stage of a model engine.
EngineStage opposite_stage(EngineStage stage);

/// @return an engine's speed relative to the usual one of its service.
double relative_speed(const EngineView& engine);

/// The load of a service's engines at one moment, as one node sees it.
struct StageLoad {
  StageAmounts work;
  std::size_t engines = 0;         ///< That serve and are not being drained.
  bool any_request = false;        ///< Whether any engine has work.
  bool peer_load_present = false;  ///< Whether the load of other nodes is part of it.
};

/// @return the load of the engines of one service.
StageLoad measure_stage_load(MonotonicTime now, const std::vector<EngineView*>& engines,
                             const EngineModel& model);

/// The work of both stages over the last seconds. Callers pass in the time.
class StageDemand {
 public:
  /// @return whether the last sample is old enough for another one.
  bool due(MonotonicTime now) const;

  /// Adds a sample.
  void observe(MonotonicTime now, const StageLoad& load);

  /// @return whether a request has been seen since this object exists.
  bool any_request_seen() const { return request_seen_; }

  /// @return for how long there have been samples without a gap; zero if the load of other nodes is
  /// missing at present.
  Duration history() const;

  /// @return the work of the heaviest seconds in the history, of each stage by itself.
  StageAmounts heaviest() const;

  /// @return the mean work of the last second.
  StageAmounts recent() const;

  /// @return the mean work over the whole history.
  StageAmounts average() const;

  /// @return whether at least a tenth of the engines has gone within the last seconds.
  bool engines_lost() const;

 private:
  struct Sample {
    MonotonicTime at{};
    StageAmounts work;
    StageAmounts mean;  ///< Over the averaging time up to this sample.
    std::size_t engines = 0;
  };
  StageAmounts mean_work(Duration window) const;

  std::deque<Sample> samples_;
  bool request_seen_ = false;
  bool peer_load_seen_ = false;
};

/// The division of a service's engines between the stages that is being worked towards.
struct StageTarget {
  EngineStage growing = EngineStage::kNone;  ///< The stage that gets engines.
  double prefill_share = 0;                  ///< Of the speed of all engines.
};

/// Why a target was set or dropped.
enum class StageTargetCause {
  kImbalance,  ///< One stage has had more work per engine for some seconds.
  kSaturated,  ///< One stage has work for nearly all its engines.
  kLoss,       ///< Many engines were lost at once.
  kRevised,    ///< The work has changed on the way to the target.
  kReached,    ///< The engines are divided as wanted.
  kEased,      ///< Neither stage needs engines of the other any more.
  kUnknown,    ///< The load is not known any more.
};

/// @return the name of the cause for log lines.
const char* to_text(StageTargetCause cause);

/// Decides when engines should change stage: when the heaviest recent work of the two stages leaves
/// one of them clearly less headroom than the other. Without a target, nothing changes.
class StageBalance {
 public:
  /// @param prefill_share that the configuration gives to prefill.
  explicit StageBalance(double prefill_share) : usual_prefill_share_(prefill_share) {}

  /// Updates the target.
  /// @param capacity of both stages once all orders in progress have completed.
  /// @return the cause if the target has changed.
  std::optional<StageTargetCause> update(MonotonicTime now, const StageDemand& demand,
                                         const StageAmounts& capacity);

  const std::optional<StageTarget>& target() const { return target_; }

 private:
  struct Imbalance;
  Imbalance measure(const StageDemand& demand, const StageAmounts& capacity) const;
  std::optional<StageTargetCause> start(MonotonicTime now, const StageDemand& demand,
                                        const StageAmounts& capacity, const Imbalance& imbalance);
  std::optional<StageTargetCause> follow(MonotonicTime now, const StageAmounts& capacity,
                                         const Imbalance& imbalance);
  std::optional<StageTargetCause> drop(MonotonicTime now, StageTargetCause cause);

  double usual_prefill_share_;
  std::optional<StageTarget> target_;
  EngineStage imbalanced_ = EngineStage::kNone;  ///< The short stage since `imbalanced_since_`.
  MonotonicTime imbalanced_since_{};
  EngineStage last_growing_ = EngineStage::kNone;  ///< Of the last target.
  MonotonicTime last_target_at_{};                 ///< When the last target was dropped.
};

}  // namespace shuntbank::relay
