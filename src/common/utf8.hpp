/// @file
/// Text that comes from elsewhere and may hold bytes that are none.
#pragma once

#include <string>
#include <string_view>

namespace shuntbank {

/// @return the text with each byte that belongs to no UTF-8 character (RFC 3629) replaced by `?`.
std::string replace_invalid_utf8(std::string_view bytes);

}  // namespace shuntbank
