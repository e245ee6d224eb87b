/// @file
/// Sanitizes text from external sources that may contain invalid UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace shuntbank {

/// @return `bytes` with each byte that is not part of a valid UTF-8 sequence (RFC 3629) replaced by
/// `?`.
std::string replace_invalid_utf8(std::string_view bytes);

}  // namespace shuntbank
