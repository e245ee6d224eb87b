#include "core/relay/stage_change_queue.hpp"

#include <algorithm>

namespace shuntbank::relay {

bool StageChangeQueue::ends(StageChangeAction action) {
  return action == StageChangeAction::kWithdraw || action == StageChangeAction::kComplete ||
         action == StageChangeAction::kExpire;
}

std::size_t StageChangeQueue::announced_count() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.state == State::kAnnounced; }));
}

bool StageChangeQueue::announce(MonotonicTime now, const StageChange& change, std::uint64_t fence) {
  Entry entry;
  entry.stage = change.stage;
  entry.fence = fence;
  entry.announced_at = now;
  return entries_.emplace(change.engine, entry).second;
}

std::vector<StageChangeStep> StageChangeQueue::poll(
    MonotonicTime now, const EngineDirectory& engines,
    const std::function<bool(const StageChange&)>& still_wanted, std::size_t max_orders) {
  // After a stall, or a while without authority, nodes may hold no valid notice any more: the time
  // to the order begins anew. A notice must arrive before the previous one expires.
  const bool lapsed =
      polled_at_ && now - *polled_at_ > settings_.notice_validity - settings_.notice_lead;
  polled_at_ = now;
  std::vector<StageChangeStep> steps;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (lapsed && it->second.state == State::kAnnounced) it->second.announced_at = now;
    StageChangeStep step =
        decide(now, it->first, it->second, engines.find(it->first), still_wanted);
    if (step.action == StageChangeAction::kOrder && max_orders == 0) {
      step.action = StageChangeAction::kNotify;
    }
    if (step.action == StageChangeAction::kOrder) {
      --max_orders;
      it->second.state = State::kOrdering;
      it->second.ordered_at = now;
    }
    steps.push_back(step);
    it = ends(step.action) ? entries_.erase(it) : std::next(it);
  }
  return steps;
}

StageChangeStep StageChangeQueue::decide(
    MonotonicTime now, const EngineId& id, const Entry& entry, const EngineView* engine,
    const std::function<bool(const StageChange&)>& still_wanted) const {
  StageChangeStep step;
  step.change = {id, entry.stage};
  step.fence = entry.fence;
  step.age = now - entry.announced_at;
  step.ordered = entry.state != State::kAnnounced;
  const auto end = [&step](StageChangeAction action, const char* why) {
    step.action = action;
    step.why = why;
    return step;
  };
  if (engine == nullptr) {
    return end(step.ordered ? StageChangeAction::kExpire : StageChangeAction::kWithdraw,
               "engine gone");
  }
  if (engine->record.stage == entry.stage) return end(StageChangeAction::kComplete, "");
  if (step.ordered) {
    const bool overdue = now - entry.ordered_at >= settings_.effect_timeout;
    return overdue ? end(StageChangeAction::kExpire, "overdue") : step;
  }
  if (engine->record.draining) return end(StageChangeAction::kWithdraw, "engine drains");
  if (!still_wanted(step.change)) return end(StageChangeAction::kWithdraw, "not wanted");
  if (may_order(now, entry, *engine)) step.action = StageChangeAction::kOrder;
  return step;
}

/// The engine rejects what waits there when the order arrives, and without new work its queue
/// shrinks. A queue that does not is not waited for: the change may be needed to shorten it.
bool StageChangeQueue::may_order(MonotonicTime now, const Entry& entry,
                                 const EngineView& engine) const {
  const Duration age = now - entry.announced_at;
  if (age < settings_.notice_lead) return false;
  const bool queue = engine.total_requests(now) > engine.record.slots;
  return !queue || age >= settings_.notice_lead + settings_.max_queue_wait;
}

void StageChangeQueue::on_ordered(MonotonicTime now, const EngineId& engine) {
  const auto found = entries_.find(engine);
  if (found == entries_.end()) return;
  found->second.state = State::kOrdered;
  found->second.ordered_at = now;
}

std::optional<StageChangeStep> StageChangeQueue::cancel(MonotonicTime now, const EngineId& engine,
                                                        const char* why) {
  const auto found = entries_.find(engine);
  if (found == entries_.end()) return std::nullopt;
  StageChangeStep step;
  step.action = StageChangeAction::kWithdraw;
  step.change = {engine, found->second.stage};
  step.fence = found->second.fence;
  step.why = why;
  step.age = now - found->second.announced_at;
  entries_.erase(found);
  return step;
}

std::vector<StageChangeStep> StageChangeQueue::drop_before(MonotonicTime now, std::uint64_t fence) {
  std::vector<StageChangeStep> dropped;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.fence >= fence) {
      ++it;
      continue;
    }
    StageChangeStep step;
    step.action = StageChangeAction::kExpire;
    step.change = {it->first, it->second.stage};
    step.fence = it->second.fence;
    step.ordered = it->second.state != State::kAnnounced;
    step.why = "lease lost";
    step.age = now - it->second.announced_at;
    dropped.push_back(step);
    it = entries_.erase(it);
  }
  return dropped;
}

}  // namespace shuntbank::relay
