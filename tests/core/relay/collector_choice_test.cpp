#include "core/relay/collector_choice.hpp"

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

CollectorChoice choice_of_three() {
  CollectorChoice choice{CollectorChoiceSettings{}};
  choice.set_order(names({"a", "b", "c"}));
  choice.poll(kNow);
  return choice;
}

}  // namespace

Test(collector_choice, ranks_the_larger_machines_of_a_zone_first) {
  const ZoneName zone("z1");
  const PeerRecords nodes{{NodeId("small"), {"1:1", zone, 0.12}},
                          {NodeId("large"), {"2:1", zone, 0.5}},
                          {NodeId("elsewhere"), {"3:1", ZoneName("z2"), 4}}};
  cr_assert(collector_order(nodes, zone) == names({"large", "small"}));
}

Test(collector_choice, tells_two_and_listens_to_the_first) {
  const CollectorChoice choice = choice_of_three();
  cr_assert(choice.source() == NodeId("a"));
  cr_assert(choice.told(kNow) == names({"a", "b"}));
}

Test(collector_choice, leaves_a_silent_collector_for_the_one_that_was_told_already) {
  CollectorChoice choice = choice_of_three();
  choice.on_view(kNow + 1s, NodeId("a"));
  cr_assert(!choice.poll(kNow + 1s + 400ms));
  cr_assert(choice.poll(kNow + 1s + 401ms) == NodeId("a"));
  cr_assert(choice.told(kNow + 1s + 401ms) == names({"b", "c"}));
}

Test(collector_choice, stays_with_a_collector_that_speaks) {
  CollectorChoice choice = choice_of_three();
  choice.poll(kNow + 500ms);
  for (Duration at = 500ms; at < 20s; at += 100ms) {
    choice.on_view(kNow + at, NodeId("b"));
    choice.poll(kNow + at);
  }
  cr_assert(choice.source() == NodeId("b"), "though the first one is not suspected any more");
}

Test(collector_choice, begins_again_when_all_are_silent) {
  CollectorChoice choice = choice_of_three();
  for (Duration at = 500ms; at < 3s; at += 500ms) choice.poll(kNow + at);
  cr_assert(choice.source().has_value());
  cr_assert_eq(choice.told(kNow + 3s).size(), 2);
}
