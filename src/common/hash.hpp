/// @file
/// Hash functions (xxHash for placement, SHA-256 for tenant keys and request identity) and random
/// identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace shuntbank {

/// @return the 64-bit xxHash of `text` under `seed`. Stable across processes; not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @return `hash64` as a fraction, from 0 to less than 1.
double hash_fraction(std::string_view text, std::uint64_t seed);

/// @return the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// The first 128 bits of a SHA-256.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Digest128&) const = default;
};

/// @return the digest of several texts. The length of each is hashed too, so that {"ab", "c"} and
/// {"a", "bc"} differ.
Digest128 sha256_128(std::initializer_list<std::string_view> texts);

/// @return the digest as 32 lower-case hexadecimal digits.
std::string to_text(const Digest128& digest);

/// @return the digest that `text`, written by `to_text`, denotes; nothing when malformed.
std::optional<Digest128> parse_digest(std::string_view text);

/// Compares in time that depends on the lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// @return `bytes` bytes of the cryptographic random generator, as hexadecimal digits.
std::string random_hex(std::size_t bytes);

}  // namespace shuntbank
