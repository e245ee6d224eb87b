#include "core/relay/prompt_cache_view.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kCapacity = 10000;

PromptShape shape(std::uint64_t id) {
  return {{{id, 3000}}, 3000, 1};
}

}  // namespace

// Without the unshared tokens of other nodes' requests, a part counted as cached for as long again
// as the engine kept it.
Test(prompt_cache_view, unshared_tokens_evict_parts_that_are_used_less_recently) {
  PromptCacheView cache;
  cache.on_prompt_read(shape(1).parts, kCapacity, kNow);
  for (int i = 1; i <= 4; ++i) cache.on_prompt_read({}, kCapacity, kNow + i * 1s, 2000);
  cr_assert_eq(cache.cached_tokens(shape(1)), 0);
}

Test(prompt_cache_view, a_part_in_use_outlives_unshared_tokens) {
  PromptCacheView cache;
  for (int i = 0; i < 50; ++i) {
    cache.on_prompt_read(shape(1).parts, kCapacity, kNow + i * 1s, 2500);
    cr_assert_eq(cache.cached_tokens(shape(1)), 3000);
  }
}

Test(prompt_cache_view, keeps_no_unshared_tokens_without_a_capacity) {
  PromptCacheView cache;
  cache.on_prompt_read(shape(1).parts, 0, kNow, 1000000);
  cr_assert_eq(cache.cached_tokens(shape(1)), 3000);
}
