#include "core/relay/stage_planner.hpp"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kTick = 400ms;  // Of the lease holder.
constexpr std::uint32_t kSlots = 16;
const ServiceName kService("model");

/// One service whose engines have the load that a test sets, and a planner that is asked each tick.
struct PlannedFleet {
  explicit PlannedFleet(const StagePlannerSettings& settings = {}) : planner(settings) {
    RelayedService service;
    service.name = kService;
    service.model.emplace();
    RouteConfiguration configuration;
    configuration.services = {service};
    table = std::make_unique<RouteTable>(configuration);
  }

  void add(const std::string& prefix, int count, EngineStage stage) {
    for (int i = 0; i < count; ++i) {
      EngineRecord record;
      record.id = EngineId(prefix + std::to_string(i));
      record.service = kService;
      record.address = record.id.value() + ":1";
      record.slots = kSlots;
      record.stage = stage;
      engines.upsert(record);
    }
  }

  std::vector<EngineId> in_stage(EngineStage stage) const {
    std::vector<EngineId> ids;
    for (const auto& [id, engine] : engines.all()) {
      if (engine.record.stage == stage) ids.push_back(id);
    }
    return ids;
  }

  int count(EngineStage stage) const { return static_cast<int>(in_stage(stage).size()); }

  /// Lets the first `busy` prefill engines have one prompt each, and all decode engines `streams`.
  void set_load(int busy, std::uint32_t streams) {
    std::map<EngineId, PeerLoad> load;
    for (const EngineId& id : in_stage(EngineStage::kPrefill)) {
      if (busy-- > 0) load[id] = {1, 2000, 0};
    }
    for (const EngineId& id : in_stage(EngineStage::kDecode)) load[id] = {streams, 0, 0};
    engines.on_peer_load(now, NodeId("peer"), load);
  }

  /// Removes the first `count` engines of a stage.
  void lose(EngineStage stage, int count) {
    const auto ids = in_stage(stage);
    for (int i = 0; i < count; ++i) engines.remove(ids.at(static_cast<std::size_t>(i)));
  }

  /// Advances one tick, collects the orders and carries them out at once.
  std::vector<StageChange> tick() {
    now += kTick;
    std::vector<StageChange> orders;
    while (const auto change = planner.next(now, engines, *table)) {
      orders.push_back(*change);
      EngineRecord record = engines.find(change->engine)->record;
      record.stage = change->stage;
      engines.upsert(record);
    }
    return orders;
  }

  /// Runs under constant load. @return the orders to the stage and, second, to the other one.
  std::pair<int, int> run(Duration length, int busy, std::uint32_t streams, EngineStage stage) {
    std::pair<int, int> counts;
    for (const MonotonicTime end = now + length; now < end;) {
      set_load(busy, streams);
      for (const StageChange& order : tick()) {
        ++(order.stage == stage ? counts.first : counts.second);
      }
    }
    return counts;
  }

  EngineDirectory engines;
  std::unique_ptr<RouteTable> table;
  StagePlanner planner;
  MonotonicTime now = kStart;
};

}  // namespace

Test(stage_planner, a_loss_that_fills_the_decode_engines_moves_prefill_engines_there) {
  // Guards against planning by a constant share: after two zones of spot engines were reclaimed,
  // 20 engines were ordered from decode to prefill while decode engines were full and prefill
  // engines mostly idle.
  PlannedFleet fleet;
  fleet.add("p", 79, EngineStage::kPrefill);
  fleet.add("d", 62, EngineStage::kDecode);
  const auto before = fleet.run(20s, 14, 6, EngineStage::kDecode);
  cr_assert_eq(before.first + before.second, 0, "neither stage is short");
  fleet.lose(EngineStage::kPrefill, 41);
  fleet.lose(EngineStage::kDecode, 22);
  const auto after = fleet.run(4s, 14, 17, EngineStage::kDecode);
  cr_assert_eq(after.second, 0, "%d orders from decode to prefill", after.second);
  cr_assert_geq(after.first, 4, "%d orders from prefill to decode", after.first);
}
