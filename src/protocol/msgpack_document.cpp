#include "protocol/msgpack_document.hpp"

#include <utility>

#include "common/json_parsing.hpp"

namespace shuntbank {

nlohmann::json msgpack_document(std::string_view bytes) {
  constexpr int kMalformedMessage = 599;  // The library uses numbers up to 505.
  auto document = parse_msgpack(bytes);
  if (document) return std::move(*document);
  throw nlohmann::json::other_error::create(kMalformedMessage, document.error(), nullptr);
}

}  // namespace shuntbank
