/// @file
/// Rate limits that engines announce for all nodes together. Observations from engines and reports
/// from other nodes may arrive in any order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// A limit, and when some node received it from the engine.
struct ObservedLimit {
  std::optional<double> per_second;  ///< Unset: unlimited.
  MonotonicTime observed_at{};

  bool operator==(const ObservedLimit&) const = default;
};

/// A limit that an engine has set, changed or removed.
struct LimitUpdate {
  EngineId engine;
  ObservedLimit limit;

  bool operator==(const LimitUpdate&) const = default;
};

/// A limit in messages between nodes, with the age of its observation.
struct LimitReport {
  std::optional<double> per_second;
  std::uint32_t age_ms = 0;

  bool operator==(const LimitReport&) const = default;
};

/// Greater ages are cut to this.
constexpr std::uint32_t kMaxLimitAgeMs = 3'600'000;

LimitReport to_report(const ObservedLimit& limit, MonotonicTime now);
ObservedLimit to_observed(const LimitReport& report, MonotonicTime now);

/// Observations closer together than this may arrive in either order, as answers and reports
/// overtake each other and reports pass through several sums of the zone exchange.
constexpr Duration kReorderTolerance = std::chrono::milliseconds(500);

/// The limit of each engine incarnation and the time of its next permit.
class EngineLimits {
 public:
  /// Applies an observation. Within `kReorderTolerance` of the known one the lower limit wins;
  /// otherwise the newer one, so that nodes with different observations converge.
  /// @return whether the limit has changed.
  bool observe(const EngineId& engine, const ObservedLimit& observed);

  /// @return the last observation of an engine, or null.
  const ObservedLimit* find(const EngineId& engine) const;

  /// @return the limit in force, in requests per second.
  std::optional<double> limit(const EngineId& engine) const;

  /// Sets when the engine accepts its next request, as far as this node knows.
  void set_next_permit(const EngineId& engine, MonotonicTime at);

  /// @return when the engine accepts its next request; unset if it is unlimited.
  std::optional<MonotonicTime> next_permit(const EngineId& engine) const;

  bool any_limited() const { return this->limited_count > 0; }

 private:
  struct EngineLimitState {
    ObservedLimit limit;
    MonotonicTime next_permit{};
  };
  void expire(MonotonicTime now);

  std::unordered_map<EngineId, EngineLimitState> engines;
  std::size_t limited_count = 0;
};

}  // namespace shuntbank::relay
