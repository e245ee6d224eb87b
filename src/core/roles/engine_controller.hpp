/// @file
/// Control of one service's engines under a fence: claim, read, drain, order, confirm.
/// The driver carries out the returned commands and reports their results as events. Every order is
/// stamped with the fence, and the driver asks for authority again right before it leaves.
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

/// What an engine says of itself when its state is read.
struct EngineState {
  OrderStamp stamp;                      ///< Newest claim or order that it holds.
  DesiredState desired;                  ///< As of that order.
  EngineRole role = EngineRole::kMixed;  ///< In force now.
  bool change_in_progress = false;       ///< A change of role or models is under way.
  std::vector<ModelSpec> models;         ///< Loaded now.
  std::uint32_t active = 0;              ///< Requests in flight, from all callers.
};

/// Raise the engine's fence.
struct ClaimEngine {
  EngineId engine;
  Fence fence = 0;
};

/// Send an order.
struct SendOrder {
  EngineId engine;
  EngineOrder order;
};

/// Read the engine's state.
struct ReadEngine {
  EngineId engine;
};

using ControlCommand = std::variant<ClaimEngine, SendOrder, ReadEngine>;

/// Tunables of the control of engines.
struct ControllerSettings {
  Duration read_interval = std::chrono::seconds(2);  ///< Of an engine at rest.
  Duration change_read_interval = std::chrono::milliseconds(250);
  Duration retry_delay = std::chrono::seconds(1);         ///< After a command without an answer.
  Duration drain_retry_delay = std::chrono::seconds(20);  ///< After a drain that took too long.
  std::uint32_t down_threshold = 3;                       ///< Commands without an answer in a row.
};

/// Where one engine stands.
enum class ControlPhase {
  kUnclaimed,  ///< Nothing was heard of it under this fence.
  kSteady,     ///< It is what it should be.
  kDraining,   ///< It refuses new requests until those in flight have ended.
  kChanging,   ///< The change was ordered and is not yet confirmed.
};

/// @return the name of `phase` in logs and status.
const char* to_text(ControlPhase phase);

/// Numbers that only grow under one fence, over all engines of a service.
struct ControlCounters {
  Sequence order = 0;
  std::uint32_t fact = 0;
};

/// Controls the engines of one service for as long as one fence is valid.
class EngineController {
 public:
  /// @param counters of a controller before under the same fence, whose numbers must not be used
  /// twice: an engine that crashed has forgotten them, and nodes would take new facts for old ones.
  EngineController(Fence fence, const ControllerSettings& settings,
                   const ControlCounters& counters = {});

  /// Sets which engines there are and what each holds, from the configuration.
  void configure(const std::vector<EngineId>& engines, const std::vector<ModelSpec>& models,
                 Duration drain_timeout);

  /// Sets the role that an engine should have, from the planner.
  void set_wanted_role(const EngineId& engine, EngineRole role);

  /// @return commands to carry out now. At most one is outstanding for each engine.
  std::vector<ControlCommand> poll(MonotonicTime now);

  /// The engine answered a claim or a read, or took an order.
  void on_state(MonotonicTime now, const EngineId& engine, const EngineState& state);

  /// The engine refused a claim or an order as stale: another holder has a higher fence.
  void on_stale_fence(const EngineId& engine);

  /// A command got no answer.
  void on_no_answer(MonotonicTime now, const EngineId& engine);

  /// @return what all nodes should know of each engine whose state was confirmed.
  std::vector<EngineFact> facts() const;

  /// @return whether an engine refused this fence: the authority is lost.
  bool superseded() const { return superseded_; }

  Fence fence() const { return fence_; }

  /// @return the last numbers that were used.
  const ControlCounters& counters() const { return counters_; }

  /// @return changes of role that were confirmed.
  std::uint64_t role_changes() const { return role_changes_; }

  /// @return drains that were given up because they took too long.
  std::uint64_t drain_timeouts() const { return drain_timeouts_; }

  /// One engine's line in `status`.
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
    std::optional<EngineRole> last_stable_role;  ///< In force when the engine was last at rest.
    EngineRole wanted_role = EngineRole::kMixed;
    bool has_wanted_role = false;  ///< The planner has spoken; else the engine keeps its role.
    std::optional<EngineOrder>
        unconfirmed_order;  ///< Sent again as it is until the engine shows it.
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
