// The judge of the soak is worth what it finds, and what it lets pass.
#include "support/limit_judge.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};

/// An engine that takes 1 a second, which two nodes have been told of: 11 are allowed in 4 s.
LimitChecker judge_of_one() {
  LimitChecker judge;
  judge.set_limit(kNow, "e", 1);
  for (const char* node : {"n1", "n2"}) judge.on_limit_received(kNow, {node, "e"});
  return judge;
}

/// @return how many of so many requests within 3 s are found to be too many.
int found(LimitChecker& judge, MonotonicTime from, int requests, const char* node) {
  int broken = 0;
  for (int i = 0; i < requests; ++i) {
    const MonotonicTime at = from + Duration(3s) * i / requests;
    if (!judge.on_request(at, {node, "e"}).empty()) ++broken;
  }
  return broken;
}

}  // namespace

Test(limit_judge, sums_over_the_nodes_that_were_told) {
  LimitChecker judge = judge_of_one();
  cr_assert_eq(found(judge, kNow + 10s, 6, "n1"), 0);
  cr_assert_eq(found(judge, kNow + 10s, 5, "n2"), 0);
  cr_assert_eq(found(judge, kNow + 10s, 9, "n3"), 0, "nobody told that node");
  cr_assert_not(judge.on_request(kNow + 13s, {"n1", "e"}).empty());
  cr_assert_eq(found(judge, kNow + 20s, 11, "n1"), 0, "another window");
}

Test(limit_judge, begins_a_while_after_the_first_word) {
  LimitChecker judge = judge_of_one();
  cr_assert_eq(found(judge, kNow - 1s + 500ms, 60, "n1"), 0);
  judge = judge_of_one();
  cr_assert_gt(found(judge, kNow + 3s, 60, "n1"), 0);
}

Test(limit_judge, goes_by_the_figure_of_each_moment) {
  LimitChecker judge = judge_of_one();
  judge.set_limit(kNow + 10s, "e", 10);
  judge.set_limit(kNow + 20s, "e", 1);
  cr_assert_eq(found(judge, kNow + 15s, 60, "n1"), 0);
  cr_assert_eq(found(judge, kNow + 30s, 11, "n1"), 0);
  cr_assert_gt(found(judge, kNow + 40s, 13, "n1"), 0);
  judge.clear_limit("e");
  cr_assert_eq(found(judge, kNow + 50s, 60, "n1"), 0);
  judge.set_limit(kNow + 54s, "e", 1);
  cr_assert_eq(found(judge, kNow + 54s, 30, "n1"), 0, "it has not been told yet");
  judge.on_limit_received(kNow + 57s, {"n1", "e"});
  cr_assert_gt(found(judge, kNow + 58s, 30, "n1"), 0);
}

Test(limit_judge, excuses_a_node_that_was_disturbed_or_cannot_know) {
  LimitChecker judge = judge_of_one();
  found(judge, kNow + 10s, 11, "n1");
  judge.reset_node("n1");
  cr_assert(judge.on_request(kNow + 13s, {"n2", "e"}).empty());
  judge.set_unaware("n2", true);
  judge.on_limit_received(kNow + 14s, {"n2", "e"});
  cr_assert_eq(found(judge, kNow + 20s, 30, "n2"), 0);
}
