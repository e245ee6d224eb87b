#include "support/path_checker.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

const MonotonicTime kCutAt{1000s};

/// Reports requests at a node from the end of the grace on. @param served how many succeed.
void send(PathChecker& checker, const std::string& node, int count, int served,
          Duration after_cut = 4s) {
  for (int i = 0; i < count; ++i) checker.on_request_ended(node, kCutAt + after_cut, i < served);
}

std::string judge(int cut_served, Duration after_cut = 4s, bool disturbed = false) {
  PathChecker checker;
  if (disturbed) checker.on_node_disturbed(kCutAt - 1s, "cut");
  checker.on_cut(kCutAt, {"cut"});
  send(checker, "cut", 40, cut_served, after_cut);
  send(checker, "other", 100, 100);
  checker.on_restored(kCutAt + 8s);
  return checker.finish();
}

}  // namespace

Test(path_checker, reports_cut_nodes_that_serve_rarely) {
  cr_assert_eq(judge(20),
               "nodes cut off from all engines served 20 of 40 requests, the others 100 of 100");
  cr_assert_eq(judge(27), "", "two thirds as often");
}

Test(path_checker, allows_some_failures) {
  PathChecker checker;
  checker.on_cut(kCutAt, {"cut"});
  send(checker, "cut", 12, 0);
  send(checker, "other", 100, 100);
  checker.on_restored(kCutAt + 8s);
  cr_assert_eq(checker.finish(), "", "12 failures of 112 requests");
}

Test(path_checker, leaves_out_the_first_seconds_and_disturbed_nodes) {
  cr_assert_eq(judge(0, 2s), "");
  cr_assert_eq(judge(0, 9s), "", "after the cut");
  cr_assert_eq(judge(0, 4s, true), "");
}

Test(path_checker, leaves_out_requests_while_the_store_fails_and_shortly_after) {
  const auto judge_with_fault = [](Duration since, Duration until) {
    PathChecker checker;
    checker.on_store_fault(kCutAt + since, true);
    checker.on_store_fault(kCutAt + until, false);
    checker.on_cut(kCutAt, {"cut"});
    send(checker, "cut", 40, 0, 5s);
    send(checker, "other", 100, 100, 5s);
    checker.on_restored(kCutAt + 8s);
    return checker.finish();
  };
  cr_assert_eq(judge_with_fault(-2s, 1s).empty(), false, "4 s after the fault");
  cr_assert_eq(judge_with_fault(-2s, 3s), "");
  cr_assert_eq(judge_with_fault(4s, 7s), "");
  cr_assert_eq(judge_with_fault(6s, 7s).empty(), false, "before the fault");
}
