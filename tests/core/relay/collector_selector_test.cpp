#include "core/relay/collector_selector.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};

std::vector<NodeId> names(std::initializer_list<const char*> list) {
  std::vector<NodeId> nodes;
  for (const char* name : list) nodes.emplace_back(name);
  return nodes;
}

CollectorSelector selector_of_three() {
  CollectorSelector selector{CollectorSelectorSettings{}};
  selector.set_order(names({"a", "b", "c"}));
  selector.poll(kNow);
  return selector;
}

}  // namespace

Test(collector_selector, ranks_the_larger_machines_of_a_zone_first) {
  const ZoneName zone("z1");
  const PeerRecords nodes{{NodeId("small"), {"1:1", zone, 0.12}},
                          {NodeId("large"), {"2:1", zone, 0.5}},
                          {NodeId("elsewhere"), {"3:1", ZoneName("z2"), 4}}};
  cr_assert(collector_order(nodes, zone) == names({"large", "small"}));
}

Test(collector_selector, reports_to_two_and_subscribes_to_the_first) {
  const CollectorSelector selector = selector_of_three();
  cr_assert(selector.source() == NodeId("a"));
  cr_assert(selector.report_targets(kNow) == names({"a", "b"}));
}

Test(collector_selector, fails_over_to_the_collector_that_already_gets_reports) {
  CollectorSelector selector = selector_of_three();
  selector.on_view(kNow + 1s, NodeId("a"));
  cr_assert(!selector.poll(kNow + 1s + 400ms));
  cr_assert(selector.poll(kNow + 1s + 401ms) == NodeId("a"));
  cr_assert(selector.report_targets(kNow + 1s + 401ms) == names({"b", "c"}));
}

Test(collector_selector, keeps_a_collector_that_sends_views) {
  CollectorSelector selector = selector_of_three();
  selector.poll(kNow + 500ms);
  for (Duration at = 500ms; at < 20s; at += 100ms) {
    selector.on_view(kNow + at, NodeId("b"));
    selector.poll(kNow + at);
  }
  cr_assert(selector.source() == NodeId("b"), "even once the first one is no longer suspect");
}

Test(collector_selector, starts_over_when_all_are_suspect) {
  CollectorSelector selector = selector_of_three();
  for (Duration at = 500ms; at < 3s; at += 500ms) selector.poll(kNow + at);
  cr_assert(selector.source().has_value());
  cr_assert_eq(selector.report_targets(kNow + 3s).size(), 2);
}
