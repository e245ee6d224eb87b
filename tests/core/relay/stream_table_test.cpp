// Guards against origins of streams that are replaced, kept for ever or held in one zone only.
#include "core/relay/stream_table.hpp"

#include <criterion/criterion.h>

#include <set>

#include "core/relay/stream_replicas.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;
using relay::StreamOrigin;

namespace {

const StreamOrigin kFirst{ServiceName("s"), "v1"};
const StreamOrigin kSecond{ServiceName("s"), "v2"};
const MonotonicTime kStart{100s};

}  // namespace

Test(stream_table, keeps_the_first_origin_until_it_is_no_longer_put) {
  relay::StreamTable table({10s, 100});
  table.put(kStart, 1, kFirst);
  table.put(kStart + 8s, 1, kSecond);
  table.expire(kStart + 17s);
  cr_assert(table.find(1) == kFirst);
  table.expire(kStart + 19s);
  cr_assert_not(table.find(1).has_value());
}

Test(stream_table, evicts_the_oldest_when_full) {
  relay::StreamTable table({10s, 2});
  for (const relay::StreamKey key : {1, 2, 1, 3}) table.put(kStart, key, kFirst);
  cr_assert_eq(table.size(), 2);
  cr_assert_not(table.find(2).has_value());
  cr_assert(table.find(1).has_value());
}

Test(stream_replicas, are_in_different_zones_and_change_little_with_the_list) {
  relay::PeerRecords nodes;
  for (int i = 0; i < 30; ++i) {
    nodes[NodeId("n" + std::to_string(i))] = {"a", ZoneName("z" + std::to_string(i % 3)), 1};
  }
  relay::PeerRecords fewer = nodes;
  fewer.erase(NodeId("n7"));
  int changed = 0;
  for (relay::StreamKey key = 1; key <= 200; ++key) {
    const auto replicas = relay::stream_replicas(nodes, key, 3);
    std::set<ZoneName> zones;
    for (const NodeId& node : replicas) zones.insert(nodes.at(node).zone);
    cr_assert_eq(zones.size(), 3);
    if (relay::stream_replicas(fewer, key, 3) != replicas) ++changed;
  }
  cr_assert_lt(changed, 60, "about a tenth of the streams have the lost node as a replica");
}

Test(stream_replicas, are_all_nodes_of_a_small_fleet) {
  relay::PeerRecords nodes;
  nodes[NodeId("n1")] = {"a", ZoneName("z"), 1};
  nodes[NodeId("n2")] = {"b", ZoneName("z"), 1};
  cr_assert_eq(relay::stream_replicas(nodes, 5, 3).size(), 2);
}
