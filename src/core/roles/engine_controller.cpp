#include "core/roles/engine_controller.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace shuntbank {
namespace {

/// One engine in this many may be out for a change at once, and always one.
constexpr std::size_t kEnginesForEachChange = 4;

Availability availability_of(ControlPhase phase, bool answers) {
  if (!answers) return Availability::kDown;
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

/// @return whether the engine is in force what `desired` says.
bool in_force(const EngineState& state, const DesiredState& desired) {
  return !state.changing && state.role == desired.role && state.models == desired.models &&
         state.desired == desired;
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
                                 const std::vector<ModelSpec>& models, Duration drain_bound) {
  models_ = models;
  drain_bound_ = drain_bound;
  const std::set<EngineId> wanted(engines.begin(), engines.end());
  std::erase_if(engines_, [&wanted](const auto& entry) { return !wanted.contains(entry.first); });
  for (const EngineId& engine : engines) engines_.try_emplace(engine);
}

void EngineController::want_role(const EngineId& engine, EngineRole role) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.wanted_role = role;
  found->second.role_is_wanted = true;
}

std::vector<ControlCommand> EngineController::poll(MonotonicTime now) {
  std::vector<ControlCommand> commands;
  if (superseded_) return commands;
  for (auto& [engine, control] : engines_) {
    if (control.busy || now < control.next_at) continue;
    auto command = next_command(now, engine, control);
    if (!command) continue;
    control.busy = true;
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
  // Nothing to order: look at the engine again, so that a crash or a lost order is noticed.
  control.state.reset();
  return ReadEngine{engine};
}

std::optional<ControlCommand> EngineController::act_on_state(MonotonicTime now,
                                                             const EngineId& engine,
                                                             Control& control) {
  if (control.unconfirmed && control.state->stamp < control.unconfirmed->stamp) {
    return SendOrder{engine, *control.unconfirmed};
  }
  if (control.phase == ControlPhase::kDraining) return drain(now, engine, control);
  const DesiredState wanted = target(control);
  const bool ordered = control.unconfirmed && control.unconfirmed->desired == wanted;
  if (in_force(*control.state, wanted) || ordered) return std::nullopt;
  if (control.phase == ControlPhase::kChanging && control.state->changing) return std::nullopt;
  // An engine without models serves nothing, so there is nothing to drain.
  if (control.state->models.empty()) {
    control.phase = ControlPhase::kChanging;
    return order(engine, control, wanted);
  }
  const bool only_admission = control.state->role == wanted.role &&
                              control.state->models == wanted.models && !control.state->changing;
  if (only_admission) return order(engine, control, wanted);
  if (now < control.put_off_until || !may_start_change()) return std::nullopt;
  control.phase = ControlPhase::kDraining;
  control.drain_since = now;
  DesiredState closed{control.state->role, control.state->models, false};
  return order(engine, control, std::move(closed));
}

std::optional<ControlCommand> EngineController::drain(MonotonicTime now, const EngineId& engine,
                                                      Control& control) {
  const bool closed = !control.state->desired.accepting;
  const DesiredState wanted = target(control);
  // No new request can start once the engine holds the closing order, so zero active is final.
  if (closed && control.state->active == 0) {
    control.phase = ControlPhase::kChanging;
    return order(engine, control, wanted);
  }
  if (now < control.drain_since + drain_bound_) return std::nullopt;
  ++put_off_;
  control.phase = ControlPhase::kSteady;
  control.put_off_until = now + settings_.put_off_for;
  DesiredState reopened{control.state->role, control.state->models, true};
  return order(engine, control, std::move(reopened));
}

ControlCommand EngineController::order(const EngineId& engine, Control& control,
                                       DesiredState desired) {
  control.unconfirmed = EngineOrder{{fence_, ++counters_.order}, std::move(desired)};
  update_fact(engine, control);
  return SendOrder{engine, *control.unconfirmed};
}

DesiredState EngineController::target(const Control& control) const {
  const EngineRole role = control.role_is_wanted ? control.wanted_role : control.state->role;
  return {role, models_, true};
}

bool EngineController::may_start_change() const {
  const auto out = std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) {
    return entry.second.phase == ControlPhase::kDraining ||
           entry.second.phase == ControlPhase::kChanging;
  });
  const std::size_t cap = std::max<std::size_t>(1, engines_.size() / kEnginesForEachChange);
  return static_cast<std::size_t>(out) < cap;
}

void EngineController::on_state(MonotonicTime now, const EngineId& engine,
                                const EngineState& state) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  Control& control = found->second;
  control.busy = false;
  control.unanswered = 0;
  if (state.stamp.fence > fence_) {
    superseded_ = true;
    return;
  }
  if (state.stamp.fence < fence_) {
    // The engine restarted and forgot the claim: nothing ordered so far counts.
    control.phase = ControlPhase::kUnclaimed;
    control.unconfirmed.reset();
    control.state.reset();
    control.next_at = now;
    return;
  }
  control.state = state;
  counters_.order = std::max(counters_.order, state.stamp.sequence);
  if (control.phase == ControlPhase::kUnclaimed) {
    control.phase = state.changing ? ControlPhase::kChanging : ControlPhase::kSteady;
    // A holder before closed it for a drain; the drain goes on or is undone from its state.
    if (!state.desired.accepting) control.phase = ControlPhase::kDraining;
    control.drain_since = now;
  }
  const bool confirmed = control.unconfirmed && state.stamp >= control.unconfirmed->stamp;
  if (confirmed && control.phase == ControlPhase::kChanging &&
      in_force(state, control.unconfirmed->desired)) {
    control.phase = ControlPhase::kSteady;
  }
  if (!control.unconfirmed && control.phase == ControlPhase::kChanging && !state.changing) {
    control.phase = ControlPhase::kSteady;
  }
  if (confirmed && !state.changing) control.unconfirmed.reset();
  if (!state.changing) {
    if (control.settled_role && *control.settled_role != state.role) ++role_changes_;
    control.settled_role = state.role;
  }
  const bool moving = control.phase != ControlPhase::kSteady || control.unconfirmed;
  const bool must_act = !moving && !in_force(state, target(control));
  control.next_at =
      now + (moving || must_act ? settings_.read_while_changing : settings_.read_every);
  update_fact(engine, control);
}

void EngineController::on_stale(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.busy = false;
  found->second.state.reset();
}

void EngineController::on_no_answer(MonotonicTime now, const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  Control& control = found->second;
  control.busy = false;
  control.next_at = now + settings_.retry_after;
  control.state.reset();
  ++control.unanswered;
  update_fact(engine, control);
}

void EngineController::update_fact(const EngineId& engine, Control& control) {
  EngineFact fact;
  fact.engine = engine;
  fact.role = control.state ? control.state->role : control.fact ? control.fact->role : fact.role;
  const bool answers = control.unanswered < settings_.down_after;
  fact.availability = availability_of(control.phase, answers);
  const bool unloaded = control.state && control.state->models.empty() && !models_.empty();
  if (answers && unloaded) fact.availability = Availability::kChanging;
  const bool same = control.fact && control.fact->role == fact.role &&
                    control.fact->availability == fact.availability;
  if (same) return;
  fact.stamp = {fence_, 0};
  fact.change = ++counters_.fact;
  control.fact = fact;
}

std::vector<EngineFact> EngineController::facts() const {
  std::vector<EngineFact> facts;
  for (const auto& [engine, control] : engines_) {
    if (control.fact) facts.push_back(*control.fact);
  }
  return facts;
}

std::vector<EngineController::Line> EngineController::lines() const {
  std::vector<Line> lines;
  for (const auto& [engine, control] : engines_) {
    const EngineRole role = control.state  ? control.state->role
                            : control.fact ? control.fact->role
                                           : EngineRole::kMixed;
    lines.push_back({engine, control.phase, control.state,
                     control.role_is_wanted ? control.wanted_role : role,
                     control.unanswered < settings_.down_after});
  }
  return lines;
}

}  // namespace shuntbank
