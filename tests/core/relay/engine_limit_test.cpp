#include "core/relay/engine_limit.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "core/relay/engine_directory.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const EngineId kEngine("e");

HeardLimit heard(std::optional<double> a_second, Duration at) {
  return {a_second, kNow + at};
}

}  // namespace

Test(engine_limits, take_a_lower_figure_at_once_and_a_higher_one_when_it_is_surely_later) {
  EngineLimits limits;
  cr_assert(limits.hear(kEngine, heard(5, 0s)));
  cr_assert(limits.hear(kEngine, heard(2, -400ms)), "of two answers the lower one holds");
  cr_assert_not(limits.hear(kEngine, heard(5, 0ms)));
  cr_assert_eq(limits.limit(kEngine), 2);
  cr_assert(limits.hear(kEngine, heard(5, 100ms)));
  cr_assert_not(limits.hear(kEngine, heard(2, -500ms)), "that one is over");
}

Test(engine_limits, end_where_it_is_surely_later_and_with_the_start_of_the_engine) {
  EngineLimits limits;
  cr_assert_not(limits.hear(kEngine, heard({}, 0s)), "it never had one");
  limits.hear(kEngine, heard(1, 0s));
  cr_assert_not(limits.hear(kEngine, heard({}, 400ms)));
  cr_assert(limits.any());
  cr_assert(limits.hear(kEngine, heard({}, 600ms)));
  cr_assert_not(limits.any());
  cr_assert_not(limits.hear(kEngine, heard(1, 50ms)), "news from before");
  cr_assert(limits.hear(kEngine, heard(1, 700ms)));
  cr_assert_not(limits.limit(EngineId("e.2")).has_value());
}

Test(engine_limits, outlive_the_entry_of_the_engine) {
  EngineDirectory engines;
  EngineRecord record;
  record.id = kEngine;
  engines.upsert(record);
  engines.on_limit(kEngine, heard(2, 0s));
  engines.on_next_permit(kEngine, kNow + 300ms);
  engines.replace_all({});
  engines.upsert(record);
  cr_assert_eq(engines.find(kEngine)->permit_wait(kNow), Duration(300ms));
  engines.on_limit(kEngine, heard({}, 1s));
  cr_assert_eq(engines.find(kEngine)->permit_wait(kNow), Duration::zero());
}

Test(engine_limits, settle_on_the_last_word_in_whatever_order_words_come) {
  SHUNTBANK_PROPERTY("order of words", [] {
    std::vector<HeardLimit> words;
    Duration at{};
    const auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      at += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const auto figure = *rc::gen::inRange(-1, 6);
      words.push_back(heard(figure < 0 ? std::nullopt : std::optional<double>(figure), at));
    }
    const HeardLimit last = heard(*rc::gen::inRange(0, 6), at + kSurelyLater);
    words.push_back(last);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(words.begin(), words.end(), random);
    EngineLimits limits;
    for (const HeardLimit& word : words) limits.hear(kEngine, word);
    RC_ASSERT(limits.limit(kEngine) == last.a_second);
    RC_ASSERT(limits.any());
  });
}
