#include "net/http_syntax.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace shuntbank {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kVersionSize = kVersionPrefix.size() + 1;
constexpr std::size_t kStatusDigits = 3;

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

bool is_letter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

/// RFC 9110, 5.6.2.
bool is_token_character(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return is_letter(c) || is_digit(c) || kSymbols.find(c) != std::string_view::npos;
}

/// @return whether this is printable, a blank or a tab, or outside of ASCII.
bool is_text(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool is_version(std::string_view text) {
  return text.size() == kVersionSize && text.rfind(kVersionPrefix, 0) == 0 && is_digit(text.back());
}

bool is_status(std::string_view text) {
  return text.size() == kStatusDigits && text[0] >= '1' && text[0] <= '5' && is_digit(text[1]) &&
         is_digit(text[2]);
}

/// @return whether the length of the body is absent or a number on which all fields agree.
bool has_usable_length(const HttpHeaders& headers) {
  std::optional<std::int64_t> length;
  for (const HttpHeader& field : headers.fields()) {
    if (!equal_ignoring_case(field.name, "Content-Length")) continue;
    std::int64_t value = -1;
    const char* end = field.value.data() + field.value.size();
    const auto parsed = std::from_chars(field.value.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) return false;
    if (length.value_or(value) != value) return false;
    length = value;
  }
  return true;
}

}  // namespace

bool is_status_line(std::string_view line) {
  constexpr std::size_t kStatusBegin = kVersionSize + 1;
  constexpr std::size_t kReasonBegin = kStatusBegin + kStatusDigits;
  if (line.size() < kReasonBegin || !is_version(line.substr(0, kVersionSize))) return false;
  if (line[kVersionSize] != ' ' || !is_status(line.substr(kStatusBegin, kStatusDigits)))
    return false;
  // The blank before an empty reason is often left out.
  const std::string_view rest = line.substr(kReasonBegin);
  return rest.empty() || (rest.front() == ' ' && is_field_value(rest));
}

bool is_request_line(std::string_view line) {
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || target_end <= method_end + 1) return false;
  const std::string_view target = line.substr(method_end + 1, target_end - method_end - 1);
  const bool target_sound = std::all_of(target.begin(), target.end(),
                                        [](char c) { return is_text(c) && c != ' ' && c != '\t'; });
  return is_field_name(line.substr(0, method_end)) && target_sound &&
         is_version(line.substr(target_end + 1));
}

bool is_field_name(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

bool is_field_value(std::string_view value) {
  return std::all_of(value.begin(), value.end(), is_text);
}

bool is_field_line(std::string_view line) {
  const std::size_t colon = line.find(':');
  return colon != std::string_view::npos && is_field_name(line.substr(0, colon)) &&
         is_field_value(line.substr(colon + 1));
}

bool has_known_framing(const HttpHeaders& headers) {
  const std::size_t codings = headers.count("Transfer-Encoding");
  if (codings == 0) return has_usable_length(headers);
  return codings == 1 && equal_ignoring_case(headers.get("Transfer-Encoding"), "chunked") &&
         headers.count("Content-Length") == 0;
}

}  // namespace shuntbank
