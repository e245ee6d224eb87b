#include "core/relay/limit_owner_selector.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const EngineId kEngine("e");

std::vector<NodeId> nodes(int count) {
  std::vector<NodeId> named;
  for (int i = 0; i < count; ++i) named.emplace_back("n" + std::to_string(i));
  return named;
}

}  // namespace

Test(limit_owner_selector, agrees_across_nodes_and_spreads_engines) {
  LimitOwnerSelector one(NodeId("n0"));
  LimitOwnerSelector other(NodeId("n4"));
  one.set_nodes(nodes(7));
  other.set_nodes(nodes(7));
  std::set<NodeId> owners;
  for (int i = 0; i < 40; ++i) {
    const EngineId engine("e" + std::to_string(i));
    cr_assert(one.owner(kNow, engine) == other.owner(kNow, engine));
    owners.insert(*one.owner(kNow, engine));
  }
  cr_assert_eq(owners.size(), 7);
}

Test(limit_owner_selector, skips_an_unresponsive_node_until_it_answers) {
  LimitOwnerSelector selector(NodeId("outside"));
  selector.set_nodes(nodes(3));
  const NodeId first = *selector.owner(kNow, kEngine);
  selector.on_request_sent(kNow, first);
  cr_assert(selector.nodes_to_probe(kNow + 50ms, kEngine).empty());
  cr_assert_eq(selector.nodes_to_probe(kNow + 100ms, kEngine).front(), first,
               "probes again, as one message may be lost");
  cr_assert(selector.owner(kNow + 300ms, kEngine) == first);
  const MonotonicTime timed_out = kNow + kOwnerTimeout + 1ms;
  cr_assert(selector.owner(timed_out, kEngine) != first);
  selector.on_request_sent(timed_out, first);
  cr_assert(selector.nodes_to_probe(timed_out + 500ms, kEngine).empty());
  cr_assert_eq(selector.nodes_to_probe(timed_out + kSilentNodeProbeInterval, kEngine).front(),
               first);
  selector.on_message_received(first);
  cr_assert(selector.owner(timed_out + 1s, kEngine) == first);
}

Test(limit_owner_selector, selects_none_when_no_candidate_answers) {
  LimitOwnerSelector selector(NodeId("outside"));
  selector.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) selector.on_request_sent(kNow, node);
  cr_assert_not(selector.owner(kNow + 1s, kEngine).has_value());
  LimitOwnerSelector last(NodeId("n1"));
  last.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) last.on_request_sent(kNow, node);
  cr_assert(last.owner(kNow + 1s, kEngine) == NodeId("n1"));
}
