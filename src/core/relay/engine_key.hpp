/// @file
/// A compact key for an engine in messages between nodes.
#pragma once

#include <cstdint>

#include "common/hash.hpp"
#include "common/identifiers.hpp"

namespace shuntbank::relay {

/// The first 32 bits of a hash of an engine's id. Collisions are rare (with 640 engines in one of
/// about 20,000 fleets), and affect only the load figures of the two engines.
using EngineKey = std::uint32_t;

inline EngineKey engine_key(const EngineId& id) {
  return static_cast<EngineKey>(hash64(id.value()));
}

}  // namespace shuntbank::relay
