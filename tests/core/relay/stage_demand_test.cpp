#include "core/relay/stage_demand.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kTick = 400ms;

/// Adds samples of constant work, one for each tick. @return the time of the last one.
MonotonicTime sample(StageDemand& demand, MonotonicTime now, int ticks, const StageAmounts& work,
                     std::size_t engines = 100) {
  for (int i = 0; i < ticks; ++i) {
    now += kTick;
    demand.observe(now, {work, engines, true, true});
  }
  return now;
}

EngineRecord engine_record(const std::string& id, EngineStage stage) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = ServiceName("model");
  record.address = id + ":1";
  record.slots = 16;
  record.stage = stage;
  return record;
}

}  // namespace

Test(stage_demand, measures_busy_engines_backlog_and_slots) {
  EngineDirectory engines;
  for (const char* id : {"p0", "p1", "p2"}) {
    engines.upsert(engine_record(id, EngineStage::kPrefill));
  }
  for (const char* id : {"d0", "d1"}) engines.upsert(engine_record(id, EngineStage::kDecode));
  engines.on_peer_load(kStart, NodeId("peer"),
                       {{EngineId("p0"), {1, 1000, 0}},
                        {EngineId("p1"), {4, 40000, 0}},
                        {EngineId("d0"), {8, 0, 0}},
                        {EngineId("d1"), {24, 0, 0}}});
  const EngineModel model;
  const StageLoad load =
      measure_stage_load(kStart, engines.find_by_service(ServiceName("model")), model);
  const double backlog = 30000 * model.prefill().token_ms() / 1000;
  cr_assert_float_eq(load.work.prefill, 2 + backlog, 1e-6, "%f", load.work.prefill);
  cr_assert_float_eq(load.work.decode, 2, 1e-6, "slots taken and requests that wait: %f",
                     load.work.decode);
  cr_assert_eq(load.engines, 5);
  cr_assert(load.peer_load_present);
}

Test(stage_demand, remembers_the_heaviest_seconds_of_each_stage_for_15_s) {
  StageDemand demand;
  MonotonicTime now = sample(demand, kStart, 10, {10, 30});
  now = sample(demand, now, 10, {30, 10});
  cr_assert_float_eq(demand.heaviest().prefill, 30, 0.1);
  cr_assert_float_eq(demand.heaviest().decode, 30, 0.1);
  cr_assert_float_eq(demand.recent().decode, 10, 0.1);
  sample(demand, now, 45, {12, 12});
  cr_assert_float_eq(demand.heaviest().prefill, 12, 0.1, "%f", demand.heaviest().prefill);
  cr_assert_float_eq(demand.heaviest().decode, 12, 0.1);
}

Test(stage_demand, starts_anew_after_a_gap_or_a_missing_view) {
  // Guards against deciding by the load of a time at which another node held the lease.
  StageDemand demand;
  MonotonicTime now = sample(demand, kStart, 20, {10, 30});
  cr_assert_geq(demand.history().count(), Duration(7s).count());
  now = sample(demand, now + 5s, 1, {10, 10});
  cr_assert_eq(demand.history().count(), 0);
  now = sample(demand, now, 20, {10, 30});
  demand.observe(now + kTick, {{1, 1}, 100, true, false});
  cr_assert_eq(demand.history().count(), 0);
  cr_assert(demand.any_request_seen());
}

Test(stage_demand, notices_when_a_tenth_of_the_engines_goes_at_once) {
  StageDemand demand;
  MonotonicTime now = sample(demand, kStart, 10, {10, 30}, 100);
  now = sample(demand, now, 1, {10, 30}, 91);
  cr_assert_not(demand.engines_lost());
  now = sample(demand, now, 1, {10, 30}, 90);
  cr_assert(demand.engines_lost());
  sample(demand, now, 10, {10, 30}, 90);
  cr_assert_not(demand.engines_lost(), "it was some seconds ago");
}
