#include "core/relay/engine_limit.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "core/relay/engine_directory.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const EngineId kEngine("e");

ObservedLimit limit(std::optional<double> per_second, Duration at) {
  return {per_second, kNow + at};
}

}  // namespace

Test(engine_limits, lower_at_once_and_raise_only_for_a_surely_later_observation) {
  EngineLimits limits;
  cr_assert(limits.observe(kEngine, limit(5, 0s)));
  cr_assert(limits.observe(kEngine, limit(2, -400ms)),
            "the lower of two concurrent limits applies");
  cr_assert_not(limits.observe(kEngine, limit(5, 0ms)));
  cr_assert_eq(limits.limit(kEngine), 2);
  cr_assert(limits.observe(kEngine, limit(5, 100ms)));
  cr_assert_not(limits.observe(kEngine, limit(2, -500ms)), "older than the limit in force");
}

Test(engine_limits, end_after_a_surely_later_observation_and_apply_to_one_incarnation) {
  EngineLimits limits;
  cr_assert_not(limits.observe(kEngine, limit({}, 0s)), "no limit to remove");
  limits.observe(kEngine, limit(1, 0s));
  cr_assert_not(limits.observe(kEngine, limit({}, 400ms)));
  cr_assert(limits.any_limited());
  cr_assert(limits.observe(kEngine, limit({}, 600ms)));
  cr_assert_not(limits.any_limited());
  cr_assert_not(limits.observe(kEngine, limit(1, 50ms)), "outdated observation");
  cr_assert(limits.observe(kEngine, limit(1, 700ms)));
  cr_assert_not(limits.limit(EngineId("e.2")).has_value());
}

Test(engine_limits, outlive_the_record_of_the_engine) {
  EngineDirectory engines;
  EngineRecord record;
  record.id = kEngine;
  engines.upsert(record);
  engines.on_limit(kEngine, limit(2, 0s));
  engines.on_next_permit(kEngine, kNow + 300ms);
  engines.replace_all({});
  engines.upsert(record);
  cr_assert_eq(engines.find(kEngine)->permit_wait(kNow), Duration(300ms));
  engines.on_limit(kEngine, limit({}, 1s));
  cr_assert_eq(engines.find(kEngine)->permit_wait(kNow), Duration::zero());
}

Test(engine_limits, converge_on_the_last_observation_in_any_order) {
  SHUNTBANK_PROPERTY("order of observations", [] {
    std::vector<ObservedLimit> observations;
    Duration at{};
    const auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      at += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const auto rate = *rc::gen::inRange(-1, 6);
      observations.push_back(limit(rate < 0 ? std::nullopt : std::optional<double>(rate), at));
    }
    const ObservedLimit last = limit(*rc::gen::inRange(0, 6), at + kReorderTolerance);
    observations.push_back(last);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(observations.begin(), observations.end(), random);
    EngineLimits limits;
    for (const ObservedLimit& observation : observations) limits.observe(kEngine, observation);
    RC_ASSERT(limits.limit(kEngine) == last.per_second);
    RC_ASSERT(limits.any_limited());
  });
}
