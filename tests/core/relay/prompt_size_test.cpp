#include "core/relay/prompt_size.hpp"

#include <criterion/criterion.h>

using namespace shuntbank::relay;

// Guards against a label with an unbounded number of values.
Test(prompt_size, has_few_classes_by_their_largest_size) {
  cr_assert_str_eq(prompt_size_class(0), "2000");
  cr_assert_str_eq(prompt_size_class(2000), "2000");
  cr_assert_str_eq(prompt_size_class(2001), "8000");
  cr_assert_str_eq(prompt_size_class(40000), "40000");
  cr_assert_str_eq(prompt_size_class(40001), "more");
  cr_assert_str_eq(prompt_size_class(UINT64_MAX), "more");
}
