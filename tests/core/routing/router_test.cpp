#include "core/routing/router.hpp"

#include <map>

#include "core/routing/engine_facts.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

struct RouterFixture {
  EngineTable table;
  std::vector<EngineId> engines;
  MonotonicTime now = MonotonicTime{} + 1h;

  explicit RouterFixture(int count) {
    for (int i = 0; i < count; ++i) {
      engines.emplace_back("e" + std::to_string(i));
      table.upsert(engines.back(), ZoneName("z" + std::to_string(i % 3)));
    }
  }

  RouteQuery query() const {
    RouteQuery query;
    query.engines = &engines;
    query.prompt_tokens = 1000;
    query.zone = ZoneName("z0");
    return query;
  }
};

EngineFact fact(const std::string& engine, Fence fence, std::uint32_t version,
                Availability availability) {
  EngineFact fact;
  fact.engine = EngineId(engine);
  fact.stamp = {fence, 0};
  fact.version = version;
  fact.availability = availability;
  return fact;
}

}  // namespace

Test(router, never_chooses_an_engine_that_is_not_eligible) {
  SHUNTBANK_PROPERTY("an eligible engine or none, for every strategy", [] {
    RouterFixture fixture(*rc::gen::inRange(1, 12));
    std::map<EngineId, bool> usable;
    for (const EngineId& engine : fixture.engines) {
      EngineEntry& entry = *fixture.table.find(engine);
      entry.availability = *rc::gen::element(Availability::kServing, Availability::kDraining,
                                             Availability::kChanging, Availability::kDown);
      entry.machine_draining =
          *rc::gen::weightedOneOf<bool>({{4, rc::gen::just(false)}, {1, rc::gen::just(true)}});
      if (*rc::gen::inRange(0, 4) == 0) fixture.table.on_failure(fixture.now, engine);
      entry.role = *rc::gen::element(EngineRole::kMixed, EngineRole::kDecode);
      usable[engine] = entry.availability == Availability::kServing && !entry.machine_draining &&
                       !entry.backoff_until && entry.role == EngineRole::kMixed;
    }
    RoutingSettings settings;
    settings.strategy =
        *rc::gen::element(RoutingStrategy::kRoundRobin, RoutingStrategy::kLeastInFlight,
                          RoutingStrategy::kPowerOfTwoChoices, RoutingStrategy::kPrefixAffinity);
    RouteQuery query = fixture.query();
    query.any_role = false;
    const auto chosen = Router(settings, 1).choose(fixture.now, fixture.table, query);
    const bool any = std::any_of(usable.begin(), usable.end(), [](auto& u) { return u.second; });
    RC_ASSERT(chosen.has_value() == any);
    if (chosen) RC_ASSERT(usable.at(*chosen));
  });
}

Test(router, uses_an_excluded_engine_only_when_no_other_is_eligible) {
  RouterFixture fixture(2);
  Router router({}, 1);
  const std::vector<EngineId> excluded{EngineId("e0")};
  RouteQuery query = fixture.query();
  query.excluded_engines = &excluded;
  for (int i = 0; i < 20; ++i)
    cr_assert_eq(router.choose(fixture.now, fixture.table, query)->value(), "e1");
  fixture.table.find(EngineId("e1"))->availability = Availability::kDown;
  cr_assert_eq(router.choose(fixture.now, fixture.table, query)->value(), "e0");
}

Test(router, prefers_the_engine_that_cached_the_prompt_until_it_is_loaded) {
  RouterFixture fixture(12);
  Router router({}, 1);
  const auto blocks = prefix_blocks(std::string(4000, 'x'));
  RouteQuery query = fixture.query();
  query.prefix = &blocks;
  const EngineId first = *router.choose(fixture.now, fixture.table, query);
  fixture.table.find(first)->cached_prefixes.insert(blocks);
  cr_assert_eq(*router.choose(fixture.now, fixture.table, query), first);
  // A cache hit does not outweigh a long queue.
  fixture.table.find(first)->in_flight_prefill_tokens = 100'000;
  cr_assert_neq(*router.choose(fixture.now, fixture.table, query), first);
}

Test(router, expected_wait_decays_with_the_age_of_the_report) {
  RouterFixture fixture(1);
  const Router router({}, 1);
  fixture.table.on_load_report(fixture.now, fixture.engines[0], {40, 10, 8000});
  const EngineEntry& entry = *fixture.table.find(fixture.engines[0]);
  const double fresh = router.expected_wait(fixture.now, entry, fixture.query());
  const double stale = router.expected_wait(fixture.now + 60s, entry, fixture.query());
  cr_assert_gt(fresh, 1.0);
  cr_assert_lt(stale, 0.2);
}

Test(engine_facts, the_newest_fact_wins_in_any_order) {
  SHUNTBANK_PROPERTY("same facts, same digest", [] {
    std::vector<EngineFact> facts;
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
      facts.push_back(fact("e" + std::to_string(*rc::gen::inRange(0, 3)),
                           *rc::gen::inRange<Fence>(1, 3), static_cast<std::uint32_t>(i),
                           Availability::kServing));
    }
    EngineFacts forward;
    EngineFacts backward;
    for (const EngineFact& one : facts) forward.merge({one}, 3);
    for (auto one = facts.rbegin(); one != facts.rend(); ++one) backward.merge({*one}, 3);
    RC_ASSERT(forward.digest() == backward.digest());
    RC_ASSERT(forward.all() == backward.all());
  });
}

Test(engine_facts, each_fact_is_sent_a_bounded_number_of_times) {
  EngineFacts facts;
  facts.merge({fact("e", 1, 1, Availability::kDraining)}, 370);
  int sent = 0;
  while (!facts.facts_to_send(4).empty()) ++sent;
  cr_assert_eq(sent, 27);
}

Test(prefix_cache, matches_leading_blocks_only_and_stays_bounded) {
  PrefixCache cache(8);
  const auto blocks = prefix_blocks(std::string(2000, 'a'));
  cache.insert(blocks);
  cr_assert_eq(cache.longest_match(blocks), 7);
  cache.erase({blocks[3]});
  cr_assert_eq(cache.longest_match(blocks), 3);
  for (char c = 'b'; c < 'z'; ++c) cache.insert(prefix_blocks(std::string(1000, c)));
  cr_assert_leq(cache.size(), 8);
}
