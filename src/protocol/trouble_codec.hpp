/// @file
/// How messages between nodes tell the kind of a trouble: in the third place of an entry whether
/// the engine was another than expected, and in a fourth that it leaves. A node of a version that
/// does not know the fourth avoids the engine for a while.
#pragma once

#include <nlohmann/json.hpp>

#include "core/relay/engine_trouble.hpp"

namespace shuntbank {

/// Appends the kind to an entry of engine and stage.
void append_kind(nlohmann::json& entry, relay::TroubleKind kind);

/// @return the kind in an entry. Throws as nlohmann/json does when the entry has none.
relay::TroubleKind trouble_kind(const nlohmann::json& entry);

}  // namespace shuntbank
