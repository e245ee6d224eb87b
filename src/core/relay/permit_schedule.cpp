#include "core/relay/permit_schedule.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

double effective_rate(const PermitRate& rate) {
  return std::max(rate.per_second, kMinPermitRate);
}

/// Bounds the effect of an implausible cost.
constexpr double kMaxIntervalSeconds = 3600;

Duration interval(const PermitRate& rate, double cost) {
  const double seconds = cost / effective_rate(rate);
  return from_seconds(std::clamp(seconds, -kMaxIntervalSeconds, kMaxIntervalSeconds));
}

Duration burst_tolerance(const PermitRate& rate) {
  return from_seconds(std::max(rate.burst - 1, 0.0) / effective_rate(rate));
}

}  // namespace

MonotonicTime PermitSchedule::next(MonotonicTime now, const PermitRate& rate) const {
  return std::max(now, this->next_due - burst_tolerance(rate));
}

std::optional<MonotonicTime> PermitSchedule::take(MonotonicTime earliest, const PermitRate& rate,
                                                  MonotonicTime latest, double cost) {
  const MonotonicTime send_at = this->next(earliest, rate);
  if (send_at > latest) return std::nullopt;
  this->next_due = std::max(this->next_due, send_at) + interval(rate, cost);
  return send_at;
}

void PermitSchedule::change_rate(MonotonicTime now, const PermitRate& from, const PermitRate& to) {
  if (this->next_due <= now) return;
  const double permits_ahead = to_seconds(this->next_due - now) * effective_rate(from);
  this->next_due = now + interval(to, permits_ahead);
}

void PermitSchedule::charge(MonotonicTime now, const PermitRate& rate, double cost) {
  this->next_due = std::max(this->next_due, now) + interval(rate, cost);
}

void PermitSchedule::reset(MonotonicTime now, const PermitRate& rate) {
  this->next_due = now + burst_tolerance(rate) + interval(rate, 1);
}

}  // namespace shuntbank::relay
