// Guards against decisions that count nodes which were replaced and never come back.
#include <criterion/criterion.h>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 8;
constexpr std::size_t kReplaced = 24;
constexpr Duration kTick = 400ms;
const std::string kKind = relay::PeerDirectorySettings{}.kind;

/// A fleet in which some nodes were replaced.
struct ReplacedFleet {
  explicit ReplacedFleet(std::size_t nodes = kNodes, std::size_t replaced = kReplaced) : fleet(0) {
    for (std::size_t i = 0; i < replaced; ++i) this->put("gone" + std::to_string(i));
    for (std::size_t i = 0; i < nodes; ++i) this->add(i % 3);
  }

  void put(const std::string& name) {
    this->fleet.store.put(kKind, name, {{"address", name + ":1"}, {"zone", "z0"}, {"capacity", 1}});
  }

  void add(std::size_t zone) {
    relay::LoadExchangeSettings settings;
    settings.zone = ZoneName("z" + std::to_string(zone));
    this->fleet.add(settings);
  }

  /// @param holders nodes that hold the lease.
  void advance(Duration duration, const std::vector<std::size_t>& holders = {0}) {
    for (Duration passed{}; passed < duration; passed += kTick) {
      for (const std::size_t holder : holders) {
        this->fleet.exchanges[holder]->remove_gone_nodes();
      }
      this->fleet.runtime.advance(kTick);
    }
  }

  /// Cuts nodes off from all others, or connects them again.
  void set_cut_off(const std::vector<std::size_t>& nodes, bool cut_off) {
    this->fleet.network.cut_off.clear();
    for (const std::size_t node : nodes) {
      if (cut_off) this->fleet.network.cut_off.insert(this->fleet.transports[node]->address);
    }
  }

  std::size_t listed(std::size_t node) const { return this->fleet.exchanges[node]->node_count(); }

  ExchangingFleet fleet;
};

}  // namespace

Test(replaced_nodes, do_not_count_in_the_size_and_the_ranks_of_the_fleet) {
  ReplacedFleet site;
  site.fleet.runtime.advance(3s);
  cr_assert_eq(site.listed(0), kNodes + kReplaced);
  site.advance(30s);
  for (std::size_t node = 0; node < kNodes; ++node) {
    cr_assert_eq(site.listed(node), kNodes, "node %zu", node);
    cr_assert_not(site.fleet.exchanges[node]->uses_zones());
    cr_assert_lt(site.fleet.sites[node]->node->fleet().rank, kNodes);
    cr_assert_eq(site.fleet.sites[node]->node->fleet().nodes, kNodes);
  }
}

Test(replaced_nodes, are_removed_from_a_large_fleet) {
  constexpr std::size_t kLarge = 60;
  ReplacedFleet site(kLarge, kReplaced);
  site.advance(180s);
  for (std::size_t node = 0; node < kLarge; ++node) {
    cr_assert_eq(site.listed(node), kLarge, "node %zu lists %zu", node, site.listed(node));
  }
}

// Guards against a machine that is kept in the list as another one has its address.
Test(replaced_nodes, are_removed_though_another_node_has_the_address) {
  ReplacedFleet site(kNodes, 0);
  site.fleet.store.put(kKind, "gone", {{"address", "n2:1"}, {"zone", "z0"}, {"capacity", 1}});
  site.advance(30s);
  cr_assert_eq(site.listed(0), kNodes);
}

// Guards against a node that removes the others as it has lost its own connection.
Test(replaced_nodes, are_not_removed_by_a_node_without_contact) {
  ReplacedFleet site(kNodes, 0);
  site.advance(5s);
  site.set_cut_off({0}, true);
  site.advance(120s);
  cr_assert_eq(site.listed(1), kNodes);
}

Test(replaced_nodes, are_removed_once_by_two_holders) {
  ReplacedFleet site;
  site.advance(30s, {0, 1});
  cr_assert_eq(site.listed(5), kNodes);
  const int writes = site.fleet.store.writes;
  site.advance(60s, {0, 1});
  cr_assert_eq(site.fleet.store.writes, writes, "no more writes once the list is true");
}

Test(replaced_nodes, wait_while_the_store_is_down) {
  ReplacedFleet site;
  site.advance(4s);
  site.fleet.store.down = true;
  site.advance(20s);
  cr_assert_eq(site.listed(1), kNodes + kReplaced);
  site.fleet.store.down = false;
  site.advance(40s);
  cr_assert_eq(site.listed(1), kNodes);
}

// Guards against live nodes that stay out of the list: frozen ones, and those that the holder of
// the lease does not reach.
Test(replaced_nodes, register_again_if_they_live) {
  ReplacedFleet site(kNodes, 0);
  site.advance(5s);
  const int first = site.fleet.store.writes;
  site.set_cut_off({5, 6}, true);
  site.advance(20s);
  const int writes = site.fleet.store.writes;
  cr_assert_eq(writes - first, 4, "both are removed and register again");
  site.advance(30s);
  cr_assert_eq(site.fleet.store.writes, writes, "a node that registered again is left alone");
  cr_assert_eq(site.listed(0), kNodes);
  site.set_cut_off({5, 6}, false);
  site.advance(120s);
  for (std::size_t node = 0; node < kNodes; ++node) cr_assert_eq(site.listed(node), kNodes);
}

// Guards against nodes of the version before, which do not register again, that stay out of the
// list.
Test(replaced_nodes, are_restored_if_they_answer_again) {
  ReplacedFleet site(kNodes, 0);
  MockTransport earlier(site.fleet.network, "earlier:1");
  earlier.set_handlers([](auto, const auto&) {}, [](const auto&, const auto& reply) { reply(""); });
  site.put("earlier");
  site.advance(60s);
  cr_assert_eq(site.listed(0), kNodes + 1);
  site.fleet.network.nodes.erase("earlier:1");
  site.advance(30s);
  cr_assert_eq(site.listed(0), kNodes);
  site.fleet.network.nodes["earlier:1"] = &earlier;
  site.advance(30s);
  cr_assert_eq(site.listed(0), kNodes + 1);
}

// Guards against a name that comes again on another machine and keeps the address of the old one.
Test(replaced_nodes, get_the_address_of_the_new_machine_of_that_name) {
  ReplacedFleet site(2, 0);
  site.fleet.store.put(kKind, "n3", {{"address", "old:1"}, {"zone", "z7"}, {"capacity", 1}});
  site.add(0);
  site.advance(8s);
  for (std::size_t node = 0; node < 2; ++node) {
    const relay::PeerRecord* record = site.fleet.exchanges[node]->peers().find(NodeId("n3"));
    cr_assert_not_null(record);
    cr_assert_eq(record->address, "n3:1");
    cr_assert_eq(record->zone, ZoneName("z0"));
  }
}
