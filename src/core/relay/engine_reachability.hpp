/// @file
/// Tracks to which engines this node has a direct network path.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

struct EngineReachabilitySettings {
  /// Minimum interval between two checks of whether any engine is reachable.
  Duration check_interval = std::chrono::milliseconds(300);
  /// The same while the only reason is that engines are silent.
  Duration silence_check_interval = std::chrono::seconds(1);
  /// Interval between two probes of an engine to which the path is broken.
  Duration probe_interval = std::chrono::milliseconds(500);
};

/// An engine to which this node could not connect.
struct BrokenPath {
  bool refused = false;  ///< Its host refused the connection, rather than not answer.
  MonotonicTime tried_at{};

  bool operator==(const BrokenPath&) const = default;
};

/// What one node's connections show of its direct paths to the engines, as opposed to the state of
/// the engines: a failed connection may be due to either. Has no clock or network access.
class EngineReachability {
 public:
  explicit EngineReachability(MonotonicTime now, const EngineReachabilitySettings& own = {})
      : settings(own), answered_at(now) {}

  /// No direct connection to an engine could be made.
  void on_connect_failed(MonotonicTime now, const EngineId& engine, bool refused);

  /// Bytes of an engine have arrived directly.
  void on_answer(MonotonicTime now, const EngineId& engine);

  /// A probe of an engine has ended.
  void on_probed(MonotonicTime now, const EngineId& engine, bool connected);

  /// An engine is gone.
  void forget(const EngineId& engine) { this->broken.erase(engine); }

  /// Attempts wait, and no engine has sent anything for a while.
  void on_silence() { this->silent = true; }

  /// @return whether a check of whether any engine is reachable is due.
  bool check_due(MonotonicTime now) const;

  void on_check_started(MonotonicTime now);

  /// A check has ended. @param connected whether an engine accepted a connection.
  /// @return whether `path_broken` has changed.
  bool on_check_ended(MonotonicTime now, bool connected);

  /// @return engines that are due to be probed, the longest waiting first. Each counts as tried
  /// now.
  std::vector<EngineId> take_due_probes(MonotonicTime now, std::size_t max_count);

  /// @return whether the last check reached no engine.
  bool path_broken() const { return this->broken_since.has_value(); }

  /// @return how long no engine has been reachable; zero if one is.
  Duration broken_for(MonotonicTime now) const {
    return this->broken_since ? now - *this->broken_since : Duration::zero();
  }

  /// @return the broken path to an engine, or null if none is known to be broken.
  const BrokenPath* find_broken(const EngineId& engine) const;

  /// @return all engines with a broken path.
  const std::map<EngineId, BrokenPath>& broken_paths() const { return this->broken; }

  /// @return time since the last direct answer of any engine, or since the start.
  Duration since_last_answer(MonotonicTime now) const { return now - this->answered_at; }

 private:
  EngineReachabilitySettings settings;
  std::map<EngineId, BrokenPath> broken;
  MonotonicTime answered_at;
  bool connect_failed = false;  ///< Since the start of the last check.
  bool silent = false;          ///< The same.
  std::optional<MonotonicTime> checked_at;
  bool checking = false;
  std::optional<MonotonicTime> broken_since;
};

}  // namespace shuntbank::relay
