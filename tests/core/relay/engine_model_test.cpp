#include "core/relay/engine_model.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

constexpr double kTokenMs = 1.0 / 300;
constexpr double kSetupMs = 6;

Duration from_ms(double ms) {
  return from_seconds(ms / 1000);
}

/// Feeds the model prefills of several sizes with these costs.
void train(PrefillModel& model, double token_ms, double setup_ms) {
  for (int round = 0; round < 40; ++round) {
    const auto tokens = static_cast<std::uint64_t>(500 + 700 * (round % 12));
    model.observe(tokens, from_ms(setup_ms + static_cast<double>(tokens) * token_ms));
  }
}

}  // namespace

Test(prefill_model, learns_fixed_and_per_token_costs) {
  PrefillModel model;
  train(model, kTokenMs, kSetupMs);
  cr_assert_float_eq(model.prefill_ms(9000), kSetupMs + 9000 * kTokenMs, 1);
  cr_assert_float_eq(model.setup_ms(), kSetupMs, 1);
}

Test(prefill_model, first_observation_outweighs_the_defaults) {
  PrefillModel model;
  model.observe(9000, from_ms(36));
  cr_assert_float_eq(model.prefill_ms(9000), 36, 2);
  cr_assert_lt(model.prefill_ms(1000), 36);
}

Test(prefill_model, is_robust_against_queued_prompts) {
  PrefillModel model;
  train(model, kTokenMs, kSetupMs);
  for (int i = 0; i < 5; ++i) model.observe(5000, from_ms(400));
  cr_assert_lt(model.prefill_ms(5000), 1.5 * (kSetupMs + 5000 * kTokenMs));
}

Test(prefill_model, adapts_to_slower_engines) {
  PrefillModel model;
  train(model, kTokenMs, kSetupMs);
  for (int i = 0; i < 20; ++i) train(model, 4 * kTokenMs, 4 * kSetupMs);
  cr_assert_float_eq(model.prefill_ms(5000), 4 * (kSetupMs + 5000 * kTokenMs), 10);
}

Test(engine_model, unloaded_interval_follows_the_fastest_streams) {
  EngineModel model;
  cr_assert_eq(model.unloaded_event_interval_ms(), 0);
  for (int i = 0; i < 20; ++i) {
    model.on_event_interval(from_ms(40));
    model.on_event_interval(from_ms(160));
  }
  cr_assert_lt(model.unloaded_event_interval_ms(), 60);
}

Test(engine_model, learns_the_fetch_overhead) {
  EngineModel model;
  model.on_prompt_read(3000, from_ms(16), true);
  model.on_fetch(3000, 2, from_ms(16 + 2 + 7));
  cr_assert_float_eq(model.fetch_setup_ms(), 7, 1);
}

Test(engine_model, possibly_queued_prompts_only_lower_the_estimate) {
  // Counting queueing as prefill time would defer every prompt, and the estimate never recover.
  EngineModel model;
  model.on_prompt_read(5000, from_ms(20), true);
  for (int i = 0; i < 50; ++i) model.on_prompt_read(5000, from_ms(1500), false);
  cr_assert_lt(model.prefill().prefill_ms(5000), 25);
  for (int i = 0; i < 50; ++i) model.on_prompt_read(5000, from_ms(10), false);
  cr_assert_lt(model.prefill().prefill_ms(5000), 15);
  for (int i = 0; i < 50; ++i) model.on_handover(from_ms(1500), true);
  cr_assert_lt(model.handover_ms(), 20);
}

Test(engine_model, adapts_when_no_engine_is_ever_idle) {
  // Otherwise the defaults would stay in use on a busy service.
  EngineModel model;
  const double before = model.prefill().prefill_ms(6000);
  for (int i = 0; i < 10; ++i) model.on_prompt_read(6000, from_ms(60), false);
  cr_assert_lt(model.prefill().prefill_ms(6000), before / 2);
}
