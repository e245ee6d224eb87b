/// @file
/// Work that nodes have under way at the engines, as they tell each other.
#pragma once

#include <cstdint>
#include <limits>
#include <map>

#include "core/relay/engine_key.hpp"

namespace shuntbank::relay {

/// Work that a node, or a group of nodes, has under way at an engine.
struct PeerLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t deferred_tokens = 0;  ///< Of `prefill_tokens`: read only when nothing else waits.

  PeerLoad& operator+=(const PeerLoad& more);
  PeerLoad& operator-=(const PeerLoad& less);  ///< Never below nothing.
  bool operator==(const PeerLoad&) const = default;
};

/// Work under way by engine; engines without any are left out.
using LoadByKey = std::map<EngineKey, PeerLoad>;

/// Work under way at the engines of a range of keys. What is not listed there has none, so that one
/// part of a sum makes sense when another part of it is lost.
struct LoadRange {
  EngineKey first = 0;
  EngineKey last = std::numeric_limits<EngineKey>::max();  ///< Included.
  LoadByKey load;

  bool covers(EngineKey key) const { return first <= key && key <= last; }
  bool operator==(const LoadRange&) const = default;
};

/// Adds the work of `more` to `sum`.
void add_load(LoadByKey& sum, const LoadByKey& more);

}  // namespace shuntbank::relay
