// Guards against live nodes that are taken for gone, and dead ones that are kept.
#include "core/relay/peer_liveness.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

const NodeId kLive("live");
const NodeId kDead("dead");

/// Nodes that answer probes, and others that do not.
struct Site {
  explicit Site(const std::set<NodeId>& listed) { this->liveness.set_nodes(this->now, listed); }

  /// @return the nodes that are taken for gone afterwards.
  std::vector<NodeId> run(Duration duration) {
    const MonotonicTime until = this->now + duration;
    while (this->now < until) {
      this->now += 400ms;
      for (const NodeId& node : this->liveness.next_probes(this->now)) {
        ++this->probes;
        if (this->answering.count(node) > 0) {
          this->liveness.on_contact(this->now, node);
        } else {
          this->liveness.on_probe_failed(this->now, node);
        }
      }
    }
    return this->liveness.gone_nodes(this->now);
  }

  PeerLiveness liveness;
  MonotonicTime now{1000s};
  std::set<NodeId> answering{kLive};
  int probes = 0;
};

}  // namespace

Test(peer_liveness, takes_a_node_for_gone_that_answers_no_probe) {
  Site site({kLive, kDead});
  cr_assert(site.run(8s).empty(), "a restart takes some seconds");
  const std::vector<NodeId> gone = site.run(4s);
  cr_assert_eq(gone.size(), 1);
  cr_assert_eq(gone.front(), kDead);
}

Test(peer_liveness, keeps_nodes_that_only_answer_probes) {
  Site site({kLive});
  for (int i = 0; i < 100; ++i) cr_assert(site.run(2s).empty());
}

Test(peer_liveness, takes_no_node_for_gone_without_any_contact) {
  Site site({kLive, kDead});
  site.answering.clear();
  for (int i = 0; i < 30; ++i) cr_assert(site.run(2s).empty());
  site.answering = {kLive};
  cr_assert_eq(site.run(10s).size(), 1);
}

Test(peer_liveness, gives_a_node_that_registered_again_more_time) {
  Site site({kLive, kDead});
  site.run(14s);
  site.liveness.on_removed(site.now, kDead);
  site.liveness.set_nodes(site.now, {kLive});
  site.liveness.set_nodes(site.now, {kLive, kDead});
  for (int i = 0; i < 29; ++i) cr_assert(site.run(2s).empty(), "after %d s", 2 * i);
  cr_assert_eq(site.run(8s).size(), 1);
}

Test(peer_liveness, ignores_failures_from_before_it_stopped_probing) {
  Site site({kLive, kDead});
  site.run(12s);
  site.now += 30s;
  site.liveness.on_contact(site.now, kLive);
  cr_assert(site.liveness.gone_nodes(site.now).empty());
}

// Guards against a node that loads its link with probes of a fleet that it does not hear directly.
Test(peer_liveness, bounds_the_rate_of_probes) {
  std::set<NodeId> nodes;
  for (int i = 0; i < 1000; ++i) nodes.insert(NodeId("n" + std::to_string(i)));
  Site site(nodes);
  site.answering = nodes;
  site.run(100s);
  cr_assert_leq(site.probes, 5 * 100);
  cr_assert_gt(site.probes, 300);
}
