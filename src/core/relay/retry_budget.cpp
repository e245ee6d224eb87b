#include "core/relay/retry_budget.hpp"

namespace shuntbank::relay {

void RetryBudget::forget(MonotonicTime now) {
  while (!requests_.empty() && now - requests_.front() >= settings_.window) requests_.pop_front();
  // A dispatch arrives later than it is counted here; it stays counted a little longer.
  const Duration held = settings_.window + settings_.window / 10;
  while (!spent_.empty() && now - spent_.front() >= held) spent_.pop_front();
}

void RetryBudget::on_request(MonotonicTime now) {
  forget(now);
  requests_.push_back(now);
}

double RetryBudget::available(MonotonicTime now) {
  forget(now);
  const double share = settings_.slack / settings_.assumed_nodes;
  return settings_.ratio * static_cast<double>(requests_.size()) + share -
         static_cast<double>(spent_.size() + set_aside_);
}

void RetryBudget::charge(MonotonicTime now) {
  spent_.push_back(now);
}

bool RetryBudget::try_spend(MonotonicTime now) {
  if (available(now) < 1) return false;
  charge(now);
  return true;
}

}  // namespace shuntbank::relay
