#include "common/hash.hpp"

#include "support/property.hpp"

using namespace shuntbank;

Test(hash, agrees_with_the_published_digest) {
  cr_assert_eq(sha256_hex("abc"),
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(hash, compares_like_equality) {
  SHUNTBANK_PROPERTY("same verdict as ==", [](const std::string& a, const std::string& b) {
    RC_ASSERT(equal_in_constant_time(a, b) == (a == b));
    RC_ASSERT(equal_in_constant_time(a, a));
  });
}
