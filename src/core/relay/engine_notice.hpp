/// @file
/// Notices that engines put in the headers of their answers, kept per incarnation. They apply even
/// while the store is unavailable or the engine's record is missing, and independently of failures.
#pragma once

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
  bool leaving = false;          ///< It is shutting down and wants no new requests.
  std::optional<Duration> rest;  ///< It wants no requests from this node for this long.
  /// Requests per second that it accepts from all nodes together, until it says otherwise.
  std::optional<double> limit;
  bool names_limit = false;  ///< A limit was sent, possibly malformed.

  bool operator==(const EngineNotice&) const = default;
};

/// Longer cooldowns are cut to this, so that a faulty value does not disable an engine for long.
constexpr Duration kLongestRest = std::chrono::minutes(10);

/// The notices in force of all engines, by incarnation.
class EngineNotices {
 public:
  /// Marks an engine as draining. @return whether it was not marked before.
  bool on_leaving(const EngineId& engine);

  /// Starts a cooldown. A shorter one does not end a longer one.
  /// @return the end of the cooldown.
  MonotonicTime on_rest(MonotonicTime now, const EngineId& engine, Duration rest);

  bool leaving(const EngineId& engine) const { return this->leaving_starts.count(engine) > 0; }

  /// @return the end of the engine's last cooldown, or a time long past.
  MonotonicTime rests_until(const EngineId& engine) const;

  /// @return whether the engine is draining or in cooldown.
  bool wants_none(MonotonicTime now, const EngineId& engine) const {
    return this->leaving(engine) || this->rests_until(engine) > now;
  }

 private:
  void forget_ended_rests(MonotonicTime now);

  std::unordered_set<EngineId> leaving_starts;
  std::deque<EngineId> leaving_order;
  std::unordered_map<EngineId, MonotonicTime> rests;
};

}  // namespace shuntbank::relay
