#include "common/utf8.hpp"

#include <algorithm>
#include <cstddef>

namespace shuntbank {
namespace {

bool is_continuation_byte(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

/// @return the sequence length that the first byte implies; 0 if it is not a valid lead byte.
std::size_t sequence_length(unsigned char first) {
  if (first < 0x80U) return 1;
  if (first >= 0xC2U && first <= 0xDFU) return 2;
  if (first >= 0xE0U && first <= 0xEFU) return 3;
  if (first >= 0xF0U && first <= 0xF4U) return 4;
  return 0;
}

/// @return whether the pair begins an overlong encoding, a surrogate or a code point above
/// U+10FFFF.
bool is_invalid_second_byte(unsigned char first, unsigned char second) {
  if (first == 0xE0U) return second < 0xA0U;
  if (first == 0xEDU) return second > 0x9FU;
  if (first == 0xF0U) return second < 0x90U;
  return first == 0xF4U && second > 0x8FU;
}

/// @return the length of the valid sequence at the start of `bytes`; 0 if there is none.
/// @pre `bytes` is not empty.
std::size_t valid_prefix_length(std::string_view bytes) {
  const auto first = static_cast<unsigned char>(bytes[0]);
  const std::size_t length = sequence_length(first);
  if (length <= 1) return length;
  if (bytes.size() < length) return 0;
  if (is_invalid_second_byte(first, static_cast<unsigned char>(bytes[1]))) return 0;
  const std::string_view rest = bytes.substr(1, length - 1);
  return std::all_of(rest.begin(), rest.end(), is_continuation_byte) ? length : 0;
}

}  // namespace

std::string replace_invalid_utf8(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  while (!bytes.empty()) {
    const std::size_t length = valid_prefix_length(bytes);
    if (length == 0) {
      text += '?';
      bytes.remove_prefix(1);
      continue;
    }
    text += bytes.substr(0, length);
    bytes.remove_prefix(length);
  }
  return text;
}

}  // namespace shuntbank
