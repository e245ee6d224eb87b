/// @file
/// Parsing of JSON and MessagePack documents that other programs have written.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace shuntbank {

/// Deepest nesting of arrays and objects that is accepted. `nlohmann::json` copies, compares and
/// writes values recursively, so that deeper ones would overflow the stack.
inline constexpr std::size_t kMaxJsonDepth = 600;

/// Parses JSON text. @return an error for invalid UTF-8, numbers out of range and deep nesting too.
/// Errors never quote the text.
tl::expected<nlohmann::json, std::string> parse_json(std::string_view text);

/// As `parse_json`, for MessagePack.
tl::expected<nlohmann::json, std::string> parse_msgpack(std::string_view bytes);

/// Texts of an object's members by name.
using JsonMembers = std::map<std::string, std::string_view, std::less<>>;

/// Splits the text of an object without parsing the values, of which any may be invalid. Members
/// without a valid name are omitted; of members with the same name, the last one counts.
/// @return nothing if the text is not an object with balanced brackets.
std::optional<JsonMembers> split_json_object(std::string_view text);

/// As `split_json_object`, for the elements of an array.
std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);

/// @return the text of a member; empty if there is none, which is no valid JSON.
std::string_view find_member(const JsonMembers& members, std::string_view name);

}  // namespace shuntbank
