/// @file
/// Load at the engines as reported between nodes.
#pragma once

#include <cstdint>
#include <limits>
#include <map>

#include "core/relay/engine_key.hpp"

namespace shuntbank::relay {

/// Load that a node, or a group of nodes, has at an engine.
struct PeerLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t deferred_tokens = 0;  ///< Of `prefill_tokens`: only when nothing else waits.

  PeerLoad& operator+=(const PeerLoad& more);
  PeerLoad& operator-=(const PeerLoad& less);  ///< Saturates at zero.
  bool operator==(const PeerLoad&) const = default;
};

/// Load by engine; engines without load are omitted.
using LoadByKey = std::map<EngineKey, PeerLoad>;

/// Load at the engines of a key range. Engines of the range that are not listed have none, so that
/// each part of a sum is usable without the others.
struct LoadRange {
  EngineKey first = 0;
  EngineKey last = std::numeric_limits<EngineKey>::max();  ///< Inclusive.
  LoadByKey load;

  bool covers(EngineKey key) const { return first <= key && key <= last; }
  bool operator==(const LoadRange&) const = default;
};

/// Adds `more` to `sum`.
void add_load(LoadByKey& sum, const LoadByKey& more);

}  // namespace shuntbank::relay
