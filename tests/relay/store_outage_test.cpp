// Nodes that the store stops answering while engines leave.

#include <criterion/criterion.h>

#include "relay/engine_update_bound.hpp"
#include "relay/support/catalog_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 7;
constexpr std::size_t kSilenced = 5;  ///< Nodes in the first outage; the others are in the second.

/// Seven nodes, five of which the store stops answering and then the other two.
struct OutageFleet {
  OutageFleet() : fleet({.nodes = kNodes, .engines = 20, .store_bytes_per_second = 10'000'000}) {
    this->fleet.nodes.runtime.advance(10s);
  }

  void set_silent(std::size_t first, std::size_t end, bool silent) {
    for (std::size_t node = first; node < end; ++node) {
      this->fleet.stores[node]->set_silent(silent);
    }
  }

  CatalogFleet fleet;
};

}  // namespace

// Guards against nodes that use a draining engine after an outage, as they wait for calls that were
// lost in it.
Test(store_outage, nodes_learn_of_draining_engines_soon_after_the_store_answers_again) {
  const Duration bound = relay::hinted_update_bound({});
  for (Duration outage = 4s; outage < 6s; outage += 100ms) {
    OutageFleet site;
    ManualRuntime& runtime = site.fleet.nodes.runtime;
    site.set_silent(0, kSilenced, true);
    runtime.advance(800ms);
    site.fleet.write(0, true);
    runtime.advance(outage - 800ms);
    site.set_silent(0, kSilenced, false);
    site.set_silent(kSilenced, kNodes, true);
    runtime.advance(100ms);
    site.fleet.write(1, true);
    runtime.advance(bound);
    for (std::size_t node = 0; node < kSilenced; ++node) {
      for (const std::size_t engine : {0, 1}) {
        cr_assert_not(site.fleet.uses(node, engine),
                      "node %zu uses engine %zu after an outage of %lld ms", node, engine,
                      static_cast<long long>(whole_ms(outage)));
      }
    }
  }
}
