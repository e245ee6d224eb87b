#include "common/utf8.hpp"

#include <criterion/criterion.h>

using shuntbank::replace_invalid_utf8;

Test(utf8, keeps_valid_text_and_replaces_invalid_bytes) {
  cr_assert_eq(replace_invalid_utf8("plain \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8E\xB2"),
               "plain \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8E\xB2");
  cr_assert_eq(replace_invalid_utf8("a\xFF\xFE"), "a??");
  cr_assert_eq(replace_invalid_utf8("\xC3"), "?", "truncated sequence");
  cr_assert_eq(replace_invalid_utf8("\xC0\xAF"), "??", "overlong encoding");
  cr_assert_eq(replace_invalid_utf8("\xED\xA0\x80"), "???", "surrogate");
  cr_assert_eq(replace_invalid_utf8("\x80z"), "?z");
}
