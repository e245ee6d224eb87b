#include "core/relay/engine_notice.hpp"

#include <algorithm>
#include <iterator>

namespace shuntbank::relay {
namespace {

/// Draining engines remembered in a small fleet.
constexpr std::size_t kMinRememberedEngines = 1024;

/// Per engine of the fleet: all engines may drain, and their successors after them.
constexpr std::size_t kRememberedPerEngine = 2;

/// Cooldowns stored before expired ones are erased.
constexpr std::size_t kExpiryThreshold = 1024;

}  // namespace

bool EngineNotices::on_draining(const EngineId& engine) {
  if (!this->draining_engines.insert(engine).second) return false;
  this->draining_order.push_back(engine);
  const std::size_t max_remembered =
      std::max(kMinRememberedEngines, kRememberedPerEngine * this->max_engine_count);
  if (this->draining_order.size() > max_remembered) {
    this->draining_engines.erase(this->draining_order.front());
    this->draining_order.pop_front();
  }
  return true;
}

MonotonicTime EngineNotices::on_cooldown(MonotonicTime now, const EngineId& engine,
                                         Duration cooldown) {
  if (this->cooldowns.size() >= kExpiryThreshold) this->erase_expired_cooldowns(now);
  MonotonicTime& until = this->cooldowns[engine];
  until = std::max(until, now + std::clamp(cooldown, Duration::zero(), kMaxCooldown));
  return until;
}

MonotonicTime EngineNotices::cooldown_until(const EngineId& engine) const {
  const auto found = this->cooldowns.find(engine);
  return found == this->cooldowns.end() ? MonotonicTime{} : found->second;
}

void EngineNotices::erase_expired_cooldowns(MonotonicTime now) {
  std::erase_if(this->cooldowns, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace shuntbank::relay
