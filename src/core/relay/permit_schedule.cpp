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

void PermitSchedule::begin(MonotonicTime now, double a_second) {
  this->due = now + burst(a_second) + interval(a_second);
}

}  // namespace shuntbank::relay
