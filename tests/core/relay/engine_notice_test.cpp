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
  EngineRecord result;
  result.id = EngineId(id);
  result.service = ServiceName("s");
  result.address = id + ":80";
  result.stage = stage;
  return result;
}

}  // namespace

Test(engine_notices, keep_the_longest_requested_cooldown) {
  EngineNotices notices;
  notices.on_cooldown(kNow, kEngine, 3s);
  notices.on_cooldown(kNow + 1s, kEngine, 1s);
  cr_assert(notices.refuses_requests(kNow + 2900ms, kEngine));
  cr_assert_not(notices.refuses_requests(kNow + 3s, kEngine));
  cr_assert_not(notices.refuses_requests(kNow, EngineId("other")));
}

Test(engine_notices, limit_the_length_of_a_cooldown) {
  EngineNotices notices;
  notices.on_cooldown(kNow, kEngine, 24h);
  cr_assert(notices.refuses_requests(kNow + kMaxCooldown - 1s, kEngine));
  cr_assert_not(notices.refuses_requests(kNow + kMaxCooldown, kEngine));
  notices.on_cooldown(kNow, EngineId("past"), -5s);
  cr_assert_not(notices.refuses_requests(kNow, EngineId("past")));
}

Test(engine_notices, erase_only_expired_cooldowns) {
  EngineNotices notices;
  notices.on_cooldown(kNow, kEngine, 10s);
  for (int i = 0; i < 5000; ++i) {
    notices.on_cooldown(kNow + i * 1ms, EngineId("e" + std::to_string(i)), 2ms);
  }
  cr_assert(notices.refuses_requests(kNow + 6s, kEngine));
}

Test(engine_notices, report_draining_once_and_keep_it) {
  EngineNotices notices;
  cr_assert(notices.on_draining(kEngine));
  cr_assert_not(notices.on_draining(kEngine));
  cr_assert(notices.refuses_requests(kNow + 24h, kEngine));
}

Test(engine_directory, keeps_notices_while_the_record_is_missing) {
  EngineDirectory engines;
  engines.upsert(record("a"));
  engines.upsert(record("b"));
  engines.on_cooldown(kNow, EngineId("a"), 3s);
  cr_assert(engines.on_draining(EngineId("b")));
  for (const char* id : {"a", "b"}) {
    engines.remove(EngineId(id));
    EngineRecord changed = record(id);
    changed.slots = 4;
    engines.upsert(changed);
    cr_assert_not(engines.find(EngineId(id))->accepts_requests(kNow + 2s), "%s", id);
  }
  cr_assert(engines.find(EngineId("a"))->accepts_requests(kNow + 3s));
  cr_assert_not(engines.find(EngineId("b"))->accepts_requests(kNow + 3s));
}

Test(engine_directory, applies_draining_reported_by_a_peer_for_known_and_unknown_engines) {
  EngineDirectory engines;
  engines.upsert(record("a", EngineStage::kDecode));
  for (const char* id : {"a", "later"}) {
    engines.on_peer_trouble(kNow, {EngineId(id), EngineStage::kNone, TroubleKind::kDraining});
    engines.upsert(record(id, EngineStage::kDecode));
    cr_assert_not(engines.find(EngineId(id))->accepts_requests(kNow), "%s", id);
  }
}

Test(engine_directory, notices_do_not_apply_to_the_next_incarnation) {
  EngineDirectory engines;
  const auto incarnation = [](std::uint64_t started) {
    EngineRecord result = record("e");
    result.name = "e";
    result.started_unix_ms = started;
    result.id = incarnation_id("e", started);
    return result;
  };
  engines.upsert(incarnation(1));
  engines.on_draining(incarnation(1).id);
  engines.on_cooldown(kNow, incarnation(1).id, 3s);
  engines.upsert(incarnation(2));
  cr_assert(engines.find(incarnation(2).id)->accepts_requests(kNow));
  // Late notices of the previous incarnation.
  engines.on_draining(incarnation(1).id);
  engines.on_cooldown(kNow, incarnation(1).id, 3s);
  cr_assert(engines.find(incarnation(2).id)->accepts_requests(kNow));
}

Test(engine_directory, finds_when_the_first_engine_of_a_service_is_available) {
  EngineDirectory engines;
  const ServiceName service("s");
  for (const char* id : {"a", "b", "c"}) engines.upsert(record(id, EngineStage::kDecode));
  engines.upsert(record("p", EngineStage::kPrefill));
  engines.on_cooldown(kNow, EngineId("a"), 3s);
  engines.on_cooldown(kNow, EngineId("b"), 2s);
  cr_assert_not(engines.next_available_at(kNow, service).has_value(), "one accepts requests now");
  engines.on_draining(EngineId("c"));
  cr_assert_eq(engines.next_available_at(kNow, service), kNow + 2s);
  engines.on_draining(EngineId("b"));
  cr_assert_eq(engines.next_available_at(kNow, service), kNow + 3s);
  engines.on_draining(EngineId("a"));
  cr_assert_not(engines.next_available_at(kNow, service).has_value(), "all are draining");
}

// A release that drains half of ten thousand engines must not forget any of them.
Test(engine_notices, remember_all_draining_engines_of_a_large_fleet) {
  constexpr int kEngines = 20000;
  EngineDirectory engines;
  const auto id = [](int i) { return EngineId("e" + std::to_string(i)); };
  for (int i = 0; i < kEngines; ++i) {
    EngineRecord record;
    record.id = id(i);
    record.service = ServiceName("model");
    engines.upsert(record);
  }
  for (int i = 0; i < kEngines; ++i) engines.on_draining(id(i));
  for (int i = 0; i < kEngines; ++i) {
    cr_assert(engines.notices().draining(id(i)), "engine %d is forgotten", i);
  }
}
