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

/// Engines under one controller; commands may be lost on the way there or back.
struct Site {
  std::map<EngineId, EngineEmulator> engines;
  EngineController controller;
  MonotonicTime now{};
  std::function<bool()> lose = [] { return false; };

  explicit Site(int count, Fence fence = 1) : controller(fence, ControllerSettings{}) {
    std::vector<EngineId> names;
    for (int i = 0; i < count; ++i) {
      names.emplace_back("e" + std::to_string(i));
      engines.emplace(names.back(), EngineEmulator(EngineCosts{}, kModels));
    }
    controller.configure(names, kModels, 30s);
  }

  void run(Duration length) {
    for (const MonotonicTime end = now + length; now < end; now += 50ms) {
      for (auto& [name, engine] : engines) engine.advance(now);
      for (const ControlCommand& command : controller.poll(now)) execute(command);
    }
  }

  void execute(const ControlCommand& command) {
    const EngineId name = std::visit([](const auto& c) { return c.engine; }, command);
    if (lose()) return controller.on_no_answer(now, name);
    EngineEmulator& engine = engines.at(name);
    OrderVerdict verdict = OrderVerdict::kRepeated;
    if (const auto* claim = std::get_if<ClaimEngine>(&command))
      verdict = engine.claim(claim->fence);
    if (const auto* order = std::get_if<SendOrder>(&command))
      verdict = engine.order(now, order->order);
    if (lose()) return controller.on_no_answer(now, name);
    if (verdict == OrderVerdict::kStale) return controller.on_stale(name);
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
  Site site(4);
  site.run(3s);
  site.controller.want_role(EngineId("e1"), EngineRole::kPrefill);
  site.run(10s);
  cr_assert_eq(site.engines.at(EngineId("e1")).state().role, EngineRole::kPrefill);
  cr_assert_eq(site.controller.role_changes(), 1);
  cr_assert_eq(site.engines.at(EngineId("e1")).role_changes(), 1);
  cr_assert(site.engines.at(EngineId("e1")).state().desired.accepting);
}

Test(engine_controller, waits_for_requests_in_flight) {
  Site site(4);
  site.run(3s);
  EngineEmulator& engine = site.engines.at(EngineId("e1"));
  engine.submit(site.now, site.job(1, 300));
  site.controller.want_role(EngineId("e1"), EngineRole::kPrefill);
  site.run(3s);
  cr_assert_eq(engine.submit(site.now, site.job(2, 5)), SubmitResult::kNotAccepting);
  cr_assert_eq(engine.state().role, EngineRole::kMixed);
  site.run(15s);
  cr_assert_eq(engine.state().role, EngineRole::kPrefill);
  cr_assert_eq(engine.interrupted_by_change(), 0);
}

Test(engine_controller, puts_off_a_change_whose_drain_takes_too_long) {
  Site site(4);
  site.run(3s);
  EngineEmulator& engine = site.engines.at(EngineId("e1"));
  engine.submit(site.now, site.job(1, 2500));
  site.controller.want_role(EngineId("e1"), EngineRole::kPrefill);
  site.run(35s);
  cr_assert_eq(site.controller.put_off(), 1);
  cr_assert(engine.state().desired.accepting);
  cr_assert_eq(engine.submit(site.now, site.job(2, 5)), SubmitResult::kAccepted);
  cr_assert_eq(engine.interrupted_by_change(), 0);
}

Test(engine_controller, takes_up_the_drain_of_a_holder_that_died) {
  Site site(2);
  EngineEmulator& engine = site.engines.at(EngineId("e0"));
  engine.claim(1);
  engine.order(site.now, {{1, 1}, {EngineRole::kMixed, kModels, false}});
  site.controller = EngineController(2, ControllerSettings{});
  site.controller.configure({EngineId("e0"), EngineId("e1")}, kModels, 30s);
  site.run(5s);
  cr_assert(engine.state().desired.accepting);
  cr_assert_eq(engine.submit(site.now, site.job(1, 5)), SubmitResult::kAccepted);
}

Test(engine_controller, numbers_go_on_after_a_lapse_so_that_nodes_believe_new_facts) {
  Site site(2);
  site.run(3s);
  site.controller.want_role(EngineId("e1"), EngineRole::kPrefill);
  site.run(1s);
  const auto before = site.controller.facts();
  site.controller = EngineController(1, ControllerSettings{}, site.controller.counters());
  site.controller.configure({EngineId("e0"), EngineId("e1")}, kModels, 30s);
  site.engines.at(EngineId("e0")).restart(site.now);
  site.run(10s);
  for (const EngineFact& fact : site.controller.facts()) {
    for (const EngineFact& old : before) {
      if (fact.engine == old.engine) cr_assert(is_newer(fact, old));
    }
  }
}

Test(engine_controller, gives_way_to_a_higher_fence) {
  Site site(2);
  site.run(3s);
  site.engines.at(EngineId("e0")).claim(7);
  site.run(5s);
  cr_assert(site.controller.superseded());
}

Test(engine_controller, never_has_more_engines_out_than_its_cap) {
  Site site(8);
  site.run(3s);
  for (const auto& [name, engine] : site.engines)
    site.controller.want_role(name, EngineRole::kDecode);
  for (int i = 0; i < 400; ++i) {
    site.run(100ms);
    const auto out = std::count_if(site.engines.begin(), site.engines.end(), [](const auto& entry) {
      const EngineState state = entry.second.state();
      return state.changing || !state.desired.accepting;
    });
    cr_assert_leq(out, 2);
  }
  cr_assert_eq(site.controller.role_changes(), 8);
}

Test(engine_controller, reaches_every_role_through_losses_and_crashes_and_cuts_nothing) {
  SHUNTBANK_PROPERTY("settles, and cuts nothing", [] {
    Site site(3);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    bool quiet = false;
    site.lose = [&] { return !quiet && random() % 5 == 0; };
    int number = 0;
    std::map<EngineId, EngineRole> wanted;
    for (int i = 0; i < 60; ++i) {
      site.run(500ms);
      const EngineId engine("e" + std::to_string(random() % 3));
      site.engines.at(engine).submit(site.now, site.job(++number, 1 + random() % 60));
      if (random() % 8 == 0) {
        wanted[engine] = random() % 2 == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
        site.controller.want_role(engine, wanted[engine]);
      }
      if (random() % 25 == 0) site.engines.at(engine).restart(site.now);
    }
    quiet = true;
    site.run(120s);
    for (const auto& [engine, role] : wanted) {
      RC_ASSERT(site.engines.at(engine).state().role == role);
    }
    for (const auto& [name, engine] : site.engines) {
      RC_ASSERT(engine.interrupted_by_change() == 0U);
      RC_ASSERT(engine.state().desired.accepting);
    }
  });
}

Test(role_planner, moves_engines_where_demand_is_and_not_for_little) {
  RolePlanner planner(PlannerSettings{});
  MonotonicTime now{};
  for (int i = 0; i < 60; ++i) planner.observe(now += 1s, {30'000, 2'000});
  const RolePlan plan = planner.plan(9, 2);
  cr_assert_geq(plan.prefill_engines, 4);
  cr_assert_gt(plan.expected_gain, plan.expected_cost);
  const RolePlan stay = planner.plan(9, plan.prefill_engines);
  cr_assert_eq(stay.prefill_engines, plan.prefill_engines);
}

Test(role_planner, a_dear_change_needs_a_larger_gain) {
  PlannerSettings dear;
  dear.role_change_cost = 1000;
  RolePlanner planner(dear);
  MonotonicTime now{};
  for (int i = 0; i < 60; ++i) planner.observe(now += 1s, {30'000, 2'000});
  cr_assert_eq(planner.plan(9, 2).prefill_engines, 2);
}
