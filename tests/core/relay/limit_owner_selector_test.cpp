#include "core/relay/limit_owner_selector.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const std::string kLimit = "e";

std::vector<NodeId> nodes(int count) {
  std::vector<NodeId> named;
  for (int i = 0; i < count; ++i) named.emplace_back("n" + std::to_string(i));
  return named;
}

}  // namespace

Test(limit_owner_selector, agrees_across_nodes_and_spreads_limits) {
  LimitOwnerSelector one(NodeId("n0"));
  LimitOwnerSelector other(NodeId("n4"));
  one.set_nodes(nodes(7));
  other.set_nodes(nodes(7));
  std::set<NodeId> owners;
  for (int i = 0; i < 40; ++i) {
    const std::string limit = "e" + std::to_string(i);
    cr_assert(one.owner(kNow, limit) == other.owner(kNow, limit));
    owners.insert(*one.owner(kNow, limit));
  }
  cr_assert_eq(owners.size(), 7);
}

Test(limit_owner_selector, skips_an_unresponsive_node_until_it_answers) {
  LimitOwnerSelector selector(NodeId("outside"));
  selector.set_nodes(nodes(3));
  const NodeId first = *selector.owner(kNow, kLimit);
  selector.on_request_sent(kNow, first);
  cr_assert(selector.nodes_to_probe(kNow + 50ms, kLimit).empty());
  cr_assert_eq(selector.nodes_to_probe(kNow + 100ms, kLimit).front(), first,
               "probes again, as one message may be lost");
  cr_assert(selector.owner(kNow + 300ms, kLimit) == first);
  const MonotonicTime timed_out = kNow + kOwnerTimeout + 1ms;
  cr_assert(selector.owner(timed_out, kLimit) != first);
  selector.on_request_sent(timed_out, first);
  cr_assert(selector.nodes_to_probe(timed_out + 500ms, kLimit).empty());
  cr_assert_eq(selector.nodes_to_probe(timed_out + kSilentNodeProbeInterval, kLimit).front(),
               first);
  selector.on_message_received(first);
  cr_assert(selector.owner(timed_out + 1s, kLimit) == first);
}

Test(limit_owner_selector, selects_none_when_no_candidate_answers) {
  LimitOwnerSelector selector(NodeId("outside"));
  selector.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) selector.on_request_sent(kNow, node);
  cr_assert_not(selector.owner(kNow + 1s, kLimit).has_value());
  LimitOwnerSelector last(NodeId("n1"));
  last.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) last.on_request_sent(kNow, node);
  cr_assert(last.owner(kNow + 1s, kLimit) == NodeId("n1"));
}
