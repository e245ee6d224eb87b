#include "core/relay/engine_model.hpp"

#include <criterion/criterion.h>

#include <random>

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

/// Prefill times with a quadratic part, in milliseconds. Sizes are heavy-tailed: of 20 prompts 17
/// have less than 2,000 tokens and one has 11,000 to 60,000.
class HeavyTailedPrefills {
 public:
  HeavyTailedPrefills(double token_ms, double million_pairs_ms, double noise)
      : token_ms_(token_ms), million_pairs_ms_(million_pairs_ms), noise_(noise) {}

  double prefill_ms(double tokens) const {
    return kSetupMs + tokens * token_ms_ + tokens * tokens / 1e6 * million_pairs_ms_;
  }

  void train(PrefillModel& model, int prompts, bool long_prompts = true) {
    for (int i = 0; i < prompts; ++i) {
      double tokens = 200 + 1800 * random_(engine_);
      if (long_prompts && i % 20 == 7) tokens = 6600 / (0.1 + 0.5 * random_(engine_));
      if (long_prompts && i % 10 == 3) tokens = 2000 + 8000 * random_(engine_);
      const double factor = 1 + noise_ * (2 * random_(engine_) - 1);
      model.observe(static_cast<std::uint64_t>(tokens), from_ms(factor * prefill_ms(tokens)));
    }
  }

 private:
  double token_ms_;
  double million_pairs_ms_;
  double noise_;
  std::mt19937_64 engine_{7};
  std::uniform_real_distribution<double> random_{0, 1};
};

void assert_share(double actual, double expected, double tolerance) {
  cr_assert_float_eq(actual / expected, 1, tolerance, "%.1f instead of %.1f", actual, expected);
}

}  // namespace

// Guards against the linear model that expected 1.23 times too little for prompts beyond 40,000
// tokens, or too much for those of some thousands.
Test(prefill_model, learns_the_part_that_grows_with_the_square) {
  PrefillModel model;
  HeavyTailedPrefills prefills(1.0 / 112, 0.218, 0.15);
  prefills.train(model, 400);
  for (const double tokens : {1000.0, 6000.0, 20000.0, 40000.0, 60000.0})
    assert_share(model.prefill_ms(tokens), prefills.prefill_ms(tokens), 0.15);
}

// Guards against short prompts whose noise is extrapolated to long ones.
Test(prefill_model, keeps_the_quadratic_part_while_no_long_prompts_come) {
  PrefillModel model;
  HeavyTailedPrefills prefills(1.0 / 112, 0.218, 0.15);
  prefills.train(model, 400);
  prefills.train(model, 500, false);
  for (const double tokens : {1000.0, 20000.0, 40000.0})
    assert_share(model.prefill_ms(tokens), prefills.prefill_ms(tokens), 0.2);
}

Test(prefill_model, stays_linear_for_a_linear_service) {
  PrefillModel model;
  HeavyTailedPrefills prefills(1.0 / 112, 0, 0.15);
  for (int round = 0; round < 20; ++round) {
    prefills.train(model, 50, round % 2 == 0);
    cr_assert_geq(model.million_pairs_ms(), 0);
    assert_share(model.prefill_ms(20000), prefills.prefill_ms(20000), 0.15);
    assert_share(model.prefill_ms(60000), prefills.prefill_ms(60000), 0.25);
  }
}

// Guards against one queued long prompt that bends the fit for all long ones.
Test(prefill_model, is_robust_against_a_queued_long_prompt) {
  PrefillModel model;
  HeavyTailedPrefills prefills(1.0 / 112, 0.218, 0.15);
  prefills.train(model, 400);
  model.observe(30000, from_ms(2500));
  assert_share(model.prefill_ms(30000), prefills.prefill_ms(30000), 0.2);
}

// Guards against a fit that takes more than hundred prompts to follow engines of half the speed, as
// every prompt counts as queued.
Test(prefill_model, follows_engines_that_have_become_slower_within_some_fifty_prompts) {
  PrefillModel model;
  HeavyTailedPrefills quick(1.0 / 112, 0.218, 0.15);
  quick.train(model, 400);
  HeavyTailedPrefills slow(2.0 / 112, 2 * 0.218, 0.15);
  slow.train(model, 60);
  for (const double tokens : {6000.0, 20000.0})
    assert_share(model.prefill_ms(tokens), slow.prefill_ms(tokens), 0.25);
}

// Guards against a fit that is too low, as beside other work only quick prefills are counted.
Test(engine_model, prefills_beside_other_work_do_not_lower_the_estimate) {
  EngineModel model;
  for (int i = 0; i < 200; ++i) {
    model.on_prompt_read(6000, from_ms(60), true);
    for (int beside = 0; beside < 5; ++beside) model.on_prompt_read(6000, from_ms(35), false);
  }
  assert_share(model.prefill().prefill_ms(6000), 60, 0.05);
}

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

// Guards against prompts that are deferred as the work ahead counts in full, though engines prefill
// concurrently.
Test(engine_model, learns_how_much_of_the_work_ahead_delays) {
  EngineModel model;
  for (int i = 0; i < 40; ++i) model.on_prompt_read(4000, from_ms(40), true);
  cr_assert_eq(model.work_ahead().share(), 1);
  for (int i = 0; i < 60; ++i) model.on_read_behind(60, 4000, from_ms(40 + 0.6 * 60));
  assert_share(model.work_ahead().share(), 0.6, 0.1);
}

// Guards against a queue that lengthens what is expected of the next prompts without bound, or an
// engine under load that seems free.
Test(engine_model, bounds_how_much_of_the_work_ahead_delays) {
  EngineModel model;
  for (int i = 0; i < 40; ++i) model.on_prompt_read(4000, from_ms(40), true);
  for (int i = 0; i < 200; ++i) model.on_read_behind(60, 4000, from_ms(2000));
  cr_assert_eq(model.work_ahead().share(), 1);
  for (int i = 0; i < 200; ++i) model.on_read_behind(60, 4000, from_ms(10));
  cr_assert_float_eq(model.work_ahead().share(), 0.3, 0.001);
}

Test(engine_model, ignores_work_ahead_that_is_small_beside_the_prompt) {
  EngineModel model;
  for (int i = 0; i < 40; ++i) model.on_prompt_read(4000, from_ms(40), true);
  for (int i = 0; i < 200; ++i) model.on_read_behind(5, 4000, from_ms(30));
  cr_assert_eq(model.work_ahead().share(), 1);
}

// Guards against an average handover that grows with the occupancy of some engines and defers what
// others could serve in time.
Test(engine_model, separates_the_handover_from_the_wait_for_a_slot) {
  EngineModel model;
  for (int i = 0; i < 60; ++i) {
    model.on_handover(from_ms(32), false, {4, 16});
    model.on_handover(from_ms(32 + 300), false, {16, 16});
    model.on_handover(from_ms(32 + 900), true, {16, 16});
  }
  cr_assert_float_eq(model.handover_ms(), 32, 0.1);
  cr_assert_eq(model.slot_wait_ms({4, 16}), 0);
  cr_assert_float_eq(model.slot_wait_ms({16, 16}), 300, 15);
}
