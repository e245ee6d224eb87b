/// @file
/// Parses and formats numbers with unit suffixes, as used in settings and declared objects.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// Parses a duration such as `250ms`, `5s`, `2m` or `1h`. The suffix is required.
/// @return the duration, or an error message that says what is accepted.
tl::expected<Duration, std::string> parse_duration(std::string_view text);

/// Parses a size such as `512`, `64KiB` or `8MiB`, in bytes.
/// @return the size in bytes, or an error message that says what is accepted.
tl::expected<std::uint64_t, std::string> parse_byte_size(std::string_view text);

/// @return `duration` with the largest suffix that represents it exactly.
std::string format_duration(Duration duration);

}  // namespace shuntbank
