/// @file
/// What one completed remote prefill or stream tells of its engine's speed.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.hpp"
#include "core/relay/engine_samples.hpp"

namespace shuntbank::relay {

/// A completed remote prefill. Expected times are those of a usual engine of the service.
struct PrefillObservation {
  double own_ms = 0;    ///< Expected time of the prefill itself.
  double ahead_ms = 0;  ///< Expected time of the work that was known to be ahead at the send.
  Duration took = Duration::zero();
  std::uint32_t waiting = 0;           ///< Requests that the engine then reported as waiting.
  std::uint32_t slowdown_percent = 0;  ///< As reported with the answer; 0: none.
};

/// @return the sample, or nothing if the time cannot be attributed to the engine's speed.
std::optional<EngineSamples> prefill_sample(const PrefillObservation& prefill);

/// A stream that one engine has completed.
struct StreamObservation {
  Duration mean_gap = Duration::zero();
  Duration longest_gap = Duration::zero();
  Duration gap_target = Duration::zero();  ///< Of the route; zero: unset.
};

EngineSamples stream_sample(const StreamObservation& stream);

}  // namespace shuntbank::relay
