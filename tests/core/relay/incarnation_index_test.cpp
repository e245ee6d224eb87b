// Tests that the cost of a change does not grow with the number of engines that are present.
#include "core/relay/incarnation_index.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

std::string name(int i) {
  return "e" + std::to_string(i);
}

}  // namespace

Test(incarnation_index, present_engines_take_no_place_among_the_removals) {
  IncarnationIndex index;
  for (int i = 0; i < 20000; ++i) index.set(name(i), {EngineId(name(i)), 1});
  cr_assert_eq(index.removal_count(), 0);
  index.on_removed(name(0));
  index.on_removed(name(0));
  index.on_removed("unknown");
  cr_assert_eq(index.removal_count(), 1);
}

Test(incarnation_index, bounds_the_engines_that_it_remembers) {
  IncarnationIndex index;
  constexpr int kNames = 5000;
  for (int i = 0; i < kNames; ++i) {
    index.set(name(i), {EngineId(name(i)), 1});
    index.on_removed(name(i));
  }
  cr_assert_lt(index.removal_count(), kNames);
  cr_assert_null(index.find(name(0)));
  cr_assert_not_null(index.find(name(kNames - 1)));
}

Test(incarnation_index, keeps_an_engine_that_came_back) {
  IncarnationIndex index;
  index.set("back", {EngineId("back"), 1});
  index.on_removed("back");
  index.set("back", {EngineId("back"), 1});
  for (int i = 0; i < 5000; ++i) {
    index.set(name(i), {EngineId(name(i)), 1});
    index.on_removed(name(i));
  }
  cr_assert_not_null(index.find("back"));
}
