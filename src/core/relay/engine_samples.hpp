/// @file
/// Observations of how quick an engine is, exchanged between nodes: one node meets an engine too
/// rarely to learn its speed alone.
#pragma once

#include <cstdint>
#include <map>

#include "common/identifiers.hpp"
#include "core/relay/engine_key.hpp"

namespace shuntbank::relay {

/// Sums over the observations since the last report. Reports of several nodes add up.
struct EngineSamples {
  std::uint32_t prefills = 0;          ///< Remote prefills observed.
  std::uint32_t prefill_percent = 0;   ///< Sum of actual over expected time, in percent.
  std::uint32_t streams = 0;           ///< Ended streams observed.
  std::uint32_t interval_ms = 0;       ///< Sum of their mean times between events.
  std::uint32_t longest_gap_ms = 0;    ///< Sum of their longest gaps.
  std::uint32_t late_streams = 0;      ///< Streams with a gap beyond their route's gap target.
  std::uint32_t slowdown_percent = 0;  ///< The newest one that the engine reported; 0: none.

  bool empty() const { return *this == EngineSamples{}; }
  EngineSamples& operator+=(const EngineSamples& more);
  bool operator==(const EngineSamples&) const = default;
};

using SamplesById = std::map<EngineId, EngineSamples>;
using SamplesByKey = std::map<EngineKey, EngineSamples>;

}  // namespace shuntbank::relay
