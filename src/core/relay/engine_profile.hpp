/// @file
/// How quick one engine is, compared with all engines of its service. Learned from the samples of
/// all nodes.
#pragma once

#include "common/time.hpp"
#include "core/relay/engine_samples.hpp"

namespace shuntbank::relay {

/// A reported slowdown counts for this long: services change it about every 600 ms, so that half of
/// it is left on average when a node hears of it.
constexpr Duration kSlowdownValidity = std::chrono::milliseconds(300);

/// Bounds on all factors. Engines of one service differ by less; a factor beyond them comes from a
/// faulty message.
constexpr double kMinSpeedFactor = 0.2;
constexpr double kMaxSpeedFactor = 5;

/// Speed and gaps of one engine incarnation, or of all engines of a service together. Earlier
/// samples lose weight over time; with few samples the service's values count.
class EngineProfile {
 public:
  /// Adds samples. Absurd values are bounded, as a message may be forged.
  void observe(MonotonicTime now, const EngineSamples& samples);

  /// Updates the estimates. Call after `observe`, and at times, as samples lose weight.
  /// @param service all engines of the service, including this one.
  void compare_with(MonotonicTime now, const EngineProfile& service);

  /// The engine reported how long work takes there at this moment, in percent of the usual.
  void on_slowdown(MonotonicTime now, std::uint32_t percent);

  /// @return prefill time relative to the service's, 1 if it differs by less than a tenth.
  double prefill_factor() const { return this->prefill; }

  /// @return time between stream events relative to the service's, likewise.
  double pace_factor() const { return this->pace; }

  /// @return how much longer than usual work takes at present; 1 if that is unknown.
  double slowdown(MonotonicTime now) const {
    return now < this->slowdown_until ? this->present_slowdown : 1;
  }

  /// @return the mean of the streams' longest gaps, in milliseconds; 0: unknown.
  double longest_gap_ms() const { return this->mean_longest_gap_ms; }

  /// @return the share of streams with a gap beyond their route's gap target, 0 to 1.
  double late_share() const { return this->late_stream_share; }

  /// @return whether streams are expected to exceed this gap, and more so than elsewhere in the
  /// service; false if it is zero.
  bool exceeds_gap(Duration target) const;

  /// @return whether there are samples.
  bool known() const { return this->sums.prefills > 0 || this->sums.streams > 0; }

  /// @return the accumulated samples, for a node that starts.
  EngineSamples samples(MonotonicTime now) const;

 private:
  /// Weighted sums over samples.
  struct Sums {
    double prefills = 0;
    double prefill_ratio = 0;
    double streams = 0;
    double interval_ms = 0;
    double longest_gap_ms = 0;
    double late_streams = 0;
  };
  Sums sums_at(MonotonicTime now) const;

  // Read by each placement for each engine, and so kept together.
  float prefill = 1;
  float pace = 1;
  float present_slowdown = 1;
  float mean_longest_gap_ms = 0;
  float late_stream_share = 0;
  bool often_late = false;   ///< Than the service, and beyond chance.
  bool longer_gaps = false;  ///< Than the service.
  MonotonicTime slowdown_until{};

  Sums sums;
  MonotonicTime sums_as_of{};
};

}  // namespace shuntbank::relay
