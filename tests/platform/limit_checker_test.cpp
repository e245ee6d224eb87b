// Guards against a checker that misses requests above the limit or reports allowed ones.
#include "support/limit_checker.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};

/// An engine with a limit of 1/s, received by two nodes: 11 requests are allowed in 4 s.
LimitChecker checker_with_limit_one() {
  LimitChecker checker;
  checker.set_limit(kNow, "e", 1);
  for (const char* node : {"n1", "n2"}) checker.on_limit_received(kNow, {node, "e"});
  return checker;
}

/// Sends `requests` spread over 3 s. @return how many exceed the limit.
int count_violations(LimitChecker& checker, MonotonicTime from, int requests, const char* node) {
  int violations = 0;
  for (int i = 0; i < requests; ++i) {
    const MonotonicTime at = from + Duration(3s) * i / requests;
    if (!checker.on_request(at, {node, "e"}).empty()) ++violations;
  }
  return violations;
}

}  // namespace

Test(limit_checker, sums_requests_over_the_notified_nodes) {
  LimitChecker checker = checker_with_limit_one();
  cr_assert_eq(count_violations(checker, kNow + 10s, 6, "n1"), 0);
  cr_assert_eq(count_violations(checker, kNow + 10s, 5, "n2"), 0);
  cr_assert_eq(count_violations(checker, kNow + 10s, 9, "n3"), 0,
               "the node has not received the limit");
  cr_assert_not(checker.on_request(kNow + 13s, {"n1", "e"}).empty());
  cr_assert_eq(count_violations(checker, kNow + 20s, 11, "n1"), 0, "another window");
}

Test(limit_checker, allows_time_to_converge_after_the_first_limit) {
  LimitChecker checker = checker_with_limit_one();
  cr_assert_eq(count_violations(checker, kNow - 1s + 500ms, 60, "n1"), 0);
  checker = checker_with_limit_one();
  cr_assert_gt(count_violations(checker, kNow + 3s, 60, "n1"), 0);
}

Test(limit_checker, applies_the_limit_in_effect_at_each_moment) {
  LimitChecker checker = checker_with_limit_one();
  checker.set_limit(kNow + 10s, "e", 10);
  checker.set_limit(kNow + 20s, "e", 1);
  cr_assert_eq(count_violations(checker, kNow + 15s, 60, "n1"), 0);
  cr_assert_eq(count_violations(checker, kNow + 30s, 11, "n1"), 0);
  cr_assert_gt(count_violations(checker, kNow + 40s, 13, "n1"), 0);
  checker.clear_limit("e");
  cr_assert_eq(count_violations(checker, kNow + 50s, 60, "n1"), 0);
  checker.set_limit(kNow + 54s, "e", 1);
  cr_assert_eq(count_violations(checker, kNow + 54s, 30, "n1"), 0,
               "the node has not received the new limit");
  checker.on_limit_received(kNow + 57s, {"n1", "e"});
  cr_assert_gt(count_violations(checker, kNow + 58s, 30, "n1"), 0);
}

// A response with the earlier limit may be forwarded after the engine has removed it.
Test(limit_checker, holds_no_unlimited_request_against_the_next_limit) {
  LimitChecker checker = checker_with_limit_one();
  checker.clear_limit("e");
  checker.on_limit_received(kNow + 10s, {"n1", "e"});
  cr_assert_eq(count_violations(checker, kNow + 11s, 60, "n1"), 0);
  checker.set_limit(kNow + 14s, "e", 1);
  cr_assert_eq(count_violations(checker, kNow + 14s, 11, "n1"), 0);
  cr_assert_gt(count_violations(checker, kNow + 20s, 13, "n1"), 0);
}

Test(limit_checker, ignores_reset_and_unaware_nodes) {
  LimitChecker checker = checker_with_limit_one();
  count_violations(checker, kNow + 10s, 11, "n1");
  checker.reset_node("n1");
  cr_assert(checker.on_request(kNow + 13s, {"n2", "e"}).empty());
  checker.set_unaware("n2", true);
  checker.on_limit_received(kNow + 14s, {"n2", "e"});
  cr_assert_eq(count_violations(checker, kNow + 20s, 30, "n2"), 0);
}
