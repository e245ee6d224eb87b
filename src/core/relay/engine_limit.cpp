#include "core/relay/engine_limit.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace shuntbank::relay {
namespace {

/// Limits stored before expired ones are erased, and their lifetime.
constexpr std::size_t kExpiryThreshold = 4096;
constexpr Duration kLimitRetention = std::chrono::minutes(10);

double rate_or_infinity(const std::optional<double>& limit) {
  return limit.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

LimitReport to_report(const ObservedLimit& limit, MonotonicTime now) {
  const std::int64_t age_ms = whole_ms(now - limit.observed_at);
  return {limit.per_second,
          static_cast<std::uint32_t>(std::clamp<std::int64_t>(age_ms, 0, kMaxLimitAgeMs))};
}

ObservedLimit to_observed(const LimitReport& report, MonotonicTime now) {
  return {report.per_second, now - std::chrono::milliseconds(report.age_ms)};
}

bool EngineLimits::observe(const EngineId& engine, const ObservedLimit& observed) {
  if (this->engines.size() >= kExpiryThreshold) this->expire(observed.observed_at);
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    if (!observed.per_second) return false;
    this->engines[engine].limit = observed;
    ++this->limited_count;
    return true;
  }
  ObservedLimit& known = found->second.limit;
  const double before = rate_or_infinity(known.per_second);
  const bool higher = rate_or_infinity(observed.per_second) > before;
  const bool surely_later = observed.observed_at >= known.observed_at + kReorderTolerance;
  const bool surely_older = observed.observed_at <= known.observed_at - kReorderTolerance;
  if (higher ? !surely_later : surely_older) return false;
  const bool same = rate_or_infinity(observed.per_second) == before;
  if (known.per_second && !observed.per_second) --this->limited_count;
  if (!known.per_second && observed.per_second) ++this->limited_count;
  known = {observed.per_second,
           same ? std::max(known.observed_at, observed.observed_at) : observed.observed_at};
  return !same;
}

const ObservedLimit* EngineLimits::find(const EngineId& engine) const {
  const auto found = this->engines.find(engine);
  return found == this->engines.end() ? nullptr : &found->second.limit;
}

std::optional<double> EngineLimits::limit(const EngineId& engine) const {
  const ObservedLimit* known = this->find(engine);
  return known == nullptr ? std::nullopt : known->per_second;
}

void EngineLimits::set_next_permit(const EngineId& engine, MonotonicTime at) {
  const auto found = this->engines.find(engine);
  if (found != this->engines.end()) found->second.next_permit = at;
}

std::optional<MonotonicTime> EngineLimits::next_permit(const EngineId& engine) const {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end() || !found->second.limit.per_second) return std::nullopt;
  return found->second.next_permit;
}

/// A live engine announces its limit again with its next answer.
void EngineLimits::expire(MonotonicTime now) {
  std::erase_if(this->engines, [now](const auto& entry) {
    return now - entry.second.limit.observed_at > kLimitRetention;
  });
  this->limited_count = static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(),
                    [](const auto& entry) { return entry.second.limit.per_second.has_value(); }));
}

}  // namespace shuntbank::relay
