/// @file
/// Datagrams between nodes that consist of a mark byte, which identifies the type, and a document
/// in MessagePack. Other messages are maps or arrays, which never begin with a mark.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "protocol/msgpack_document.hpp"

namespace shuntbank {

inline bool has_mark(std::string_view bytes, char mark) {
  return !bytes.empty() && bytes.front() == mark;
}

inline std::string encode_marked(char mark, const nlohmann::json& document) {
  std::string bytes(1, mark);
  nlohmann::json::to_msgpack(document, bytes);
  return bytes;
}

/// @return the document after the mark. @throw nlohmann::json::exception if it is malformed.
inline nlohmann::json decode_marked(std::string_view bytes) {
  bytes.remove_prefix(1);
  return msgpack_document(bytes);
}

}  // namespace shuntbank
