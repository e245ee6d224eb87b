// Guards against nodes that rely on dead store readers for longer than a draining engine accepts
// requests.
#include <criterion/criterion.h>

#include "relay/fallback_timing.hpp"
#include "relay/support/catalog_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kDrainTimes[] = {2s, 3s, 4s, 5s};

}  // namespace

Test(reader_loss, learns_of_a_draining_engine_in_time_as_all_readers_die) {
  for (const Duration drain_time : kDrainTimes) {
    for (const Duration phase : {0ms, 300ms, 700ms}) {
      CatalogFleet fleet({.nodes = 60,
                          .engines = 100,
                          .store_bytes_per_second = 20'000'000,
                          .zones = 3,
                          .drain_time = drain_time});
      fleet.nodes.runtime.advance(10s + phase);
      fleet.kill_readers_and_half_of_the_others();
      fleet.write(0, true);
      fleet.nodes.runtime.advance(drain_time);
      cr_assert_eq(fleet.nodes_using(0), 0, "%zu nodes with a drain time of %lld ms",
                   fleet.nodes_using(0), static_cast<long long>(whole_ms(drain_time)));
    }
  }
}

// Guards against a fleet that has no reader at the moment from which on only some nodes are
// readers.
Test(reader_loss, learns_of_a_draining_engine_in_time_as_the_fleet_outgrows_direct_exchange) {
  const std::size_t direct_nodes = relay::LoadExchangeSettings{}.max_direct_peers + 1;
  for (const Duration phase : {0ms, 200ms, 400ms, 900ms, 1500ms}) {
    CatalogFleet fleet(
        {.nodes = direct_nodes, .engines = 100, .store_bytes_per_second = 20'000'000, .zones = 3});
    fleet.nodes.runtime.advance(10s);
    fleet.add(0, true);
    fleet.nodes.runtime.advance(phase);
    fleet.write(0, true);
    fleet.nodes.runtime.advance(fleet.sizes.drain_time);
    cr_assert_eq(fleet.nodes_using(0), 0, "%zu nodes", fleet.nodes_using(0));
  }
}

Test(reader_loss, bounds_the_time_of_the_last_node_of_a_large_fleet) {
  for (const Duration drain_time : kDrainTimes) {
    for (const std::size_t nodes : {26, 300, 1000, 2000}) {
      relay::CatalogSettings settings;
      settings.drain_time = drain_time;
      cr_assert_lt(relay::fallback_bound(settings, nodes).count(), drain_time.count());
    }
  }
}

// Guards against living readers that are taken for silent, so that all nodes load the store.
Test(reader_loss, waits_for_longer_than_a_living_reader_takes) {
  const relay::LoadExchangeSettings exchange;
  for (const Duration drain_time : kDrainTimes) {
    for (const std::size_t nodes : {26, 300, 1000, 2000}) {
      relay::CatalogSettings settings;
      settings.drain_time = drain_time;
      const relay::FallbackTiming first = relay::fallback_timing(settings, {nodes, 0});
      const Duration living = first.reader_wait + relay::update_arrival_bound(exchange);
      cr_assert_gt(first.reader_timeout.count(), living.count(), "%zu nodes", nodes);
    }
  }
}
