#include "core/membership/membership.hpp"

#include <set>

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

/// Nodes whose heartbeats arrive at once, unless lost or cut off by a partition.
struct Cluster {
  std::vector<Membership> nodes;
  std::set<std::size_t> dead;
  MonotonicTime now{};

  explicit Cluster(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      MemberFact self{NodeId("n" + std::to_string(i)),
                      1,
                      1,
                      MemberState::kAlive,
                      std::to_string(i),
                      ZoneName("z"),
                      RegionName("r")};
      nodes.emplace_back(self, MembershipSettings{}, i + 1);
      nodes.back().set_hints({"0", std::to_string(count - 1)});
    }
  }

  void run(Duration length) {
    for (const MonotonicTime end = now + length; now < end; now += 100ms) {
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (dead.contains(i)) continue;
        for (const auto& target : nodes[i].tick(now)) exchange(i, std::stoul(target.address));
      }
    }
  }

  int loss_interval = 0;  ///< Every n-th exchange is lost; 0: none.
  int exchanges = 0;
  bool partitioned = false;  ///< The halves cannot reach each other.

  void exchange(std::size_t from, std::size_t to) {
    if (loss_interval > 0 && ++exchanges % loss_interval == 0) return;
    const std::size_t half = nodes.size() / 2;
    if (dead.contains(to) || (partitioned && (from < half) != (to < half))) return;
    const NodeId sender = nodes[from].self().node;
    nodes[to].on_facts(now, nodes[from].facts_to_send(nodes[to].self().node));
    nodes[to].on_message_received(sender);
    nodes[from].on_facts(now, nodes[to].facts_to_send(sender));
    nodes[from].on_message_received(nodes[to].self().node);
  }
};

}  // namespace

Test(membership, all_nodes_discover_each_other_through_one_address) {
  Cluster cluster(20);
  cluster.run(30s);
  for (const Membership& node : cluster.nodes) cr_assert_eq(node.usable().size(), 20);
}

Test(membership, a_dead_member_is_detected_by_all) {
  Cluster cluster(20);
  cluster.run(30s);
  cluster.dead.insert(7);
  cluster.run(30s);
  for (std::size_t i = 0; i < 20; ++i) {
    if (i != 7) cr_assert_eq(cluster.nodes[i].usable().size(), 19);
  }
}

Test(membership, a_leaving_member_gets_no_work_within_seconds) {
  Cluster cluster(20);
  cluster.run(30s);
  cluster.nodes[3].leave();
  cluster.run(5s);
  for (std::size_t i = 0; i < 20; ++i) cr_assert_eq(cluster.nodes[i].usable().size(), 19);
}

Test(membership, partitioned_halves_merge_again) {
  Cluster cluster(20);
  cluster.run(60s);
  cluster.partitioned = true;
  cluster.run(90s);
  for (const Membership& node : cluster.nodes) cr_assert_eq(node.usable().size(), 10);
  cluster.partitioned = false;
  cluster.run(60s);
  for (const Membership& node : cluster.nodes) cr_assert_eq(node.usable().size(), 20);
}

Test(membership, lost_datagrams_cause_few_state_changes) {
  Cluster cluster(60);
  cluster.run(120s);
  std::vector<std::uint64_t> before;
  for (const Membership& node : cluster.nodes) before.push_back(node.change_count());
  cluster.loss_interval = 50;
  cluster.run(120s);
  for (std::size_t i = 0; i < 60; ++i) {
    cr_assert_leq(cluster.nodes[i].change_count() - before[i], 6);
    cr_assert_eq(cluster.nodes[i].usable().size(), 60);
  }
}

Test(membership, a_live_member_refutes_a_false_report) {
  Cluster cluster(5);
  cluster.run(10s);
  MemberFact false_report = cluster.nodes[2].self();
  false_report.state = MemberState::kDead;
  cluster.nodes[0].on_facts(cluster.now, {false_report});
  cluster.run(20s);
  for (const Membership& node : cluster.nodes) cr_assert_eq(node.usable().size(), 5);
}

Test(membership, duties_move_only_from_removed_members) {
  SHUNTBANK_PROPERTY("removing a member moves only its duties", [] {
    std::vector<MemberFact> members;
    const int count = *rc::gen::inRange(2, 20);
    for (int i = 0; i < count; ++i) {
      members.push_back({NodeId("n" + std::to_string(i)), 1, 1, {}, {}, {}, {}});
    }
    const std::string duty = *rc::gen::arbitrary<std::string>();
    const NodeId holder = rank_for_duty(duty, members, 1).front().node;
    const std::size_t removed = *rc::gen::inRange<std::size_t>(0, members.size());
    const NodeId removed_node = members[removed].node;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed));
    if (removed_node != holder) RC_ASSERT(rank_for_duty(duty, members, 1).front().node == holder);
  });
}
