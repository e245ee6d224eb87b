/// @file
/// Encoding of an engine trouble's kind in messages between nodes. A trouble is the JSON array
/// `[engine, stage, misdirected]`, or `[engine, stage, false, true]` if the engine is draining.
/// Versions that do not know the fourth element back off from the engine.
#pragma once

#include <nlohmann/json.hpp>

#include "core/relay/engine_trouble.hpp"

namespace shuntbank {

/// Appends the kind to an entry `[engine, stage]`.
void append_kind(nlohmann::json& entry, relay::TroubleKind kind);

/// @return the kind in a complete entry. @throw nlohmann::json::exception if it has none.
relay::TroubleKind trouble_kind(const nlohmann::json& entry);

}  // namespace shuntbank
