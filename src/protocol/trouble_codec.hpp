/// @file
/// Encoding of the kind of an engine trouble in messages between nodes: the third element of an
/// entry says whether the request was misdirected, an optional fourth that the engine is
/// draining. Versions that do not know the fourth back off from the engine.
#pragma once

#include <nlohmann/json.hpp>

#include "core/relay/engine_trouble.hpp"

namespace shuntbank {

/// Appends the kind to an entry of engine and stage.
void append_kind(nlohmann::json& entry, relay::TroubleKind kind);

/// @return the kind in an entry. @throw nlohmann::json::exception if it has none.
relay::TroubleKind trouble_kind(const nlohmann::json& entry);

}  // namespace shuntbank
