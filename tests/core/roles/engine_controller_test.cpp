#include "core/roles/engine_controller.hpp"

#include <map>
#include <random>

#include "core/roles/role_assignment.hpp"
#include "standin/engine_emulator.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

const std::vector<ModelSpec> kModels{{"m", "1", {}}};

/// Engines under one controller; commands and answers may be lost.
struct ControllerFixture {
  std::map<EngineId, EngineEmulator> engines;
  EngineController controller;
  MonotonicTime now{};
  std::function<bool()> drop_message = [] { return false; };

  explicit ControllerFixture(int count, Fence fence = 1) : controller(fence, ControllerSettings{}) {
    std::vector<EngineId> names;
    for (int i = 0; i < count; ++i) {
      names.emplace_back("e" + std::to_string(i));
      engines.emplace(names.back(), EngineEmulator(EngineCosts{}, kModels));
    }
    controller.configure(names, kModels, 30s);
  }

  void run(Duration duration) {
    for (const MonotonicTime end = now + duration; now < end; now += 50ms) {
      for (auto& [name, engine] : engines) engine.advance(now);
      for (const ControlCommand& command : controller.poll(now)) execute(command);
    }
  }

  void execute(const ControlCommand& command) {
    const EngineId name = std::visit([](const auto& c) { return c.engine; }, command);
    if (drop_message()) return controller.on_no_answer(now, name);
    EngineEmulator& engine = engines.at(name);
    OrderVerdict verdict = OrderVerdict::kRepeated;
    if (const auto* claim = std::get_if<ClaimEngine>(&command))
      verdict = engine.claim(claim->fence);
    if (const auto* order = std::get_if<SendOrder>(&command))
      verdict = engine.order(now, order->order);
    if (drop_message()) return controller.on_no_answer(now, name);
    if (verdict == OrderVerdict::kStale) return controller.on_stale_fence(name);
    controller.on_state(now, name, engine.state());
  }

  EngineJob job(int number, std::uint32_t tokens) const {
    EngineJob job;
    job.request = RequestId("r" + std::to_string(number));
    job.attempt = AttemptId("r" + std::to_string(number) + ".1");
    job.model = "m";
    job.output_tokens = tokens;
    return job;
  }
};

}  // namespace

Test(engine_controller, changes_a_role_and_counts_it_once) {
  ControllerFixture fixture(4);
  fixture.run(3s);
  fixture.controller.set_wanted_role(EngineId("e1"), EngineRole::kPrefill);
  fixture.run(10s);
  cr_assert_eq(fixture.engines.at(EngineId("e1")).state().role, EngineRole::kPrefill);
  cr_assert_eq(fixture.controller.role_changes(), 1);
  cr_assert_eq(fixture.engines.at(EngineId("e1")).role_changes(), 1);
  cr_assert(fixture.engines.at(EngineId("e1")).state().desired.accepting);
}

Test(engine_controller, waits_for_requests_in_flight) {
  ControllerFixture fixture(4);
  fixture.run(3s);
  EngineEmulator& engine = fixture.engines.at(EngineId("e1"));
  engine.submit(fixture.now, fixture.job(1, 300));
  fixture.controller.set_wanted_role(EngineId("e1"), EngineRole::kPrefill);
  fixture.run(3s);
  cr_assert_eq(engine.submit(fixture.now, fixture.job(2, 5)), SubmitResult::kNotAccepting);
  cr_assert_eq(engine.state().role, EngineRole::kMixed);
  fixture.run(15s);
  cr_assert_eq(engine.state().role, EngineRole::kPrefill);
  cr_assert_eq(engine.interrupted_by_change(), 0);
}

Test(engine_controller, postpones_a_change_when_the_drain_times_out) {
  ControllerFixture fixture(4);
  fixture.run(3s);
  EngineEmulator& engine = fixture.engines.at(EngineId("e1"));
  engine.submit(fixture.now, fixture.job(1, 2500));
  fixture.controller.set_wanted_role(EngineId("e1"), EngineRole::kPrefill);
  fixture.run(35s);
  cr_assert_eq(fixture.controller.drain_timeouts(), 1);
  cr_assert(engine.state().desired.accepting);
  cr_assert_eq(engine.submit(fixture.now, fixture.job(2, 5)), SubmitResult::kAccepted);
  cr_assert_eq(engine.interrupted_by_change(), 0);
}

Test(engine_controller, completes_the_drain_of_a_failed_predecessor) {
  ControllerFixture fixture(2);
  EngineEmulator& engine = fixture.engines.at(EngineId("e0"));
  engine.claim(1);
  engine.order(fixture.now, {{1, 1}, {EngineRole::kMixed, kModels, false}});
  fixture.controller = EngineController(2, ControllerSettings{});
  fixture.controller.configure({EngineId("e0"), EngineId("e1")}, kModels, 30s);
  fixture.run(5s);
  cr_assert(engine.state().desired.accepting);
  cr_assert_eq(engine.submit(fixture.now, fixture.job(1, 5)), SubmitResult::kAccepted);
}

Test(engine_controller, counters_continue_after_a_lease_lapse_so_that_new_facts_are_newer) {
  ControllerFixture fixture(2);
  fixture.run(3s);
  fixture.controller.set_wanted_role(EngineId("e1"), EngineRole::kPrefill);
  fixture.run(1s);
  const auto before = fixture.controller.facts();
  fixture.controller = EngineController(1, ControllerSettings{}, fixture.controller.counters());
  fixture.controller.configure({EngineId("e0"), EngineId("e1")}, kModels, 30s);
  fixture.engines.at(EngineId("e0")).restart(fixture.now);
  fixture.run(10s);
  for (const EngineFact& fact : fixture.controller.facts()) {
    for (const EngineFact& old : before) {
      if (fact.engine == old.engine) cr_assert(is_newer(fact, old));
    }
  }
}

Test(engine_controller, stops_after_a_higher_fence) {
  ControllerFixture fixture(2);
  fixture.run(3s);
  fixture.engines.at(EngineId("e0")).claim(7);
  fixture.run(5s);
  cr_assert(fixture.controller.superseded());
}

Test(engine_controller, limits_the_engines_in_change_at_once) {
  ControllerFixture fixture(8);
  fixture.run(3s);
  for (const auto& [name, engine] : fixture.engines)
    fixture.controller.set_wanted_role(name, EngineRole::kDecode);
  for (int i = 0; i < 400; ++i) {
    fixture.run(100ms);
    const auto changing =
        std::count_if(fixture.engines.begin(), fixture.engines.end(), [](const auto& entry) {
          const EngineState state = entry.second.state();
          return state.change_in_progress || !state.desired.accepting;
        });
    cr_assert_leq(changing, 2);
  }
  cr_assert_eq(fixture.controller.role_changes(), 8);
}

Test(engine_controller, reaches_every_role_despite_lost_messages_and_crashes) {
  SHUNTBANK_PROPERTY("reaches the wanted roles without interrupting requests", [] {
    ControllerFixture fixture(3);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    bool network_healthy = false;
    fixture.drop_message = [&] { return !network_healthy && random() % 5 == 0; };
    int number = 0;
    std::map<EngineId, EngineRole> wanted;
    for (int i = 0; i < 60; ++i) {
      fixture.run(500ms);
      const EngineId engine("e" + std::to_string(random() % 3));
      fixture.engines.at(engine).submit(fixture.now, fixture.job(++number, 1 + random() % 60));
      if (random() % 8 == 0) {
        wanted[engine] = random() % 2 == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
        fixture.controller.set_wanted_role(engine, wanted[engine]);
      }
      if (random() % 25 == 0) fixture.engines.at(engine).restart(fixture.now);
    }
    network_healthy = true;
    fixture.run(120s);
    for (const auto& [engine, role] : wanted) {
      RC_ASSERT(fixture.engines.at(engine).state().role == role);
    }
    for (const auto& [name, engine] : fixture.engines) {
      RC_ASSERT(engine.interrupted_by_change() == 0U);
      RC_ASSERT(engine.state().desired.accepting);
    }
  });
}

Test(role_planner, moves_engines_to_the_short_role_and_then_stays) {
  RolePlanner planner(PlannerSettings{});
  MonotonicTime now{};
  for (int i = 0; i < 60; ++i) planner.observe(now += 1s, {30'000, 2'000});
  const RolePlan plan = planner.plan(9, 2);
  cr_assert_geq(plan.prefill_engines, 4);
  cr_assert_gt(plan.expected_gain, plan.expected_cost);
  const RolePlan stay = planner.plan(9, plan.prefill_engines);
  cr_assert_eq(stay.prefill_engines, plan.prefill_engines);
}

Test(role_planner, an_expensive_change_needs_a_larger_gain) {
  PlannerSettings expensive;
  expensive.role_change_cost = 1000;
  RolePlanner planner(expensive);
  MonotonicTime now{};
  for (int i = 0; i < 60; ++i) planner.observe(now += 1s, {30'000, 2'000});
  cr_assert_eq(planner.plan(9, 2).prefill_engines, 2);
}
