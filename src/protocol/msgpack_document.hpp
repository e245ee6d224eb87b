/// @file
/// Reading of the MessagePack documents in messages between nodes.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace shuntbank {

/// @return the document. @throw nlohmann::json::exception if it is malformed or nested too deeply.
nlohmann::json msgpack_document(std::string_view bytes);

}  // namespace shuntbank
