// Nodes that the store answers while it does not answer those that read it for them.

#include <criterion/criterion.h>

#include <algorithm>

#include "relay/support/catalog_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 7;

/// Nodes before a store whose lagging answers are as of the moment at which it stops answering some
/// of them.
struct LaggingSite {
  explicit LaggingSite(const CatalogFleetSizes& sizes) : fleet(sizes) {
    this->fleet.nodes.store.put("routes", "main", {{"version", 1}});
    this->fleet.nodes.runtime.advance(10s);
  }

  void silence(const std::vector<std::size_t>& nodes) {
    MemoryStore& store = this->fleet.nodes.store;
    store.replica_revision = store.revision();
    for (const std::size_t node : nodes) this->fleet.stores[node]->set_silent(true);
    this->fleet.nodes.runtime.advance(100ms);
  }

  /// Writes a configuration and lets an engine drain.
  void change() {
    this->fleet.nodes.store.put("routes", "main", {{"version", 2}});
    this->fleet.write(0, true);
  }

  std::uint64_t version(std::size_t node) const {
    return this->fleet.nodes.sites[node]->node->table()->version();
  }

  CatalogFleet fleet;
};

}  // namespace

// Guards against nodes that go on with lagging answers of the store as those that read the newest
// ones for them are cut off from it.
Test(store_readers, any_three_of_seven_may_lose_the_store) {
  for (std::size_t a = 0; a < kNodes; ++a) {
    for (std::size_t b = a + 1; b < kNodes; ++b) {
      for (std::size_t c = b + 1; c < kNodes; ++c) {
        const std::vector<std::size_t> silenced{a, b, c};
        LaggingSite site({.nodes = kNodes, .engines = 20, .store_bytes_per_second = 10'000'000});
        site.silence(silenced);
        site.change();
        site.fleet.nodes.runtime.advance(2s);
        for (std::size_t node = 0; node < kNodes; ++node) {
          if (std::count(silenced.begin(), silenced.end(), node) > 0) continue;
          cr_assert_not(site.fleet.uses(node, 0), "node %zu without %zu, %zu, %zu", node, a, b, c);
          cr_assert_eq(site.version(node), 2, "node %zu without %zu, %zu, %zu", node, a, b, c);
        }
      }
    }
  }
}

// The same in a fleet in which the collectors read the store, and all of them are cut off.
Test(store_readers, all_readers_of_a_large_fleet_may_lose_the_store) {
  LaggingSite site({.nodes = 40, .engines = 100, .store_bytes_per_second = 10'000'000, .zones = 3});
  const std::vector<std::size_t> silenced = site.fleet.readers();
  site.silence(silenced);
  site.change();
  site.fleet.nodes.runtime.advance(3s);
  for (std::size_t node = 0; node < site.fleet.catalogs.size(); ++node) {
    if (std::count(silenced.begin(), silenced.end(), node) > 0) continue;
    cr_assert_not(site.fleet.uses(node, 0), "node %zu", node);
    cr_assert_eq(site.version(node), 2, "node %zu", node);
  }
}
