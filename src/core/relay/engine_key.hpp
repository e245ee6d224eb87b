/// @file
/// A short name for an engine in the messages between nodes.
#pragma once

#include <cstdint>

#include "common/hash.hpp"
#include "common/identifiers.hpp"

namespace shuntbank::relay {

/// The first 32 bits of a hash of an engine's id. Two of 640 engines share one in about 20,000
/// fleets; then one shows the other's load, which costs placement a little and breaks nothing.
using EngineKey = std::uint32_t;

inline EngineKey engine_key(const EngineId& id) {
  return static_cast<EngineKey>(hash64(id.value()));
}

}  // namespace shuntbank::relay
