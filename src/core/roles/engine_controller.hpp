/// @file
/// Control of one service's engines under a lease fence: claim, read, drain, order, confirm.
/// The driver executes the returned commands and reports their results as events. Every order is
/// stamped with the fence, and the driver checks the lease again right before it sends the order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/objects.hpp"
#include "core/lease/order.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// State that an engine reports.
struct EngineState {
  OrderStamp stamp;                      ///< Newest claim or order that it accepted.
  DesiredState desired;                  ///< As of that order.
  EngineRole role = EngineRole::kMixed;  ///< Current role.
  bool change_in_progress = false;       ///< Of role or models.
  std::vector<ModelSpec> models;         ///< Currently loaded.
  std::uint32_t active = 0;              ///< Requests in flight, from all callers.
};

/// Raise the engine's fence.
struct ClaimEngine {
  EngineId engine;
  Fence fence = 0;
};

struct SendOrder {
  EngineId engine;
  EngineOrder order;
};

/// Read the engine's state.
struct ReadEngine {
  EngineId engine;
};

using ControlCommand = std::variant<ClaimEngine, SendOrder, ReadEngine>;

/// Timing and thresholds of the controller.
struct ControllerSettings {
  Duration read_interval = std::chrono::seconds(2);  ///< Of an engine in steady state.
  Duration change_read_interval = std::chrono::milliseconds(250);
  Duration retry_delay = std::chrono::seconds(1);         ///< After an unanswered command.
  Duration drain_retry_delay = std::chrono::seconds(20);  ///< After a drain timed out.
  std::uint32_t down_threshold = 3;                       ///< Consecutive unanswered commands.
};

/// Phase of the control of one engine.
enum class ControlPhase {
  kUnclaimed,  ///< The engine has not answered under this fence.
  kSteady,     ///< No change is in progress.
  kDraining,   ///< The engine finishes requests in flight and refuses new ones.
  kChanging,   ///< The change was ordered and is not yet confirmed.
};

/// @return the name of `phase` in logs and status.
const char* to_text(ControlPhase phase);

/// Sequence numbers under one fence, shared by all engines of a service.
struct ControlCounters {
  Sequence order = 0;
  std::uint32_t fact = 0;
};

/// Controls the engines of one service while one fence is valid.
class EngineController {
 public:
  /// @param counters of an earlier controller under the same fence. Numbers must not be reused:
  /// a crashed engine cannot report them, and nodes would discard new facts as old.
  EngineController(Fence fence, const ControllerSettings& settings,
                   const ControlCounters& counters = {});

  /// Sets the engines and the models of each, from the configuration.
  void configure(const std::vector<EngineId>& engines, const std::vector<ModelSpec>& models,
                 Duration drain_timeout);

  /// Sets the role that the planner chose for an engine.
  void set_wanted_role(const EngineId& engine, EngineRole role);

  /// @return commands to execute now. At most one is outstanding per engine.
  std::vector<ControlCommand> poll(MonotonicTime now);

  /// The engine answered a claim or a read, or accepted an order.
  void on_state(MonotonicTime now, const EngineId& engine, const EngineState& state);

  /// The engine refused a claim or an order as stale: another holder has a higher fence.
  void on_stale_fence(const EngineId& engine);

  /// A command got no answer.
  void on_no_answer(MonotonicTime now, const EngineId& engine);

  /// @return the facts to publish to all nodes.
  std::vector<EngineFact> facts() const;

  /// @return whether an engine reported a higher fence, so that the lease is lost.
  bool superseded() const { return superseded_; }

  Fence fence() const { return fence_; }

  /// @return the last numbers used.
  const ControlCounters& counters() const { return counters_; }

  /// @return the number of confirmed role changes.
  std::uint64_t role_changes() const { return role_changes_; }

  /// @return the number of drains that timed out.
  std::uint64_t drain_timeouts() const { return drain_timeouts_; }

  /// State of one engine for `status`.
  struct EngineStatus {
    EngineId engine;
    ControlPhase phase;
    std::optional<EngineState> state;
    EngineRole wanted_role;
    bool responsive;
  };
  std::vector<EngineStatus> statuses() const;

 private:
  struct Control {
    ControlPhase phase = ControlPhase::kUnclaimed;
    std::optional<EngineState> state;
    std::optional<EngineRole> last_stable_role;  ///< Last role reported with no change in progress.
    EngineRole wanted_role = EngineRole::kMixed;
    bool has_wanted_role = false;                  ///< False: the engine keeps its role.
    std::optional<EngineOrder> unconfirmed_order;  ///< Resent until the engine reports it.
    bool command_pending = false;
    MonotonicTime next_command_at{};
    MonotonicTime drain_started_at{};
    MonotonicTime drain_retry_at{};
    std::uint32_t unanswered_commands = 0;

    std::optional<EngineFact> fact;
  };

  std::optional<ControlCommand> next_command(MonotonicTime now, const EngineId& engine,
                                             Control& control);
  std::optional<ControlCommand> act_on_state(MonotonicTime now, const EngineId& engine,
                                             Control& control);
  std::optional<ControlCommand> drain(MonotonicTime now, const EngineId& engine, Control& control);
  ControlCommand make_order(const EngineId& engine, Control& control, DesiredState desired);
  DesiredState target_state(const Control& control) const;
  bool may_start_change() const;
  void update_fact(const EngineId& engine, Control& control);

  Fence fence_;
  ControllerSettings settings_;
  std::vector<ModelSpec> models_;
  Duration drain_timeout_ = std::chrono::seconds(30);
  std::map<EngineId, Control> engines_;
  ControlCounters counters_;
  bool superseded_ = false;
  std::uint64_t role_changes_ = 0;
  std::uint64_t drain_timeouts_ = 0;
};

}  // namespace shuntbank
