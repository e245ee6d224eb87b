#include "core/relay/retry_budget.hpp"

#include <algorithm>
#include <limits>

namespace shuntbank::relay {

std::int64_t RetryBudget::slot_number(MonotonicTime at) const {
  return at.time_since_epoch() / (settings_.window / kSlotsPerWindow);
}

RetryBudget::Slot& RetryBudget::slot_at(MonotonicTime now) {
  const auto size = static_cast<std::int64_t>(slots_.size());
  const std::int64_t number = slot_number(now);
  // Clears the slots since the last call.
  newest_slot_ = std::max(newest_slot_, number - size);
  while (newest_slot_ < number) slots_[static_cast<std::size_t>(++newest_slot_ % size)] = {};
  return slots_[static_cast<std::size_t>(newest_slot_ % size)];
}

const RetryBudget::Slot& RetryBudget::slot_before(std::int64_t slots) const {
  const auto size = static_cast<std::int64_t>(slots_.size());
  return slots_[static_cast<std::size_t>((newest_slot_ - slots + size) % size)];
}

double RetryBudget::available(MonotonicTime now) {
  slot_at(now);
  // Checks every window that includes `now`, by the slot in which it starts: all charges since then
  // count, and only the requests since one window before its start.
  double spent = 0;
  double requests = 0;
  for (std::int64_t slots = 0; slots < kSlotsPerWindow; ++slots) {
    requests += slot_before(slots).requests;
  }
  double min_available = std::numeric_limits<double>::infinity();
  for (std::int64_t slots = 0; slots <= kChargeSlots; ++slots) {
    spent += slot_before(slots).spent;
    if (slots > 0) requests += slot_before(slots + kSlotsPerWindow - 1).requests;
    min_available = std::min(min_available, settings_.ratio / 2 * requests - spent);
  }
  const double slack = now >= share_.valid_from ? share_.dispatches : 0;
  return min_available + slack;
}

void RetryBudget::refund(MonotonicTime now, MonotonicTime charged_at) {
  slot_at(now);
  const auto size = static_cast<std::int64_t>(slots_.size());
  const std::int64_t age = newest_slot_ - slot_number(charged_at);
  if (age >= size) return;
  Slot& slot = slots_[static_cast<std::size_t>((newest_slot_ - age) % size)];
  if (slot.spent > 0) --slot.spent;
}

bool RetryBudget::try_spend(MonotonicTime now) {
  if (available(now) < 1) return false;
  charge(now);
  return true;
}

void RetryBudgets::set_slack_share(const SlackShare& share) {
  share_ = share;
  for (auto& [service, budget] : budgets_) budget.set_slack_share(share);
}

RetryBudget& RetryBudgets::of(const ServiceName& service) {
  return budgets_.try_emplace(service, settings_, share_).first->second;
}

}  // namespace shuntbank::relay
