/// @file
/// Notices that engines put in the headers of their answers, kept per incarnation. They apply even
/// while the store is unavailable or the engine's record is missing, and independently of failures.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// The notices in the headers of one answer.
struct EngineNotice {
  bool draining = false;             ///< It is shutting down and wants no new requests.
  std::optional<Duration> cooldown;  ///< It wants no requests from this node for this long.
  /// Requests per second that it accepts from all nodes together, until it says otherwise.
  std::optional<double> limit;
  bool has_limit = false;  ///< A limit was sent, possibly malformed.

  bool operator==(const EngineNotice&) const = default;
};

/// Longer cooldowns are cut to this, so that a faulty value does not disable an engine for long.
constexpr Duration kMaxCooldown = std::chrono::minutes(10);

/// The notices in force of all engines, by incarnation.
class EngineNotices {
 public:
  /// Sets the number of engines in the fleet, which bounds how many notices are remembered.
  void on_engine_count(std::size_t count) {
    this->max_engine_count = std::max(this->max_engine_count, count);
  }

  /// Marks an engine as draining. @return whether it was not marked before.
  bool on_draining(const EngineId& engine);

  /// Starts a cooldown. A shorter one does not end a longer one.
  /// @return the end of the cooldown.
  MonotonicTime on_cooldown(MonotonicTime now, const EngineId& engine, Duration cooldown);

  bool draining(const EngineId& engine) const { return this->draining_engines.count(engine) > 0; }

  /// @return the end of the engine's last cooldown, or a time long past.
  MonotonicTime cooldown_until(const EngineId& engine) const;

  /// @return whether the engine is draining or in cooldown.
  bool refuses_requests(MonotonicTime now, const EngineId& engine) const {
    return this->draining(engine) || this->cooldown_until(engine) > now;
  }

 private:
  void erase_expired_cooldowns(MonotonicTime now);

  std::size_t max_engine_count = 0;
  std::unordered_set<EngineId> draining_engines;
  std::deque<EngineId> draining_order;
  std::unordered_map<EngineId, MonotonicTime> cooldowns;
};

}  // namespace shuntbank::relay
