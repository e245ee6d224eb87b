/// Guards against nodes of a large fleet that go on using engines which the store has listed as
/// draining or no longer lists.
#include <criterion/criterion.h>

#include "relay/engine_update_bound.hpp"
#include "relay/support/catalog_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kDrainTime = 5s;

/// The bound of the settings, with a message between nodes lost.
const Duration kChangeTime =
    relay::engine_update_bound(relay::CatalogSettings{}, relay::LoadExchangeSettings{}) + 200ms;

/// The store's link carries all lists within a second.
const CatalogFleetSizes kFastStore = {40, 400, 500, 20'000'000, 20s, 1, kDrainTime};

}  // namespace

// Guards against a list of engines that takes longer than the store's history, again and again.
Test(engine_list_fleet, learns_of_draining_engines_when_lists_outlast_the_store_history) {
  CatalogFleet fleet({.drain_time = kDrainTime});
  fleet.advance(90s);
  cr_assert_eq(fleet.nodes_using(0), fleet.sizes.nodes, "all nodes know the engine");
  fleet.write(0, true);
  fleet.advance(kDrainTime);
  cr_assert_eq(fleet.nodes_using(0), 0, "%zu of %zu nodes still use the engine",
               fleet.nodes_using(0), fleet.sizes.nodes);
}

// Guards against a hint that is dropped while a timer runs or a replica answers with old changes.
Test(engine_list_fleet, learns_of_draining_engines_while_replicas_lag) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  fleet.nodes.store.replica_revision = fleet.nodes.store.revision();
  fleet.advance(5s);
  fleet.write(0, true);
  fleet.advance(kChangeTime);
  cr_assert_eq(fleet.nodes_using(0), 0);
}

// Guards against changes that are lost with the collector that has read them.
Test(engine_list_fleet, learns_of_draining_engines_while_collectors_are_killed) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  for (const std::size_t reader : fleet.readers()) {
    fleet.write(reader, true);
    fleet.advance(100ms);
    fleet.kill(reader);
    fleet.advance(kDrainTime - 100ms);
    cr_assert_eq(fleet.nodes_using(reader), 0);
  }
}

// Guards against engines that stay in use where their entry goes without a draining state.
Test(engine_list_fleet, stops_using_engines_whose_entry_is_gone) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  fleet.remove(0);
  fleet.advance(kChangeTime);
  cr_assert_eq(fleet.nodes_using(0), 0);
  fleet.write(0, false);
  fleet.advance(kChangeTime);
  cr_assert_eq(fleet.nodes_using(0), fleet.sizes.nodes, "the entry has only lapsed");
}

// Guards against a burst of changes that takes longer than the drain time.
Test(engine_list_fleet, learns_of_hundreds_of_draining_engines_at_once) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  for (std::size_t engine = 0; engine < 150; ++engine) fleet.write(engine, true);
  fleet.advance(kChangeTime);
  for (std::size_t engine = 0; engine < 150; ++engine) cr_assert_eq(fleet.nodes_using(engine), 0);
}

// Guards against nodes that depend on the store though it serves other nodes.
Test(engine_list_fleet, learns_of_draining_engines_where_the_store_rejects_nodes) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  const std::size_t reader = fleet.readers().front();
  for (std::size_t node = 0; node < fleet.sizes.nodes; ++node) {
    if (node % 3 == 0 || node == reader) fleet.stores[node]->open = false;
  }
  fleet.advance(1s);
  fleet.write(0, true);
  fleet.advance(kDrainTime);
  cr_assert_eq(fleet.nodes_using(0), 0);
}

// Guards against nodes that wait for readers which the store rejects.
Test(engine_list_fleet, learns_of_draining_engines_where_the_store_rejects_all_readers) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  for (const std::size_t reader : fleet.readers()) fleet.stores[reader]->open = false;
  fleet.write(0, true);
  fleet.advance(kDrainTime);
  cr_assert_eq(fleet.nodes_using(0), 0);
}

// Guards against a zone whose nodes ask only each other, though other zones know of the change.
Test(engine_list_fleet, learns_of_draining_engines_where_the_store_answers_no_node_of_a_zone) {
  constexpr std::size_t kZones = 3;
  CatalogFleet fleet({60, 400, 500, 20'000'000, 20s, kZones, kDrainTime});
  fleet.advance(10s);
  for (std::size_t node = 1; node < fleet.sizes.nodes; node += kZones) {
    fleet.stores[node]->set_silent(true);
  }
  for (std::size_t engine = 0; engine < 10; ++engine) {
    fleet.advance(1s);
    fleet.write(engine, true);
    fleet.advance(kChangeTime);
    cr_assert_eq(fleet.nodes_using(engine), 0, "%zu nodes still use engine %zu",
                 fleet.nodes_using(engine), engine);
  }
}

// Guards against a node that relies on other nodes which it does not reach.
Test(engine_list_fleet, reads_the_store_where_no_other_node_is_reached) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  const std::size_t lone = fleet.follower();
  fleet.nodes.network.cut_off.insert(fleet.nodes.transports[lone]->address);
  fleet.write(0, true);
  fleet.advance(kDrainTime);
  cr_assert_not(fleet.uses(lone, 0));
}

// Guards against a node that keeps old engines after it was cut off or suspended.
Test(engine_list_fleet, catches_up_after_it_was_cut_off) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  const std::size_t lone = fleet.follower();
  fleet.set_isolated(lone, true);
  fleet.advance(10s);
  for (std::size_t engine = 0; engine < 50; ++engine) fleet.write(engine, true);
  fleet.remove(50);
  fleet.advance(20s);
  fleet.set_isolated(lone, false);
  fleet.advance(kDrainTime);
  for (std::size_t engine = 0; engine <= 50; ++engine) cr_assert_not(fleet.uses(lone, engine));
}

// Guards against a node that starts while many others load the store's link.
Test(engine_list_fleet, gives_a_starting_node_all_engines) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(10s);
  fleet.write(0, true);
  fleet.add(0, true);
  fleet.advance(kDrainTime);
  const std::size_t started = fleet.catalogs.size() - 1;
  cr_assert_not(fleet.uses(started, 0));
  cr_assert(fleet.uses(started, 1));
}

// Guards against a node that gets no changes from nodes of the version before.
Test(engine_list_fleet, learns_of_draining_engines_beside_nodes_that_give_no_lists) {
  CatalogFleet fleet(kFastStore);
  fleet.nodes.network.knows_call = [](std::string_view call) { return !is_engine_list_call(call); };
  fleet.advance(15s);
  cr_assert_eq(fleet.nodes_using(0), fleet.sizes.nodes);
  fleet.write(0, true);
  fleet.advance(kDrainTime);
  cr_assert_eq(fleet.nodes_using(0), 0);
}

// Guards against calls to the store that grow with the number of nodes and changes.
Test(engine_list_fleet, reads_engines_from_the_store_at_the_readers_only) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(20s);
  const int before = fleet.nodes.store.latest_calls;
  fleet.advance(20s);
  // Two readers with a call each 0.3 s for engines, and one a second for the configuration.
  cr_assert_leq(fleet.nodes.store.latest_calls - before, 2 * (20 * 10 / 3 + 25));
  for (std::size_t node = 0; node < fleet.sizes.nodes; ++node) {
    const bool reader = fleet.nodes.exchanges[node]->store_readers().self;
    cr_assert_eq(fleet.catalogs[node]->engines().watching(), reader);
  }
}

// Guards against delays that each keep a bound of their own, while their sum has none.
Test(engine_list_fleet, bounds_the_time_until_all_nodes_know_a_change) {
  cr_assert_leq(kChangeTime, kDrainTime / 2);
  CatalogFleetSizes sizes = kFastStore;
  sizes.nodes = 100;
  sizes.zones = 3;
  CatalogFleet fleet(sizes);
  fleet.advance(10s);
  for (std::size_t engine = 0; engine < 6; ++engine) {
    fleet.write(engine, true);
    fleet.advance(kChangeTime);
    cr_assert_eq(fleet.nodes_using(engine), 0, "engine %zu", engine);
  }
}

// Guards against a fleet that takes its readers for silent while their first calls wait for
// changes.
Test(engine_list_fleet, relies_on_the_readers_from_the_start) {
  CatalogFleet fleet(kFastStore);
  fleet.advance(4s);
  for (int i = 0; i < 100; ++i) {
    fleet.advance(100ms);
    const std::size_t follower = fleet.follower();
    cr_assert_not(fleet.catalogs[follower]->engines().watching(), "after %d ms", 4000 + 100 * i);
  }
}
