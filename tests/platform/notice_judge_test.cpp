// Guards against a checker that misses forbidden requests or reports allowed ones.
#include "support/notice_judge.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const NodeAndStart kPair{"n1", "e"};

}  // namespace

Test(notice_checker, finds_requests_sent_to_a_draining_engine) {
  NoticeJudge checker(2s);
  checker.told_leaving(kNow, kPair);
  checker.told_leaving(kNow + 1s, kPair);
  cr_assert(checker.reaches(kNow + 2500ms, kPair, kNow + 1900ms).empty(), "sent before");
  cr_assert(checker.reaches(kNow + 9s, {"n2", "e"}, kNow + 9s).empty(),
            "the node has not been notified");
  cr_assert_not(checker.reaches(kNow + 2500ms, kPair, kNow + 2s).empty());
  checker.excuse_node("n1");
  cr_assert(checker.reaches(kNow + 3s, kPair, kNow + 3s).empty());
}

Test(notice_checker, finds_the_third_request_within_a_cooldown) {
  NoticeJudge checker(2s);
  checker.asked_for_rest(kNow, kPair, 3s);
  for (int i = 0; i < 5; ++i) {
    cr_assert(checker.reaches(kNow + 500ms, kPair, kNow).empty(), "in flight");
  }
  cr_assert(checker.reaches(kNow + 1s, kPair, kNow).empty());
  cr_assert(checker.reaches(kNow + 2s, kPair, kNow).empty());
  cr_assert(checker.reaches(kNow + 2s, {"n2", "e"}, kNow).empty());
  cr_assert_not(checker.reaches(kNow + 2900ms, kPair, kNow).empty());
  cr_assert(checker.reaches(kNow + 3s, kPair, kNow).empty(), "the cooldown is over");
}

Test(notice_checker, a_later_cooldown_does_not_shorten_an_earlier_one) {
  NoticeJudge checker(2s);
  checker.asked_for_rest(kNow, kPair, 3s);
  checker.asked_for_rest(kNow + 1s, kPair, 700ms);
  for (int i = 0; i < 2; ++i) cr_assert(checker.reaches(kNow + 2500ms, kPair, kNow).empty());
  cr_assert_not(checker.reaches(kNow + 2500ms, kPair, kNow).empty());
  checker.excuse_rests("e");
  cr_assert(checker.reaches(kNow + 2500ms, kPair, kNow).empty());
}
