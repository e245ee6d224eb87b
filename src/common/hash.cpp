#include "common/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <vector>

namespace shuntbank {
namespace {

std::string to_hex(const unsigned char* bytes, std::size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (std::size_t i = 0; i < count; ++i) {
    text += kDigits[bytes[i] >> 4U];
    text += kDigits[bytes[i] & 0x0fU];
  }
  return text;
}

}  // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double hash_fraction(std::string_view text, std::uint64_t seed) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(hash64(text, seed)) / kRange;
}

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return to_hex(digest.data(), size);
}

Digest128 sha256_128(std::initializer_list<std::string_view> texts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                        &EVP_MD_CTX_free);
  bool ok = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  for (const std::string_view text : texts) {
    const auto size = static_cast<std::uint64_t>(text.size());
    ok = ok && EVP_DigestUpdate(context.get(), &size, sizeof(size)) == 1;
    ok = ok && EVP_DigestUpdate(context.get(), text.data(), text.size()) == 1;
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  ok = ok && EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr) == 1;
  if (!ok) throw std::runtime_error("SHA-256 is not available");
  Digest128 digest;
  std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
  std::memcpy(&digest.low, bytes.data() + sizeof(digest.high), sizeof(digest.low));
  return digest;
}

std::string to_text(const Digest128& digest) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(digest.high),
                static_cast<unsigned long long>(digest.low));
  return text.data();
}

std::optional<Digest128> parse_digest(std::string_view text) {
  constexpr std::size_t kHalfDigits = 16;
  constexpr int kBase = 16;
  if (text.size() != 2 * kHalfDigits) return std::nullopt;
  const auto parse_half = [text](std::size_t from, std::uint64_t& value) {
    const char* first = text.data() + from;
    const auto parsed = std::from_chars(first, first + kHalfDigits, value, kBase);
    return parsed.ec == std::errc() && parsed.ptr == first + kHalfDigits;
  };
  Digest128 digest;
  if (!parse_half(0, digest.high) || !parse_half(kHalfDigits, digest.low)) return std::nullopt;
  return digest;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("the system's random generator is not available");
  }
  return to_hex(buffer.data(), bytes);
}

}  // namespace shuntbank
