// The lease of a node that can no longer give orders to engines.

#include "relay/lease_keeper.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

const relay::PeerRecords kNodes{{NodeId("n1"), {"n1:1", ZoneName("z"), 1}},
                                {NodeId("n2"), {"n2:1", ZoneName("z"), 1}}};

/// A node that finds out whether it reaches its only engine.
struct Node : RelayFixture {
  explicit Node(const std::string& own_name) : name(own_name) {
    this->probe = &this->probes;
    this->restart();
    this->add_engine("a", "plain");
    this->node->paths().peers().set_nodes(kNodes, NodeId(own_name));
    this->probes.reachable = {"a:80"};
  }

  void start_lease(MemoryStore& store) {
    this->lease = std::make_unique<relay::LeaseKeeper>(this->runtime, store, *this->node,
                                                       this->name, this->settings.lease);
  }

  void lose_path() {
    this->probes.reachable.clear();
    this->node->paths().on_connect_failed(EngineId("a"), true);
  }

  std::string name;
  ScriptedProbe probes{this->runtime};
  std::unique_ptr<relay::LeaseKeeper> lease;
};

/// Two nodes that share a store. The first has the lease.
struct LeaseSite {
  LeaseSite() {
    this->one.start_lease(this->store);
    this->advance(2s);
    this->other.start_lease(this->store);
    this->advance(2s);
  }

  void advance(Duration duration) {
    for (Duration passed{}; passed < duration; passed += 100ms) {
      this->one.runtime.advance(100ms);
      this->other.runtime.advance(100ms);
    }
  }

  Node one{"n1"};
  Node other{"n2"};
  MemoryStore store{one.runtime};
};

}  // namespace

// Guards against a lease holder that reaches the store but cannot give orders.
Test(lease_keeper, passes_the_lease_to_a_node_that_reaches_the_engines) {
  LeaseSite site;
  cr_assert(site.one.lease->authority().has_value());
  site.one.lose_path();
  for (int i = 0; i < 20; ++i) {
    site.one.node->paths().on_tunnel_used({"n2:1", "a"});
    site.advance(500ms);
  }
  cr_assert_not(site.one.lease->authority().has_value());
  cr_assert(site.other.lease->authority().has_value());
}

Test(lease_keeper, keeps_the_lease_if_no_other_node_is_known_to_reach_the_engines) {
  LeaseSite site;
  site.one.lose_path();
  site.advance(10s);
  cr_assert(site.one.node->paths().path_broken());
  cr_assert(site.one.lease->authority().has_value());
}
