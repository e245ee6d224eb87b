// Checks that miss engines which were listed before them, or that load the store.

#include "relay/engine_list_check.hpp"

#include <criterion/criterion.h>

#include <set>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

/// A check of a list that was read when there was one engine.
struct CheckedList {
  CheckedList() {
    this->store.put("engines", "e1", {});
    this->revision = this->store.revision();
  }

  /// @return whether the store confirms the list.
  bool confirm() {
    bool result = false;
    this->check.run([&result](bool confirmed) { result = confirmed; });
    this->runtime.advance(1s);
    return result;
  }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  std::uint64_t revision = 0;
  int skipped = 0;
  std::vector<std::string> engines;  ///< That were reported.
  relay::EngineListCheck check{
      runtime, store, "engines", relay::EngineListCheckSettings{},
      relay::EngineListCheckHandlers{
          [this] { return this->revision; }, [] { return std::size_t{4}; },
          [this] { ++this->skipped; },
          [this](const store::StoredObject& engine) { this->engines.push_back(engine.name); }}};
};

}  // namespace

// Guards against engines that are not reported as they are gone again.
Test(engine_list_check, reports_engines_that_were_listed_since) {
  CheckedList list;
  list.store.put("engines", "e2", {});
  list.store.put("engines", "e3", {});
  list.store.remove("engines", "e2");
  cr_assert(list.confirm());
  const std::set<std::string> seen(list.engines.begin(), list.engines.end());
  cr_assert_eq(seen, (std::set<std::string>{"e2", "e3"}));
  list.engines.clear();
  cr_assert(list.confirm());
  cr_assert(list.engines.empty(), "they are reported once");
  cr_assert_eq(list.store.lists, 0);
}

// Guards against checks that fail, or pass for complete, where the store has lost its history.
Test(engine_list_check, lists_the_engines_where_there_is_no_history) {
  CheckedList list;
  list.store.put("engines", "e2", {});
  list.store.forget_history();
  cr_assert(list.confirm());
  cr_assert_eq(list.engines, (std::vector<std::string>{"e1", "e2"}));
  cr_assert_eq(list.skipped, 1);
  cr_assert_eq(list.store.lists, 1);
  cr_assert(list.confirm());
  cr_assert_eq(list.store.lists, 1, "the next check goes on from there");
}

// Guards against lists that count as confirmed though nothing did.
Test(engine_list_check, fails_without_an_answer) {
  CheckedList list;
  list.store.down = true;
  cr_assert(!list.confirm());
  list.store.down = false;
  cr_assert(list.confirm());
  CheckedList unread;
  unread.revision = 0;
  cr_assert(!unread.confirm(), "there is no list yet");
}

// Guards against a call for each lookup, and against answers that are older than the lookup.
Test(engine_list_check, shares_calls_that_begin_later) {
  CheckedList list;
  int confirmed = 0;
  const auto count = [&confirmed](bool done) { confirmed += done ? 1 : 0; };
  for (int i = 0; i < 5; ++i) list.check.run(count);
  list.runtime.advance(Duration::zero());
  cr_assert_eq(list.store.watches, 1);
  for (int i = 0; i < 5; ++i) list.check.run(count);
  list.runtime.advance(5ms);
  cr_assert_eq(confirmed, 5, "the answer under way is too old for the others");
  list.runtime.advance(1s);
  cr_assert_eq(confirmed, 10);
  cr_assert_eq(list.store.watches, 2);
}
