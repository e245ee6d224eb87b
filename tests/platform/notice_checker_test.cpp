// Guards against a checker that misses forbidden requests or reports allowed ones.
#include "support/notice_checker.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const NodeAndIncarnation kPair{"n1", "e"};

}  // namespace

Test(notice_checker, finds_requests_sent_to_a_draining_engine) {
  NoticeChecker checker(2s);
  checker.on_draining_received(kNow, kPair);
  checker.on_draining_received(kNow + 1s, kPair);
  cr_assert(checker.on_request(kNow + 2500ms, kPair, kNow + 1900ms).empty(), "sent before");
  cr_assert(checker.on_request(kNow + 9s, {"n2", "e"}, kNow + 9s).empty(),
            "the node has not been notified");
  cr_assert_not(checker.on_request(kNow + 2500ms, kPair, kNow + 2s).empty());
  checker.reset_node("n1");
  cr_assert(checker.on_request(kNow + 3s, kPair, kNow + 3s).empty());
}

Test(notice_checker, finds_the_third_request_within_a_cooldown) {
  NoticeChecker checker(2s);
  checker.on_cooldown_requested(kNow, kPair, 3s);
  for (int i = 0; i < 5; ++i) {
    cr_assert(checker.on_request(kNow + 500ms, kPair, kNow).empty(), "in flight");
  }
  cr_assert(checker.on_request(kNow + 1s, kPair, kNow).empty());
  cr_assert(checker.on_request(kNow + 2s, kPair, kNow).empty());
  cr_assert(checker.on_request(kNow + 2s, {"n2", "e"}, kNow).empty());
  cr_assert_not(checker.on_request(kNow + 2900ms, kPair, kNow).empty());
  cr_assert(checker.on_request(kNow + 3s, kPair, kNow).empty(), "the cooldown is over");
}

Test(notice_checker, a_later_cooldown_does_not_shorten_an_earlier_one) {
  NoticeChecker checker(2s);
  checker.on_cooldown_requested(kNow, kPair, 3s);
  checker.on_cooldown_requested(kNow + 1s, kPair, 700ms);
  for (int i = 0; i < 2; ++i) cr_assert(checker.on_request(kNow + 2500ms, kPair, kNow).empty());
  cr_assert_not(checker.on_request(kNow + 2500ms, kPair, kNow).empty());
  checker.reset_cooldowns("e");
  cr_assert(checker.on_request(kNow + 2500ms, kPair, kNow).empty());
}
