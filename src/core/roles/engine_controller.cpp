#include "core/roles/engine_controller.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace shuntbank {
namespace {

/// One engine in this many may change at once, and at least one.
constexpr std::size_t kEnginesPerChange = 4;

Availability availability_of(ControlPhase phase, bool responsive) {
  if (!responsive) return Availability::kDown;
  switch (phase) {
    case ControlPhase::kDraining:
      return Availability::kDraining;
    case ControlPhase::kChanging:
      return Availability::kChanging;
    case ControlPhase::kUnclaimed:
    case ControlPhase::kSteady:
      break;
  }
  return Availability::kServing;
}

/// @return whether the engine has reached the state `desired`.
bool is_applied(const EngineState& state, const DesiredState& desired) {
  return !state.change_in_progress && state.role == desired.role &&
         state.models == desired.models && state.desired == desired;
}

}  // namespace

const char* to_text(ControlPhase phase) {
  switch (phase) {
    case ControlPhase::kUnclaimed:
      return "unclaimed";
    case ControlPhase::kSteady:
      return "steady";
    case ControlPhase::kDraining:
      return "draining";
    case ControlPhase::kChanging:
      return "changing";
  }
  return "unclaimed";
}

EngineController::EngineController(Fence fence, const ControllerSettings& settings,
                                   const ControlCounters& counters)
    : fence_(fence), settings_(settings), counters_(counters) {}

void EngineController::configure(const std::vector<EngineId>& engines,
                                 const std::vector<ModelSpec>& models, Duration drain_timeout) {
  models_ = models;
  drain_timeout_ = drain_timeout;
  const std::set<EngineId> configured(engines.begin(), engines.end());
  std::erase_if(engines_,
                [&configured](const auto& entry) { return !configured.contains(entry.first); });
  for (const EngineId& engine : engines) engines_.try_emplace(engine);
}

void EngineController::set_wanted_role(const EngineId& engine, EngineRole role) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.wanted_role = role;
  found->second.has_wanted_role = true;
}

std::vector<ControlCommand> EngineController::poll(MonotonicTime now) {
  std::vector<ControlCommand> commands;
  if (superseded_) return commands;
  for (auto& [engine, control] : engines_) {
    if (control.command_pending || now < control.next_command_at) continue;
    auto command = next_command(now, engine, control);
    if (!command) continue;
    control.command_pending = true;
    commands.push_back(std::move(*command));
  }
  return commands;
}

std::optional<ControlCommand> EngineController::next_command(MonotonicTime now,
                                                             const EngineId& engine,
                                                             Control& control) {
  if (control.phase == ControlPhase::kUnclaimed) return ClaimEngine{engine, fence_};
  if (!control.state) return ReadEngine{engine};
  if (auto command = act_on_state(now, engine, control)) return command;
  // Nothing to order: read the state again to detect a crash or a lost order.
  control.state.reset();
  return ReadEngine{engine};
}

std::optional<ControlCommand> EngineController::act_on_state(MonotonicTime now,
                                                             const EngineId& engine,
                                                             Control& control) {
  if (control.unconfirmed_order && control.state->stamp < control.unconfirmed_order->stamp) {
    return SendOrder{engine, *control.unconfirmed_order};
  }
  if (control.phase == ControlPhase::kDraining) return drain(now, engine, control);
  const DesiredState wanted = target_state(control);
  const bool ordered = control.unconfirmed_order && control.unconfirmed_order->desired == wanted;
  if (is_applied(*control.state, wanted) || ordered) return std::nullopt;
  if (control.phase == ControlPhase::kChanging && control.state->change_in_progress)
    return std::nullopt;
  // An engine without models has no requests to drain.
  if (control.state->models.empty()) {
    control.phase = ControlPhase::kChanging;
    return make_order(engine, control, wanted);
  }
  const bool only_accepting_differs = control.state->role == wanted.role &&
                                      control.state->models == wanted.models &&
                                      !control.state->change_in_progress;
  if (only_accepting_differs) return make_order(engine, control, wanted);
  if (now < control.drain_retry_at || !may_start_change()) return std::nullopt;
  control.phase = ControlPhase::kDraining;
  control.drain_started_at = now;
  DesiredState refusing{control.state->role, control.state->models, false};
  return make_order(engine, control, std::move(refusing));
}

std::optional<ControlCommand> EngineController::drain(MonotonicTime now, const EngineId& engine,
                                                      Control& control) {
  const bool refusing = !control.state->desired.accepting;
  const DesiredState wanted = target_state(control);
  // A refusing engine starts no new request, so zero active requests is final.
  if (refusing && control.state->active == 0) {
    control.phase = ControlPhase::kChanging;
    return make_order(engine, control, wanted);
  }
  if (now < control.drain_started_at + drain_timeout_) return std::nullopt;
  ++drain_timeouts_;
  control.phase = ControlPhase::kSteady;
  control.drain_retry_at = now + settings_.drain_retry_delay;
  DesiredState reopened{control.state->role, control.state->models, true};
  return make_order(engine, control, std::move(reopened));
}

ControlCommand EngineController::make_order(const EngineId& engine, Control& control,
                                            DesiredState desired) {
  control.unconfirmed_order = EngineOrder{{fence_, ++counters_.order}, std::move(desired)};
  update_fact(engine, control);
  return SendOrder{engine, *control.unconfirmed_order};
}

DesiredState EngineController::target_state(const Control& control) const {
  const EngineRole role = control.has_wanted_role ? control.wanted_role : control.state->role;
  return {role, models_, true};
}

bool EngineController::may_start_change() const {
  const auto changing = std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) {
    return entry.second.phase == ControlPhase::kDraining ||
           entry.second.phase == ControlPhase::kChanging;
  });
  const std::size_t max_changing = std::max<std::size_t>(1, engines_.size() / kEnginesPerChange);
  return static_cast<std::size_t>(changing) < max_changing;
}

void EngineController::on_state(MonotonicTime now, const EngineId& engine,
                                const EngineState& state) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  Control& control = found->second;
  control.command_pending = false;
  control.unanswered_commands = 0;
  if (state.stamp.fence > fence_) {
    superseded_ = true;
    return;
  }
  if (state.stamp.fence < fence_) {
    // The engine restarted and lost the claim; earlier orders are void.
    control.phase = ControlPhase::kUnclaimed;
    control.unconfirmed_order.reset();
    control.state.reset();
    control.next_command_at = now;
    return;
  }
  control.state = state;
  counters_.order = std::max(counters_.order, state.stamp.sequence);
  if (control.phase == ControlPhase::kUnclaimed) {
    control.phase = state.change_in_progress ? ControlPhase::kChanging : ControlPhase::kSteady;
    // The previous lease holder started a drain, which continues here.
    if (!state.desired.accepting) control.phase = ControlPhase::kDraining;
    control.drain_started_at = now;
  }
  const bool confirmed =
      control.unconfirmed_order && state.stamp >= control.unconfirmed_order->stamp;
  if (confirmed && control.phase == ControlPhase::kChanging &&
      is_applied(state, control.unconfirmed_order->desired)) {
    control.phase = ControlPhase::kSteady;
  }
  if (!control.unconfirmed_order && control.phase == ControlPhase::kChanging &&
      !state.change_in_progress) {
    control.phase = ControlPhase::kSteady;
  }
  if (confirmed && !state.change_in_progress) control.unconfirmed_order.reset();
  if (!state.change_in_progress) {
    if (control.last_stable_role && *control.last_stable_role != state.role) ++role_changes_;
    control.last_stable_role = state.role;
  }
  const bool change_pending = control.phase != ControlPhase::kSteady || control.unconfirmed_order;
  const bool change_needed = !change_pending && !is_applied(state, target_state(control));
  control.next_command_at = now + (change_pending || change_needed ? settings_.change_read_interval
                                                                   : settings_.read_interval);
  update_fact(engine, control);
}

void EngineController::on_stale_fence(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.command_pending = false;
  found->second.state.reset();
}

void EngineController::on_no_answer(MonotonicTime now, const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  Control& control = found->second;
  control.command_pending = false;
  control.next_command_at = now + settings_.retry_delay;
  control.state.reset();
  ++control.unanswered_commands;
  update_fact(engine, control);
}

void EngineController::update_fact(const EngineId& engine, Control& control) {
  EngineFact fact;
  fact.engine = engine;
  fact.role = control.state ? control.state->role : control.fact ? control.fact->role : fact.role;
  const bool responsive = control.unanswered_commands < settings_.down_threshold;
  fact.availability = availability_of(control.phase, responsive);
  const bool unloaded = control.state && control.state->models.empty() && !models_.empty();
  if (responsive && unloaded) fact.availability = Availability::kChanging;
  const bool unchanged = control.fact && control.fact->role == fact.role &&
                         control.fact->availability == fact.availability;
  if (unchanged) return;
  fact.stamp = {fence_, 0};
  fact.version = ++counters_.fact;
  control.fact = fact;
}

std::vector<EngineFact> EngineController::facts() const {
  std::vector<EngineFact> facts;
  for (const auto& [engine, control] : engines_) {
    if (control.fact) facts.push_back(*control.fact);
  }
  return facts;
}

std::vector<EngineController::EngineStatus> EngineController::statuses() const {
  std::vector<EngineStatus> statuses;
  for (const auto& [engine, control] : engines_) {
    const EngineRole role = control.state  ? control.state->role
                            : control.fact ? control.fact->role
                                           : EngineRole::kMixed;
    statuses.push_back({engine, control.phase, control.state,
                        control.has_wanted_role ? control.wanted_role : role,
                        control.unanswered_commands < settings_.down_threshold});
  }
  return statuses;
}

}  // namespace shuntbank
