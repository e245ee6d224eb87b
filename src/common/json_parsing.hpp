/// @file
/// Parsing of JSON and MessagePack documents that other programs have written.
#pragma once

#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <utility>
#include <vector>

namespace shuntbank {

/// Deepest nesting of arrays and objects that is accepted. `nlohmann::json` copies, compares and
/// writes values recursively, so that deeper ones would overflow the stack.
inline constexpr std::size_t kMaxJsonDepth = 600;

/// Parses JSON text. @return an error for invalid UTF-8, numbers out of range and deep nesting too.
/// Errors never quote the text.
tl::expected<nlohmann::json, std::string> parse_json(std::string_view text);

/// As `parse_json`, for MessagePack, whose texts may be invalid UTF-8.
tl::expected<nlohmann::json, std::string> parse_msgpack(std::string_view bytes);

/// Throws the library's exception for numbers out of range.
[[noreturn]] void throw_out_of_range(const char* what);

/// @return the value of a number, without its fraction.
/// @throw nlohmann::json::exception if it is no number, or out of the range of `Integer`.
template <std::integral Integer>
Integer to_integer(const nlohmann::json& value) {
  constexpr const char* kError = "the number is out of range";
  if (value.is_number_float()) {
    // Both limits are exact as powers of two; the upper one is the first that does not fit.
    const double limit = std::ldexp(1.0, std::numeric_limits<Integer>::digits);
    const double least = std::is_signed_v<Integer> ? -limit : 0;
    const double whole = std::trunc(value.get<double>());
    if (!(whole >= least && whole < limit)) throw_out_of_range(kError);
    return static_cast<Integer>(whole);
  }
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (!std::in_range<Integer>(number)) throw_out_of_range(kError);
    return static_cast<Integer>(number);
  }
  // Throws for any other type.
  const std::int64_t number = value.get_ref<const nlohmann::json::number_integer_t&>();
  if (!std::in_range<Integer>(number)) throw_out_of_range(kError);
  return static_cast<Integer>(number);
}

/// As `to_integer`, for a member that may be absent.
template <std::integral Integer>
Integer integer_or(const nlohmann::json& object, const char* name, Integer default_value) {
  const auto found = object.find(name);
  return found == object.end() ? default_value : to_integer<Integer>(*found);
}

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
