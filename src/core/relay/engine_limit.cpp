#include "core/relay/engine_limit.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace shuntbank::relay {
namespace {

/// Limits stored before expired ones are erased, and their lifetime.
constexpr std::size_t kManyEngines = 4096;
constexpr Duration kRemembered = std::chrono::minutes(10);

double figure(const std::optional<double>& limit) {
  return limit.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

ToldLimit to_told(const HeardLimit& limit, MonotonicTime now) {
  const std::int64_t age_ms = whole_ms(now - limit.heard_at);
  return {limit.a_second,
          static_cast<std::uint32_t>(std::clamp<std::int64_t>(age_ms, 0, kHighestLimitAge))};
}

HeardLimit to_heard(const ToldLimit& told, MonotonicTime now) {
  return {told.a_second, now - std::chrono::milliseconds(told.age_ms)};
}

bool EngineLimits::hear(const EngineId& engine, const HeardLimit& heard) {
  if (this->engines.size() >= kManyEngines) this->forget_old(heard.heard_at);
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    if (!heard.a_second) return false;
    this->engines[engine].limit = heard;
    ++this->limited;
    return true;
  }
  HeardLimit& known = found->second.limit;
  const double before = figure(known.a_second);
  const bool higher = figure(heard.a_second) > before;
  const bool surely_later = heard.heard_at >= known.heard_at + kSurelyLater;
  const bool surely_older = heard.heard_at <= known.heard_at - kSurelyLater;
  if (higher ? !surely_later : surely_older) return false;
  const bool same = figure(heard.a_second) == before;
  if (known.a_second && !heard.a_second) --this->limited;
  if (!known.a_second && heard.a_second) ++this->limited;
  known = {heard.a_second, same ? std::max(known.heard_at, heard.heard_at) : heard.heard_at};
  return !same;
}

const HeardLimit* EngineLimits::find(const EngineId& engine) const {
  const auto found = this->engines.find(engine);
  return found == this->engines.end() ? nullptr : &found->second.limit;
}

std::optional<double> EngineLimits::limit(const EngineId& engine) const {
  const HeardLimit* known = this->find(engine);
  return known == nullptr ? std::nullopt : known->a_second;
}

void EngineLimits::set_next(const EngineId& engine, MonotonicTime at) {
  const auto found = this->engines.find(engine);
  if (found != this->engines.end()) found->second.next = at;
}

std::optional<MonotonicTime> EngineLimits::next(const EngineId& engine) const {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end() || !found->second.limit.a_second) return std::nullopt;
  return found->second.next;
}

/// A live engine announces its limit again with its next answer.
void EngineLimits::forget_old(MonotonicTime now) {
  std::erase_if(this->engines, [now](const auto& entry) {
    return now - entry.second.limit.heard_at > kRemembered;
  });
  this->limited = static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(),
                    [](const auto& entry) { return entry.second.limit.a_second.has_value(); }));
}

}  // namespace shuntbank::relay
