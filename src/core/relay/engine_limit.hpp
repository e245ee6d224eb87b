/// @file
/// How many requests a second engines say that they take from all nodes together, as nodes hear it
/// of the engines themselves and of each other, in any order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// An engine's word on its limit, with the time at which some node heard it of the engine.
struct HeardLimit {
  std::optional<double> a_second;  ///< Nothing: the engine takes what it gets.
  MonotonicTime heard_at{};

  bool operator==(const HeardLimit&) const = default;
};

/// A limit that an engine has begun to name, has changed or has ended.
struct LimitNews {
  EngineId engine;
  HeardLimit limit;

  bool operator==(const LimitNews&) const = default;
};

/// A limit as messages between nodes tell it: with how long ago it was heard of the engine.
struct ToldLimit {
  std::optional<double> a_second;
  std::uint32_t age_ms = 0;

  bool operator==(const ToldLimit&) const = default;
};

/// The highest age that is told: an hour. Nothing that was heard so long ago decides anything.
constexpr std::uint32_t kHighestLimitAge = 3'600'000;  // ms

ToldLimit to_told(const HeardLimit& limit, MonotonicTime now);
HeardLimit to_heard(const ToldLimit& told, MonotonicTime now);

/// A word counts as later than another only by so much: answers pass each other on their
/// connections, and news of them take up to some sums of the fleet's view.
constexpr Duration kSurelyLater = std::chrono::milliseconds(500);

/// What is known of the limit of each start of an engine, and when it takes the next request.
class EngineLimits {
 public:
  /// Takes a word. A lower limit is taken unless it is surely older than what is known, a higher
  /// one and the end of a limit only where they are surely later: of two nodes that heard different
  /// figures both are right in the end, and until then the lower one holds.
  /// @return whether the limit has changed.
  bool hear(const EngineId& engine, const HeardLimit& heard);

  /// @return what is known of an engine, or null.
  const HeardLimit* find(const EngineId& engine) const;

  /// @return the limit in force, if there is one.
  std::optional<double> limit(const EngineId& engine) const;

  /// Sets when the engine takes a request next, as far as this node knows.
  void set_next(const EngineId& engine, MonotonicTime at);

  /// @return when the engine takes a request next; nothing where it is not limited.
  std::optional<MonotonicTime> next(const EngineId& engine) const;

  /// @return whether any engine is limited.
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
