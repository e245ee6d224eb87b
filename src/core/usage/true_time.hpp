/// @file
/// True time as agreed by the nodes. A machine's time of day may be wrong or jump; the median of
/// all clocks corrects it.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// Settings of a node's clock.
struct TrueTimeSettings {
  /// A smaller change between two updates is a slew and is followed; a larger one is a jump. The
  /// kernel slews by at most 500 ppm, half a millisecond per second.
  UnixMs max_slew_ms = 20;
  /// A jump that has lasted this long is accepted as a correction. Longer than the hour that a
  /// mistaken one may last.
  Duration jump_accept_delay = std::chrono::hours(2);
  /// Clocks needed for a median, this node's own included.
  std::size_t min_clocks = 3;
  /// Clocks received longer ago are ignored.
  Duration clock_timeout = std::chrono::seconds(5);
};

/// One node's estimate of true time: its local clock without jumps, corrected by the
/// median of all nodes' clocks.
class TrueTime {
 public:
  TrueTime(const TrueTimeSettings& settings, MonotonicTime now, UnixMs time_of_day);

  /// Follows the time of day. Call about once a second.
  /// @return the jump since the last call in milliseconds; 0: none.
  UnixMs update(MonotonicTime now, UnixMs time_of_day);

  /// @return this node's clock without jumps and without the median correction. This is what other
  /// nodes receive: with the correction included, an error would feed back.
  UnixMs local_time(MonotonicTime now) const;

  /// @return this node's estimate of true time.
  UnixMs corrected_time(MonotonicTime now) const {
    return this->local_time(now) + this->correction_ms;
  }

  /// Another node has sent its local time.
  void on_peer_clock(MonotonicTime now, const NodeId& node, UnixMs clock);

  /// Corrects by the median of the recently received clocks and this node's own.
  /// @return the corrected time, or nothing when too few clocks are known.
  std::optional<UnixMs> apply_median(MonotonicTime now);

  /// A node that has applied a median has sent its corrected time.
  void on_true_time(MonotonicTime now, UnixMs time) {
    this->correction_ms = time - this->local_time(now);
  }

  /// @return the correction of this node's clock in milliseconds.
  UnixMs correction() const { return this->correction_ms; }

 private:
  struct PeerClock {
    UnixMs lead_ms = 0;  ///< Relative to this node's local time.
    MonotonicTime received_at{};
  };

  TrueTimeSettings settings;
  UnixMs offset_ms;  ///< From the monotonic clock to local time.
  std::optional<MonotonicTime> jump_at;
  UnixMs jump_ms = 0;
  UnixMs correction_ms = 0;
  std::map<NodeId, PeerClock> peer_clocks;
};

}  // namespace shuntbank::usage
