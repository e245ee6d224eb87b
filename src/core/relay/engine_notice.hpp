/// @file
/// What engines say of themselves in the heads of their answers, remembered by start of an engine.
/// An engine's own word needs no second source: it holds also while the store is silent, outlives
/// the entry, and is not weighed against what this node concludes from failures.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// The words of one head.
struct EngineNotice {
  bool leaving = false;          ///< It will end, and wants no new request from anyone.
  std::optional<Duration> rest;  ///< It wants no request from this node for so long.
  /// It takes so many requests a second from all nodes together, for as long as it says so.
  std::optional<double> limit;
  bool names_limit = false;  ///< Also where the limit cannot be read.

  bool operator==(const EngineNotice&) const = default;
};

/// The longest rest that is kept. Whoever asks for more is as good as gone for callers; where that
/// was a mistake, the engine serves again after ten minutes, and not after a day.
constexpr Duration kLongestRest = std::chrono::minutes(10);

/// All that engines have said. A word ends with its start of the engine, or at its time.
class EngineNotices {
 public:
  /// An engine leaves. @return whether that is news.
  bool on_leaving(const EngineId& engine);

  /// An engine wants no request for so long. A shorter wait does not end a longer one.
  /// @return until when it rests.
  MonotonicTime on_rest(MonotonicTime now, const EngineId& engine, Duration rest);

  bool leaving(const EngineId& engine) const { return this->leaving_starts.count(engine) > 0; }

  /// @return until when an engine rests; long ago where it has not asked for it.
  MonotonicTime rests_until(const EngineId& engine) const;

  /// @return whether the engine has said that it wants no request now.
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
