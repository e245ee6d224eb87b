// The judge of the soak is worth what it finds, and what it lets pass.
#include "support/notice_judge.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const NodeAndIncarnation kPair{"n1", "e"};

}  // namespace

Test(notice_judge, finds_what_was_sent_to_an_engine_long_after_it_said_that_it_leaves) {
  NoticeChecker judge(2s);
  judge.on_draining_received(kNow, kPair);
  judge.on_draining_received(kNow + 1s, kPair);
  cr_assert(judge.on_request(kNow + 2500ms, kPair, kNow + 1900ms).empty(), "sent before");
  cr_assert(judge.on_request(kNow + 9s, {"n2", "e"}, kNow + 9s).empty(), "nobody told that node");
  cr_assert_not(judge.on_request(kNow + 2500ms, kPair, kNow + 2s).empty());
  judge.reset_node("n1");
  cr_assert(judge.on_request(kNow + 3s, kPair, kNow + 3s).empty());
}

Test(notice_judge, finds_the_third_request_within_a_time_of_rest) {
  NoticeChecker judge(2s);
  judge.on_cooldown_requested(kNow, kPair, 3s);
  for (int i = 0; i < 5; ++i) {
    cr_assert(judge.on_request(kNow + 500ms, kPair, kNow).empty(), "it was on its way");
  }
  cr_assert(judge.on_request(kNow + 1s, kPair, kNow).empty());
  cr_assert(judge.on_request(kNow + 2s, kPair, kNow).empty());
  cr_assert(judge.on_request(kNow + 2s, {"n2", "e"}, kNow).empty());
  cr_assert_not(judge.on_request(kNow + 2900ms, kPair, kNow).empty());
  cr_assert(judge.on_request(kNow + 3s, kPair, kNow).empty(), "it is over");
}

Test(notice_judge, holds_a_node_to_each_rest_that_was_asked_for) {
  NoticeChecker judge(2s);
  judge.on_cooldown_requested(kNow, kPair, 3s);
  judge.on_cooldown_requested(kNow + 1s, kPair, 700ms);
  for (int i = 0; i < 2; ++i) cr_assert(judge.on_request(kNow + 2500ms, kPair, kNow).empty());
  cr_assert_not(judge.on_request(kNow + 2500ms, kPair, kNow).empty());
  judge.reset_cooldowns("e");
  cr_assert(judge.on_request(kNow + 2500ms, kPair, kNow).empty());
}
