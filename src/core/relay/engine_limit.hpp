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
struct HeardLimit {
  std::optional<double> a_second;  ///< Unset: unlimited.
  MonotonicTime heard_at{};

  bool operator==(const HeardLimit&) const = default;
};

/// A limit that an engine has set, changed or removed.
struct LimitNews {
  EngineId engine;
  HeardLimit limit;

  bool operator==(const LimitNews&) const = default;
};

/// A limit in messages between nodes, with the age of its observation.
struct ToldLimit {
  std::optional<double> a_second;
  std::uint32_t age_ms = 0;

  bool operator==(const ToldLimit&) const = default;
};

/// Greater ages are cut to this.
constexpr std::uint32_t kHighestLimitAge = 3'600'000;  // ms

ToldLimit to_told(const HeardLimit& limit, MonotonicTime now);
HeardLimit to_heard(const ToldLimit& told, MonotonicTime now);

/// Observations closer together than this may arrive in either order, as answers and reports
/// overtake each other.
constexpr Duration kSurelyLater = std::chrono::milliseconds(500);

/// The limit of each engine incarnation and the time of its next permit.
class EngineLimits {
 public:
  /// Applies an observation. Within `kReorderTolerance` of the known one the lower limit wins;
  /// otherwise the newer one, so that nodes with different observations converge.
  /// @return whether the limit has changed.
  bool hear(const EngineId& engine, const HeardLimit& heard);

  /// @return the last observation of an engine, or null.
  const HeardLimit* find(const EngineId& engine) const;

  /// @return the limit in force, in requests per second.
  std::optional<double> limit(const EngineId& engine) const;

  /// Sets when the engine accepts its next request, as far as this node knows.
  void set_next(const EngineId& engine, MonotonicTime at);

  /// @return when the engine accepts its next request; unset if it is unlimited.
  std::optional<MonotonicTime> next(const EngineId& engine) const;

  bool any() const { return this->limited > 0; }

 private:
  struct Known {
    HeardLimit limit;
    MonotonicTime next{};
  };
  void forget_old(MonotonicTime now);

  std::unordered_map<EngineId, Known> engines;
  std::size_t limited = 0;
};

}  // namespace shuntbank::relay
