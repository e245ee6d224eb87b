#include "core/relay/permit_schedule.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

Duration interval(double per_second) {
  return from_seconds(1 / std::max(per_second, kMinPermitRate));
}

Duration burst_tolerance(double per_second) {
  return from_seconds((kPermitBurst - 1) / std::max(per_second, kMinPermitRate));
}

}  // namespace

MonotonicTime PermitSchedule::next(MonotonicTime now, double per_second) const {
  return std::max(now, this->next_due - burst_tolerance(per_second));
}

std::optional<MonotonicTime> PermitSchedule::take(MonotonicTime earliest, double per_second,
                                                  MonotonicTime latest) {
  const MonotonicTime send_at = this->next(earliest, per_second);
  if (send_at > latest) return std::nullopt;
  this->next_due = std::max(this->next_due, send_at) + interval(per_second);
  return send_at;
}

void PermitSchedule::raise_rate(MonotonicTime now, double from_per_second, double to_per_second) {
  if (this->next_due <= now) return;
  const double permits_ahead =
      to_seconds(this->next_due - now) * std::max(from_per_second, kMinPermitRate);
  this->next_due = now + from_seconds(permits_ahead / std::max(to_per_second, kMinPermitRate));
}

void PermitSchedule::reset(MonotonicTime now, double per_second) {
  this->next_due = now + burst_tolerance(per_second) + interval(per_second);
}

}  // namespace shuntbank::relay
