#include "common/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
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
  constexpr double kWhole = 18446744073709551616.0;  // 2 to the 64th.
  return static_cast<double>(hash64(text, seed)) / kWhole;
}

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return to_hex(digest.data(), size);
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
