// Guard against placement that takes all engines of a service for alike: streams at engines whose
// pauses exceed the route's gap target, and expected prefill times wrong by the engine's factor.
#include <criterion/criterion.h>

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "common/hash.hpp"
#include "core/relay/engine_observation.hpp"
#include "core/relay/placement.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
constexpr Duration kGapTarget = 200ms;

EngineRecord engine(const std::string& id, EngineStage stage) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName("model");
  record.address = id + ":1";
  record.slots = 8;
  record.stage = stage;
  return record;
}

/// Samples of other nodes: as many streams, each with these figures.
EngineSamples streams(std::uint32_t count, std::uint32_t interval_ms, std::uint32_t longest_gap_ms,
                      std::uint32_t late) {
  EngineSamples samples;
  samples.streams = count;
  samples.interval_ms = count * interval_ms;
  samples.longest_gap_ms = count * longest_gap_ms;
  samples.late_streams = late;
  return samples;
}

EngineSamples prefills(std::uint32_t count, std::uint32_t percent) {
  EngineSamples samples;
  samples.prefills = count;
  samples.prefill_percent = count * percent;
  return samples;
}

struct Fleet {
  explicit Fleet(EngineStage stage) {
    ModelServing model;
    model.kv_tokens = 1000000;
    model.kv_token_bytes = 18432;
    model.link_megabits_per_second = 370000;
    service = {ServiceName("model"), 0, model};
    for (const char* id : {"a", "b", "c"}) engines.upsert(engine(id, stage));
    query.service = &service;
    query.prompt = &prompt;
    query.stage = stage;
    query.cache_view_incomplete = false;
    query.gap_target = kGapTarget;
  }
  std::optional<Placement> choose() { return place(kNow, engines, query, PlacementSettings{}); }
  void observe(const std::string& id, const EngineSamples& samples) {
    engines.on_samples(kNow, EngineId(id), samples);
  }
  /// Expected time of a prefill at this engine, with all others excluded.
  double expected_ms_at(const std::string& id) {
    std::vector<EngineId> others;
    for (const char* other : {"a", "b", "c"}) {
      if (other != id) others.emplace_back(other);
    }
    query.excluded_engines = &others;
    const double ms = choose()->expected_ms;
    query.excluded_engines = nullptr;
    return ms;
  }

  EngineDirectory engines;
  RelayedService service;
  PromptShape prompt{{{11, 2000}}, 2000, 100};
  PlacementQuery query;
};

}  // namespace

Test(engine_profile, streams_avoid_an_engine_whose_pauses_exceed_the_gap_target) {
  // The engine is the least loaded, and only other nodes know of its pauses.
  Fleet fleet(EngineStage::kDecode);
  fleet.observe("a", streams(40, 60, 150, 14));
  fleet.observe("b", streams(40, 60, 51, 0));
  fleet.observe("c", streams(40, 60, 51, 0));
  fleet.engines.expire_peer_load(kNow);
  for (const char* id : {"b", "c"}) {
    for (int i = 0; i < 6; ++i) fleet.engines.on_attempt_sent(EngineId(id), {0, false});
  }
  cr_assert_neq(fleet.choose()->engine.value(), "a");
  for (const char* id : {"b", "c"}) {
    for (int i = 0; i < 2; ++i) fleet.engines.on_attempt_sent(EngineId(id), {0, false});
  }
  cr_assert_eq(fleet.choose()->engine.value(), "a", "no other engine has a free slot");
}

Test(engine_profile, expected_prefill_time_is_the_engines_own) {
  Fleet fleet(EngineStage::kPrefill);
  const double usual = fleet.expected_ms_at("a");
  fleet.observe("a", prefills(60, 200));
  fleet.observe("b", prefills(60, 100));
  fleet.observe("c", prefills(60, 60));
  fleet.engines.expire_peer_load(kNow);
  // The mean of all samples is 120 percent.
  cr_assert_float_eq(fleet.expected_ms_at("a") / usual, 200.0 / 120, 0.1);
  cr_assert_float_eq(fleet.expected_ms_at("c") / usual, 60.0 / 120, 0.1);
}

Test(engine_profile, alike_engines_are_placed_as_before) {
  // Differences below a tenth are chance, and must not draw all requests to one engine.
  for (const EngineStage stage : {EngineStage::kPrefill, EngineStage::kDecode}) {
    Fleet fleet(stage);
    Fleet without_samples(stage);
    std::uint32_t difference = 0;
    for (const char* id : {"a", "b", "c"}) {
      fleet.observe(id, prefills(50, 100 + difference));
      fleet.observe(id, streams(50, 60 + difference / 2, 180 + difference, 6 + difference / 4));
      difference += 4;
    }
    fleet.engines.expire_peer_load(kNow);
    for (std::uint64_t request = 1; request <= 50; ++request) {
      for (Fleet* each : {&fleet, &without_samples}) {
        each->prompt.parts = {{request % 7, 500}, {request, 1500}};
        if (request % 3 == 0) each->engines.on_attempt_sent(EngineId("b"), {300, false});
      }
      const auto choice = fleet.choose();
      const auto before = without_samples.choose();
      cr_assert_eq(choice->engine, before->engine);
      cr_assert_float_eq(choice->cost_ms, before->cost_ms, 1e-9);
      cr_assert_float_eq(choice->expected_ms, before->expected_ms, 1e-9);
    }
  }
}

Test(engine_profile, one_late_stream_does_not_bar_an_engine) {
  Fleet fleet(EngineStage::kDecode);
  fleet.observe("b", streams(40, 60, 51, 0));
  fleet.observe("a", streams(1, 60, 400, 1));
  cr_assert_not(fleet.engines.find(EngineId("a"))->profile.exceeds_gap(kGapTarget));
}

Test(engine_profile, pauses_of_all_engines_bar_none) {
  Fleet fleet(EngineStage::kDecode);
  for (const char* id : {"a", "b", "c"}) fleet.observe(id, streams(100, 90, 260, 60));
  for (const char* id : {"a", "b", "c"}) {
    cr_assert_not(fleet.engines.find(EngineId(id))->profile.exceeds_gap(kGapTarget), "%s", id);
  }
}

Test(engine_profile, late_streams_of_a_tighter_route_do_not_count_for_another) {
  Fleet fleet(EngineStage::kDecode);
  fleet.observe("a", streams(40, 60, 150, 20));
  fleet.observe("b", streams(200, 60, 51, 0));
  fleet.engines.expire_peer_load(kNow);
  const EngineProfile& profile = fleet.engines.find(EngineId("a"))->profile;
  cr_assert(profile.exceeds_gap(kGapTarget));
  cr_assert_not(profile.exceeds_gap(1s));
  cr_assert_not(profile.exceeds_gap(Duration::zero()), "the route has no gap target");
}

Test(engine_profile, waiting_that_no_node_knew_of_does_not_make_all_engines_slow) {
  // Such waiting raises the samples of all engines alike.
  Fleet fleet(EngineStage::kPrefill);
  const double usual = fleet.expected_ms_at("a");
  for (const char* id : {"a", "b", "c"}) fleet.observe(id, prefills(50, 170));
  cr_assert_float_eq(fleet.expected_ms_at("a"), usual, 1e-9);
}

Test(engine_profile, prefers_the_faster_engine_for_streams) {
  // Without recent samples of this node all decode engines had the same cost.
  for (const char* fast : {"a", "b", "c"}) {
    Fleet fleet(EngineStage::kDecode);
    fleet.engines.model_of(fleet.service.name).on_event_interval(50ms);
    for (const char* id : {"a", "b", "c"}) {
      fleet.observe(id, streams(60, std::string(id) == fast ? 35 : 70, 80, 0));
    }
    fleet.engines.expire_peer_load(kNow);
    cr_assert_eq(fleet.choose()->engine.value(), fast);
  }
}

Test(engine_profile, present_slowdown_counts_for_a_fraction_of_a_second) {
  Fleet fleet(EngineStage::kPrefill);
  const double usual = fleet.expected_ms_at("a");
  fleet.engines.on_load(kNow - 200ms, EngineId("a"), {0, 0, 8, 250});
  cr_assert_float_eq(fleet.expected_ms_at("a") / usual, 2.5, 1e-6);
  fleet.engines.on_load(kNow - 400ms, EngineId("a"), {0, 0, 8, 250});
  cr_assert_float_eq(fleet.expected_ms_at("a"), usual, 1e-9);
  EngineSamples told;
  told.slowdown_percent = 250;
  fleet.observe("a", told);
  cr_assert_float_eq(fleet.expected_ms_at("a") / usual, 2.5, 1e-6);
}

Test(engine_profile, forgets_slowly) {
  Fleet fleet(EngineStage::kPrefill);
  fleet.observe("a", prefills(60, 300));
  fleet.observe("b", prefills(60, 100));
  fleet.engines.expire_peer_load(kNow + 10s);
  const EngineProfile& profile = fleet.engines.find(EngineId("a"))->profile;
  cr_assert_gt(profile.prefill_factor(), 1.35);
  // The others go on, while this engine is not used.
  for (int seconds = 30; seconds <= 300; seconds += 30) {
    fleet.engines.on_samples(kNow + std::chrono::seconds(seconds), EngineId("b"),
                             prefills(60, 100));
  }
  fleet.engines.expire_peer_load(kNow + 300s);
  cr_assert_float_eq(profile.prefill_factor(), 1, 1e-9);
}

Test(engine_profile, bounds_absurd_samples) {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  Fleet fleet(EngineStage::kPrefill);
  const double usual = fleet.expected_ms_at("a");
  for (const char* id : {"b", "c"}) {
    for (int i = 0; i < 20; ++i) fleet.observe(id, prefills(900, 100));
  }
  for (const EngineSamples& forged :
       {EngineSamples{1, kMax, 1, kMax, kMax, kMax, kMax}, EngineSamples{kMax, 0, kMax, 0, 0, 0, 1},
        EngineSamples{0, kMax, 0, kMax, kMax, kMax, 0}}) {
    fleet.observe("a", forged);
    const double ratio = fleet.expected_ms_at("a") / usual;
    cr_assert_geq(ratio, 0.2 * 0.2 - 1e-6, "%f", ratio);
    cr_assert_leq(ratio, 5.0 * 5.0 + 1e-6, "%f", ratio);
    cr_assert_leq(fleet.engines.find(EngineId("a"))->profile.late_share(), 1);
  }
}

Test(engine_profile, new_incarnation_begins_anew) {
  Fleet fleet(EngineStage::kPrefill);
  fleet.observe("a", prefills(60, 200));
  fleet.observe("b", prefills(60, 100));
  EngineRecord restarted = engine("a", EngineStage::kPrefill);
  restarted.name = "a";
  restarted.started_unix_ms = 1000;
  restarted.id = incarnation_id("a", 1000);
  fleet.engines.upsert(restarted);
  cr_assert_null(fleet.engines.find(EngineId("a")));
  cr_assert_not(fleet.engines.find(restarted.id)->profile.known());
  cr_assert_eq(fleet.engines.find(restarted.id)->profile.prefill_factor(), 1);
}

Test(engine_profile, starting_node_takes_over_accumulated_samples) {
  Fleet peer(EngineStage::kPrefill);
  peer.observe("a", prefills(60, 200));
  peer.observe("a", streams(40, 60, 150, 14));
  peer.observe("b", prefills(90, 100));
  peer.observe("b", streams(70, 60, 51, 0));
  peer.engines.expire_peer_load(kNow);
  Fleet starting(EngineStage::kPrefill);
  for (const auto& [id, view] : peer.engines.all()) {
    starting.engines.on_samples(kNow, id, view.profile.samples(kNow));
  }
  starting.engines.expire_peer_load(kNow);
  const EngineProfile& learned = starting.engines.find(EngineId("a"))->profile;
  const EngineProfile& original = peer.engines.find(EngineId("a"))->profile;
  cr_assert_float_eq(learned.prefill_factor(), original.prefill_factor(), 1e-3);
  cr_assert_float_eq(learned.longest_gap_ms(), original.longest_gap_ms(), 0.1);
  cr_assert(learned.exceeds_gap(kGapTarget));
}

Test(engine_profile, learns_the_speeds_of_a_mixed_service_despite_waiting_and_slowdowns) {
  // Two thirds of the engines are slow, 15% of prefills meet a slowdown of 2.5, and a quarter wait
  // for work that no node knew of.
  constexpr double kUsualMs = 100;
  const std::map<std::string, double> speeds{{"a", 0.7}, {"b", 0.7}, {"c", 1.7}};
  Fleet fleet(EngineStage::kPrefill);
  std::map<std::string, double> sums;
  double all = 0;
  std::uint64_t draws = 0;
  const auto draw = [&] { return hash_fraction("draw", ++draws); };
  constexpr int kPrefills = 200;
  for (int i = 0; i < kPrefills; ++i) {
    for (const auto& [id, speed] : speeds) {
      const bool slowed = draw() < 0.15;
      const double own_ms = kUsualMs / speed;
      const double unknown_wait_ms = draw() < 0.25 ? own_ms * draw() : 0;
      const double took_ms = (own_ms + unknown_wait_ms) * (slowed ? 2.5 : 1);
      const auto sample =
          prefill_sample({kUsualMs, 0, from_seconds(took_ms / 1000), 0, slowed ? 250U : 100U});
      fleet.engines.on_samples(kNow + i * 100ms, EngineId(id), *sample);
      sums[id] += own_ms;
      all += own_ms;
    }
  }
  fleet.engines.expire_peer_load(kNow + kPrefills * 100ms);
  for (const auto& [id, sum] : sums) {
    const double actual = sum / (all / static_cast<double>(speeds.size()));
    const double factor = fleet.engines.find(EngineId(id))->profile.prefill_factor();
    cr_assert_geq(actual / factor, 0.8, "%s: %f", id.c_str(), actual / factor);
    cr_assert_leq(actual / factor, 1.25, "%s: %f", id.c_str(), actual / factor);
  }
}
