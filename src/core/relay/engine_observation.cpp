#include "core/relay/engine_observation.hpp"

#include <algorithm>
#include <cmath>

#include "core/relay/engine_profile.hpp"

namespace shuntbank::relay {
namespace {

/// Shorter prefills depend more on the network than on the engine.
constexpr double kMinOwnMs = 10;

/// With more known work ahead, as a share of the prefill's own, an old or incomplete view of that
/// work would outweigh the engine's speed.
constexpr double kMaxAheadShare = 0.5;

constexpr double kPercent = 100;

/// Bound on a time in samples, in milliseconds.
constexpr double kMaxSampleMs = 60'000;

std::uint32_t sample_ms(Duration time) {
  return static_cast<std::uint32_t>(std::lround(std::clamp(to_ms(time), 0.0, kMaxSampleMs)));
}

}  // namespace

/// Work ahead is part of the expected time, as it takes longer at a slow engine by the same factor.
/// Work that no node knew of when the request was sent raises the sample. This concerns all engines
/// of the service, and profiles compare with the mean of the service.
std::optional<EngineSamples> prefill_sample(const PrefillObservation& prefill) {
  const bool attributable = prefill.own_ms >= kMinOwnMs && prefill.waiting == 0 &&
                            prefill.ahead_ms <= prefill.own_ms * kMaxAheadShare;
  const double took_ms = to_ms(prefill.took);
  if (!attributable || took_ms <= 0) return std::nullopt;
  const double slowdown = prefill.slowdown_percent > 0 ? prefill.slowdown_percent / kPercent : 1;
  const double factor = took_ms / slowdown / (prefill.own_ms + prefill.ahead_ms);
  EngineSamples sample;
  sample.prefills = 1;
  sample.prefill_percent = static_cast<std::uint32_t>(
      std::lround(kPercent * std::clamp(factor, kMinSpeedFactor, kMaxSpeedFactor)));
  sample.slowdown_percent = prefill.slowdown_percent;
  return sample;
}

/// Not corrected by a slowdown, which is reported at the start and lasts for a part of the stream.
EngineSamples stream_sample(const StreamObservation& stream) {
  EngineSamples sample;
  sample.streams = 1;
  sample.interval_ms = sample_ms(stream.mean_gap);
  sample.longest_gap_ms = sample_ms(stream.longest_gap);
  const bool late = stream.gap_target > Duration::zero() && stream.longest_gap > stream.gap_target;
  sample.late_streams = late ? 1 : 0;
  return sample;
}

}  // namespace shuntbank::relay
