// Guard against samples whose time is not the engine's: waiting would make every engine look slow.
#include "core/relay/engine_observation.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

/// Took twice the time that is expected at a usual engine.
PrefillObservation slow_prefill() {
  return {100, 0, 200ms, 0, 0};
}

}  // namespace

Test(engine_observation, prefill_is_compared_with_the_expected_time_and_known_work_ahead) {
  PrefillObservation prefill = slow_prefill();
  cr_assert_eq(prefill_sample(prefill)->prefills, 1);
  cr_assert_eq(prefill_sample(prefill)->prefill_percent, 200);
  prefill.ahead_ms = 50;
  prefill.took = 300ms;
  cr_assert_eq(prefill_sample(prefill)->prefill_percent, 200);
}

Test(engine_observation, prefill_behind_much_work_is_no_sample) {
  PrefillObservation behind_known_work = slow_prefill();
  behind_known_work.ahead_ms = 51;
  cr_assert_not(prefill_sample(behind_known_work).has_value());
  PrefillObservation with_a_queue = slow_prefill();
  with_a_queue.waiting = 1;
  cr_assert_not(prefill_sample(with_a_queue).has_value());
  PrefillObservation brief = slow_prefill();
  brief.own_ms = 5;
  cr_assert_not(prefill_sample(brief).has_value());
}

Test(engine_observation, reported_slowdown_is_not_taken_for_the_engines_own_speed) {
  PrefillObservation prefill = slow_prefill();
  prefill.slowdown_percent = 250;
  prefill.took = 250ms;
  cr_assert_eq(prefill_sample(prefill)->prefill_percent, 100);
  cr_assert_eq(prefill_sample(prefill)->slowdown_percent, 250);
}

Test(engine_observation, prefill_sample_is_bounded) {
  PrefillObservation prefill = slow_prefill();
  prefill.took = 60s;
  cr_assert_eq(prefill_sample(prefill)->prefill_percent, 500);
  prefill.took = 1ms;
  cr_assert_eq(prefill_sample(prefill)->prefill_percent, 20);
}

Test(engine_observation, stream_is_late_only_beyond_its_gap_target) {
  const EngineSamples late = stream_sample({60ms, 201ms, 200ms});
  cr_assert_eq(late.streams, 1);
  cr_assert_eq(late.interval_ms, 60);
  cr_assert_eq(late.longest_gap_ms, 201);
  cr_assert_eq(late.late_streams, 1);
  cr_assert_eq(stream_sample({60ms, 200ms, 200ms}).late_streams, 0);
  cr_assert_eq(stream_sample({60ms, 900ms, 0ms}).late_streams, 0);
}
