#include "config/selector.hpp"

#include "support/property.hpp"

using namespace shuntbank;

Test(selector, combines_all_requirements) {
  Selector selector;
  selector.match_labels = {{"kind", "guild"}};
  selector.match_expressions = {{"tier", SelectorOperator::kIn, {"a", "b"}},
                                {"old", SelectorOperator::kDoesNotExist, {}}};
  cr_assert(selector.matches({{"kind", "guild"}, {"tier", "a"}}));
  cr_assert(!selector.matches({{"kind", "guild"}, {"tier", "c"}}));
  cr_assert(!selector.matches({{"kind", "guild"}, {"tier", "a"}, {"old", ""}}));
  cr_assert(!selector.matches({{"tier", "a"}}));
}

Test(selector, empty_matches_everything) {
  cr_assert(Selector().matches({{"any", "thing"}}));
}

Test(selector, in_and_not_in_are_opposites) {
  SHUNTBANK_PROPERTY("In xor NotIn", [](const Labels& labels, const std::string& key,
                                        const std::vector<std::string>& values) {
    const Selector in{{}, {{key, SelectorOperator::kIn, values}}};
    const Selector not_in{{}, {{key, SelectorOperator::kNotIn, values}}};
    RC_ASSERT(in.matches(labels) != not_in.matches(labels));
  });
}
