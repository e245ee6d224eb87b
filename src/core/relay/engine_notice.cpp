#include "core/relay/engine_notice.hpp"

#include <algorithm>
#include <iterator>

namespace shuntbank::relay {
namespace {

/// Draining engines remembered: six times the size of a large fleet.
constexpr std::size_t kMostLeaving = 4096;

/// Cooldowns stored before expired ones are erased.
constexpr std::size_t kManyRests = 1024;

}  // namespace

bool EngineNotices::on_leaving(const EngineId& engine) {
  if (!this->leaving_starts.insert(engine).second) return false;
  this->leaving_order.push_back(engine);
  if (this->leaving_order.size() > kMostLeaving) {
    this->leaving_starts.erase(this->leaving_order.front());
    this->leaving_order.pop_front();
  }
  return true;
}

MonotonicTime EngineNotices::on_rest(MonotonicTime now, const EngineId& engine, Duration rest) {
  if (this->rests.size() >= kManyRests) this->forget_ended_rests(now);
  MonotonicTime& until = this->rests[engine];
  until = std::max(until, now + std::clamp(rest, Duration::zero(), kLongestRest));
  return until;
}

MonotonicTime EngineNotices::rests_until(const EngineId& engine) const {
  const auto found = this->rests.find(engine);
  return found == this->rests.end() ? MonotonicTime{} : found->second;
}

void EngineNotices::forget_ended_rests(MonotonicTime now) {
  std::erase_if(this->rests, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace shuntbank::relay
