// Guard against placement that takes all engines of a service for alike: streams at engines whose
// pauses exceed the route's gap target, and expected prefill times wrong by the engine's factor.
#include <criterion/criterion.h>

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
