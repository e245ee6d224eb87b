/// @file
/// True time as the nodes agree on it. A machine's time of day may be wrong and may jump; most
/// machines are right most of the time.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// Tunables of a node's clock.
struct TrueTimeSettings {
  /// Between two looks at the time of day, less than this is how clocks are corrected, and
  /// followed. A second apart, the 500 ppm by which the kernel slews make half a millisecond.
  UnixMs max_slew_ms = 20;
  /// A jump that has stood for so long was a correction of a wrong clock. Longer than the hour that
  /// a mistaken one may last.
  Duration step_accept_delay = std::chrono::hours(2);
  /// Clocks heard of before a median says anything, this node's own included.
  std::size_t min_clocks = 3;
  /// A clock that was told longer ago is left out.
  Duration clock_timeout = std::chrono::seconds(5);
};

/// One node's view of true time: its own clock without its jumps, and the median of all.
class TrueTime {
 public:
  TrueTime(const TrueTimeSettings& settings, MonotonicTime now, UnixMs time_of_day);

  /// Looks at the time of day. Call about each second.
  /// @return by how many milliseconds it has jumped since the last call; 0: it has not.
  UnixMs update(MonotonicTime now, UnixMs time_of_day);

  /// @return this node's own clock, with jumps taken out and corrections by others left out. This
  /// is what is told to others: told with their corrections in it, an error would go round.
  UnixMs local_time(MonotonicTime now) const;

  /// @return true time as far as this node knows.
  UnixMs corrected_time(MonotonicTime now) const {
    return this->local_time(now) + this->correction_ms;
  }

  /// Another node has just told its own clock.
  void on_peer_clock(MonotonicTime now, const NodeId& node, UnixMs clock);

  /// Takes the median of the clocks heard lately and this node's own.
  /// @return true time by it, or nothing when too few are known.
  std::optional<UnixMs> apply_median(MonotonicTime now);

  /// A node that knows the median has told true time.
  void on_true_time(MonotonicTime now, UnixMs time) {
    this->correction_ms = time - this->local_time(now);
  }

  /// @return by how much this node's clock is corrected, in milliseconds.
  UnixMs correction() const { return this->correction_ms; }

 private:
  struct PeerClock {
    UnixMs lead_ms = 0;  ///< Of this node's own clock.
    MonotonicTime received_at{};
  };

  TrueTimeSettings settings;
  UnixMs offset_ms;  ///< From the monotonic clock to this node's own.
  std::optional<MonotonicTime> step_at;
  UnixMs step_ms = 0;
  UnixMs correction_ms = 0;
  std::map<NodeId, PeerClock> peer_clocks;
};

}  // namespace shuntbank::usage
