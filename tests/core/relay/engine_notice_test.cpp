#include "core/relay/engine_notice.hpp"

#include <criterion/criterion.h>

#include "core/relay/engine_directory.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const EngineId kEngine("e");

EngineRecord record(const std::string& id, EngineStage stage = EngineStage::kNone) {
  EngineRecord made;
  made.id = EngineId(id);
  made.service = ServiceName("s");
  made.address = id + ":80";
  made.stage = stage;
  return made;
}

}  // namespace

Test(engine_notices, keep_the_longest_of_the_rests_asked_for) {
  EngineNotices notices;
  notices.on_rest(kNow, kEngine, 3s);
  notices.on_rest(kNow + 1s, kEngine, 1s);
  cr_assert(notices.wants_none(kNow + 2900ms, kEngine));
  cr_assert_not(notices.wants_none(kNow + 3s, kEngine));
  cr_assert_not(notices.wants_none(kNow, EngineId("other")));
}

Test(engine_notices, keep_no_rest_that_is_longer_than_a_mistake_may_cost) {
  EngineNotices notices;
  notices.on_rest(kNow, kEngine, 24h);
  cr_assert(notices.wants_none(kNow + kLongestRest - 1s, kEngine));
  cr_assert_not(notices.wants_none(kNow + kLongestRest, kEngine));
  notices.on_rest(kNow, EngineId("past"), -5s);
  cr_assert_not(notices.wants_none(kNow, EngineId("past")));
}

Test(engine_notices, forget_rests_that_are_over_and_none_that_are_not) {
  EngineNotices notices;
  notices.on_rest(kNow, kEngine, 10s);
  for (int i = 0; i < 5000; ++i) {
    notices.on_rest(kNow + i * 1ms, EngineId("e" + std::to_string(i)), 2ms);
  }
  cr_assert(notices.wants_none(kNow + 6s, kEngine));
}

Test(engine_notices, tell_once_that_an_engine_leaves_and_remember_it_for_good) {
  EngineNotices notices;
  cr_assert(notices.on_leaving(kEngine));
  cr_assert_not(notices.on_leaving(kEngine));
  cr_assert(notices.wants_none(kNow + 24h, kEngine));
}

Test(engine_directory, keeps_what_an_engine_has_said_while_its_entry_lapses) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_rest(kNow, EngineId("a"), 3s);
  cr_assert(engines.on_leaving(EngineId("b")));
  for (const char* id : {"a", "b"}) {
    engines.remove(EngineId(id));
    EngineRecord changed = record(id);
    changed.slots = 4;
    engines.upsert(changed);
    cr_assert_not(engines.find(EngineId(id))->takes_requests(kNow + 2s), "%s", id);
  }
  cr_assert(engines.find(EngineId("a"))->takes_requests(kNow + 3s));
  cr_assert_not(engines.find(EngineId("b"))->takes_requests(kNow + 3s));
}

Test(engine_directory, takes_another_nodes_word_for_an_engine_that_leaves_known_or_not) {
  EngineDirectory engines;
  engines.upsert(record("a", EngineStage::kDecode));
  for (const char* id : {"a", "later"}) {
    engines.on_peer_trouble(kNow, {EngineId(id), EngineStage::kNone, TroubleKind::kLeaving});
    engines.upsert(record(id, EngineStage::kDecode));
    cr_assert_not(engines.find(EngineId(id))->takes_requests(kNow), "%s", id);
  }
}

Test(engine_directory, forgets_what_an_engine_has_said_once_it_has_started_again) {
  EngineDirectory engines;
  const auto start = [](std::uint64_t born) {
    EngineRecord made = record("e");
    made.name = "e";
    made.started_unix_ms = born;
    made.id = start_id("e", born);
    return made;
  };
  engines.upsert(start(1));
  engines.on_leaving(start(1).id);
  engines.on_rest(kNow, start(1).id, 3s);
  engines.upsert(start(2));
  cr_assert(engines.find(start(2).id)->takes_requests(kNow));
  // Late words of the start before.
  engines.on_leaving(start(1).id);
  engines.on_rest(kNow, start(1).id, 3s);
  cr_assert(engines.find(start(2).id)->takes_requests(kNow));
}

Test(engine_directory, knows_when_the_first_engine_of_a_service_is_back) {
  EngineDirectory engines;
  const ServiceName service("s");
  for (const char* id : {"a", "b", "c"}) engines.upsert(record(id, EngineStage::kDecode));
  engines.upsert(record("p", EngineStage::kPrefill));
  engines.on_rest(kNow, EngineId("a"), 3s);
  engines.on_rest(kNow, EngineId("b"), 2s);
  cr_assert_not(engines.first_return(kNow, service).has_value(), "one takes requests now");
  engines.on_leaving(EngineId("c"));
  cr_assert_eq(engines.first_return(kNow, service), kNow + 2s);
  engines.on_leaving(EngineId("b"));
  cr_assert_eq(engines.first_return(kNow, service), kNow + 3s);
  engines.on_leaving(EngineId("a"));
  cr_assert_not(engines.first_return(kNow, service).has_value(), "none will be back");
}
