/// @file
/// How messages between nodes tell an engine's limit: a figure, or null where it has none, and how
/// many milliseconds ago a node heard it of the engine.
#pragma once

#include <nlohmann/json.hpp>

#include "core/relay/engine_limit.hpp"

namespace shuntbank {

/// Appends a limit to an entry, as two values.
void append_limit(nlohmann::json& entry, const relay::ToldLimit& limit);

/// @return the limit whose values begin at a place of an entry. Throws as nlohmann/json does when
/// there is none.
relay::ToldLimit limit_at(const nlohmann::json& entry, std::size_t index);

}  // namespace shuntbank
