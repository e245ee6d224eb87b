// Guards against a checker that misses late requests or reports allowed ones.
#include "support/drain_checker.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const NodeAndIncarnation kPair{"n1", "e"};

bool late(DrainChecker& checker, MonotonicTime now, MonotonicTime sent_at) {
  return !checker.on_request(now, kPair, sent_at).empty();
}

}  // namespace

Test(drain_checker, finds_requests_that_reach_an_engine_after_the_grace) {
  DrainChecker checker(2s);
  cr_assert_not(late(checker, kNow, kNow));
  checker.on_draining(kNow, "e");
  cr_assert_not(late(checker, kNow + 2s, kNow + 2s));
  cr_assert_not(late(checker, kNow + 9s, kNow - 1s), "sent before");
  cr_assert(late(checker, kNow + 2001ms, kNow + 2s));
  cr_assert(checker.on_request(kNow + 9s, {"n1", "other"}, kNow + 9s).empty());
  cr_assert_eq(checker.judged_requests(), 2);
}

Test(drain_checker, judges_only_nodes_in_touch) {
  DrainChecker checker(2s);
  checker.on_draining(kNow, "e");
  checker.on_store_link_fault(kNow + 1s, "n1", true);
  cr_assert_not(late(checker, kNow + 10s, kNow + 10s), "the store does not answer");
  checker.on_store_link_fault(kNow + 11s, "n1", false);
  cr_assert_not(late(checker, kNow + 13s, kNow + 13s));
  cr_assert(late(checker, kNow + 14s, kNow + 14s));
  checker.on_node_disturbed(kNow + 15s, "n1");
  cr_assert_not(late(checker, kNow + 17s, kNow + 17s));
  checker.on_link_disturbed(kNow + 18s, "e");
  cr_assert_not(late(checker, kNow + 20s, kNow + 20s));
  cr_assert(late(checker, kNow + 21s, kNow + 21s));
}

Test(drain_checker, ignores_acknowledgements_of_a_faulty_store) {
  DrainChecker checker(2s);
  checker.on_store_fault(kNow, true);
  checker.on_draining(kNow + 1s, "e");
  checker.on_store_fault(kNow + 2s, false);
  cr_assert_not(late(checker, kNow + 20s, kNow + 20s));
  checker.on_draining(kNow + 20s, "e");
  cr_assert(late(checker, kNow + 23s, kNow + 23s));
}
