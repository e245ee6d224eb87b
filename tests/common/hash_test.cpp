#include "common/hash.hpp"

#include "support/property.hpp"

using namespace shuntbank;

Test(hash, sha256_matches_known_digest) {
  cr_assert_eq(sha256_hex("abc"),
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(hash, constant_time_comparison_matches_equality) {
  SHUNTBANK_PROPERTY("same verdict as ==", [](const std::string& a, const std::string& b) {
    RC_ASSERT(equal_in_constant_time(a, b) == (a == b));
    RC_ASSERT(equal_in_constant_time(a, a));
  });
}

Test(hash, digest_depends_on_text_boundaries) {
  cr_assert(sha256_128({"ab", "c"}) != sha256_128({"a", "bc"}));
  cr_assert(sha256_128({"ab", "c"}) == sha256_128({"ab", "c"}));
  cr_assert(sha256_128({}) != sha256_128({""}));
}

Test(hash, digest_round_trips_through_text) {
  SHUNTBANK_PROPERTY("text and back", [](std::uint64_t high, std::uint64_t low) {
    const Digest128 digest{high, low};
    RC_ASSERT(to_text(digest).size() == 32U);
    RC_ASSERT(parse_digest(to_text(digest)) == digest);
  });
  cr_assert_not(parse_digest("xyz"));
  cr_assert_not(parse_digest(std::string(31, '0') + "g"));
}
