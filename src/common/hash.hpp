/// @file
/// Hashing by library: xxHash for placement, SHA-256 for tenant keys, random identifiers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shuntbank {

/// @return the 64-bit xxHash of `text` under `seed`. Stable across processes; not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @return `hash64` as a fraction, from 0 to less than 1.
double hash_fraction(std::string_view text, std::uint64_t seed);

/// @return the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// Compares in time that depends on the lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// @return `bytes` random bytes of the system's generator, as hexadecimal digits.
std::string random_hex(std::size_t bytes);

}  // namespace shuntbank
