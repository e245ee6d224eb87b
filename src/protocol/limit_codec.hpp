/// @file
/// Encoding of engine limits in messages between nodes: requests per second, or null for none, and
/// how many milliseconds ago the engine reported it.
#pragma once

#include <nlohmann/json.hpp>

#include "core/relay/engine_limit.hpp"

namespace shuntbank {

/// Appends a limit to an entry, as two values.
void append_limit(nlohmann::json& entry, const relay::LimitReport& limit);

/// @return the limit whose values begin at `index` of an entry.
/// @throw nlohmann::json::exception if there is none.
relay::LimitReport limit_at(const nlohmann::json& entry, std::size_t index);

}  // namespace shuntbank
