// Selection of the node through which an engine is reached.

#include "core/relay/tunnel_peers.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

const EngineId kEngine("e");
const MonotonicTime kNow{1000s};

/// The nodes n0 to n(count-1), of which n0 is this one, spread over the zones.
PeerRecords records(std::size_t count, std::size_t zones) {
  PeerRecords nodes;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = "n" + std::to_string(i);
    const std::string address = "10.0.0." + std::to_string(i) + ":7000";
    nodes[NodeId(name)] = {address, ZoneName("z" + std::to_string(i % zones)), 1};
  }
  return nodes;
}

TunnelPeers peers_of(std::size_t count, std::size_t zones) {
  TunnelPeers peers;
  peers.set_nodes(records(count, zones), NodeId("n0"));
  return peers;
}

std::size_t zone_of(const std::string& address, std::size_t zones) {
  return std::stoul(address.substr(address.rfind('.') + 1)) % zones;
}

}  // namespace

// Guards against asking only nodes of a zone that is cut off as a whole.
Test(tunnel_peers, asks_another_zone_after_its_own) {
  const TunnelPeers peers = peers_of(9, 3);
  std::vector<std::string> tried;
  std::set<std::size_t> zones;
  for (int i = 0; i < 3; ++i) {
    const auto address = peers.choose(kNow, kEngine, tried);
    cr_assert(address.has_value());
    if (i == 0) cr_assert_eq(zone_of(*address, 3), 0U, "its own zone first");
    zones.insert(zone_of(*address, 3));
    tried.push_back(*address);
  }
  cr_assert_eq(zones.size(), 3U);
}

Test(tunnel_peers, spreads_engines_over_the_nodes_of_the_zone) {
  const TunnelPeers peers = peers_of(30, 3);
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(*peers.choose(kNow, EngineId("e" + std::to_string(i)), {}));
  }
  cr_assert_eq(chosen.size(), 9U);
}

Test(tunnel_peers, does_not_ask_a_node_again_that_cannot_help) {
  TunnelPeers peers = peers_of(3, 1);
  const std::string first = *peers.choose(kNow, kEngine, {});
  peers.on_failed(kNow, first);
  const std::string second = *peers.choose(kNow, kEngine, {});
  cr_assert_neq(first, second);
  peers.on_no_path(kNow, second, kEngine);
  cr_assert_not(peers.choose(kNow, kEngine, {}).has_value());
  cr_assert_eq(*peers.choose(kNow, EngineId("other"), {}), second, "it may reach other engines");
  cr_assert(peers.choose(kNow + 1s, kEngine, {}).has_value());
  peers.on_failed(kNow + 1s, first);
  peers.on_opened(kNow + 1s, first);
  cr_assert_eq(*peers.choose(kNow + 1s, kEngine, {}), first);
}

Test(tunnel_peers, does_not_ask_a_node_that_has_fallen_silent) {
  TunnelPeers peers = peers_of(3, 1);
  for (const char* node : {"n1", "n2"}) peers.on_heard(kNow, NodeId(node));
  peers.on_heard(kNow + 3s, NodeId("n2"));
  for (int i = 0; i < 20; ++i) {
    const auto address = peers.choose(kNow + 3s, EngineId("e" + std::to_string(i)), {});
    cr_assert_eq(*address, "10.0.0.2:7000");
  }
  peers.expect_no_messages();
  std::set<std::string> chosen;
  for (int i = 0; i < 20; ++i) {
    chosen.insert(*peers.choose(kNow + 9s, EngineId("e" + std::to_string(i)), {}));
  }
  cr_assert_eq(chosen.size(), 2U);
}

Test(tunnel_peers, knows_the_addresses_of_nodes) {
  const TunnelPeers peers = peers_of(3, 1);
  cr_assert(peers.has_ip("10.0.0.1"));
  cr_assert_not(peers.has_ip("10.0.0.0"), "this node itself");
  cr_assert_not(peers.has_ip("10.0.0.11"));
}

Test(tunnel_peers, keeps_what_it_knows_of_nodes_when_the_list_changes) {
  TunnelPeers peers = peers_of(3, 1);
  for (const char* address : {"10.0.0.1:7000", "10.0.0.2:7000"}) peers.on_failed(kNow, address);
  peers.set_nodes(records(4, 1), NodeId("n0"));
  cr_assert_eq(*peers.choose(kNow, kEngine, {}), "10.0.0.3:7000");
}
