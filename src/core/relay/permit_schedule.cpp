#include "core/relay/permit_schedule.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

Duration interval(double a_second) {
  return from_seconds(1 / std::max(a_second, kLeastRate));
}

Duration burst(double a_second) {
  return from_seconds((kPermitBurst - 1) / std::max(a_second, kLeastRate));
}

}  // namespace

MonotonicTime PermitSchedule::next(MonotonicTime now, double a_second) const {
  return std::max(now, this->due - burst(a_second));
}

std::optional<MonotonicTime> PermitSchedule::take(MonotonicTime earliest, double a_second,
                                                  MonotonicTime latest) {
  const MonotonicTime leaves = this->next(earliest, a_second);
  if (leaves > latest) return std::nullopt;
  this->due = std::max(this->due, leaves) + interval(a_second);
  return leaves;
}

void PermitSchedule::speed_up(MonotonicTime now, double from_a_second, double to_a_second) {
  if (this->due <= now) return;
  const double ahead = to_seconds(this->due - now) * std::max(from_a_second, kLeastRate);
  this->due = now + from_seconds(ahead / std::max(to_a_second, kLeastRate));
}

void PermitSchedule::begin(MonotonicTime now, double a_second) {
  this->due = now + burst(a_second) + interval(a_second);
}

}  // namespace shuntbank::relay
