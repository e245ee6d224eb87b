/// @file
/// Datagrams between nodes that are told apart by their first byte: a mark that MessagePack never
/// uses for a document of the other messages, which are maps or arrays, and then a document.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace shuntbank {

inline bool has_mark(std::string_view bytes, char mark) {
  return !bytes.empty() && bytes.front() == mark;
}

inline std::string encode_marked(char mark, const nlohmann::json& document) {
  std::string bytes(1, mark);
  nlohmann::json::to_msgpack(document, bytes);
  return bytes;
}

/// @return the document behind the mark. Throws as nlohmann/json does when there is none.
inline nlohmann::json decode_marked(std::string_view bytes) {
  bytes.remove_prefix(1);
  return nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
}

}  // namespace shuntbank
