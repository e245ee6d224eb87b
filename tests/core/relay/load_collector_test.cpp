#include "core/relay/load_collector.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
constexpr EngineKey kEngine = 5;

MemberLoad member(std::uint64_t sequence, std::uint32_t in_flight, bool wants_view = true) {
  return {{7, sequence}, {{kEngine, {in_flight, 0, 0}}}, wants_view};
}

ZoneLoad zone(const char* collector, std::uint64_t sequence, std::size_t nodes,
              std::uint32_t in_flight) {
  ZoneLoad load{ZoneName("z2"), NodeId(collector), {8, sequence}, nodes, {}};
  load.part.load[kEngine] = {in_flight, 0, 0};
  return load;
}

}  // namespace

Test(load_collector, sums_the_newest_report_of_each_node) {
  LoadCollector collector{LoadCollectorSettings{}};
  cr_assert(collector.on_member_load(kNow, NodeId("a"), member(2, 3)));
  cr_assert(!collector.on_member_load(kNow, NodeId("a"), member(1, 9)), "outdated");
  cr_assert(!collector.on_member_load(kNow, NodeId("a"), member(2, 3)), "duplicate");
  cr_assert(collector.on_member_load(kNow, NodeId("b"), member(1, 4, false)));
  cr_assert_eq(collector.zone_load().at(kEngine).in_flight, 7);
  const auto subscribers = collector.subscribers();
  cr_assert_eq(subscribers.size(), 1);
  cr_assert_eq(subscribers[0].last_sequence, 2);
}

Test(load_collector, accepts_a_restarted_node) {
  LoadCollector collector{LoadCollectorSettings{}};
  collector.on_member_load(kNow, NodeId("a"), member(90, 3));
  cr_assert(collector.on_member_load(kNow, NodeId("a"), {{8, 1}, {}, true}));
  cr_assert(collector.zone_load().empty());
}

Test(load_collector, expires_silent_nodes) {
  LoadCollector collector{LoadCollectorSettings{}};
  collector.on_member_load(kNow, NodeId("a"), member(1, 3));
  collector.on_zone_load(kNow, zone("c1", 1, 9, 5));
  collector.expire(kNow + 3s);
  cr_assert(collector.idle());
  cr_assert(collector.fleet_load(kNow + 3s).empty());
}

Test(load_collector, counts_a_zone_once_by_the_collector_with_most_nodes) {
  LoadCollector collector{LoadCollectorSettings{}};
  collector.on_member_load(kNow, NodeId("a"), member(1, 1));
  cr_assert(collector.on_zone_load(kNow, zone("c1", 1, 9, 5)));
  cr_assert(!collector.on_zone_load(kNow, zone("c2", 1, 4, 2)), "covers fewer nodes");
  cr_assert_eq(collector.fleet_load(kNow).at(kEngine).in_flight, 6);
  cr_assert_eq(collector.fleet_nodes(kNow), 10);
  // The first collector stalls: its sum is stale, so the other one is selected.
  cr_assert(collector.on_zone_load(kNow + 500ms, zone("c2", 2, 4, 2)));
  cr_assert_eq(collector.fleet_load(kNow + 500ms).at(kEngine).in_flight, 3);
}

Test(load_collector, replaces_only_the_range_that_a_part_covers) {
  LoadCollector collector{LoadCollectorSettings{}};
  collector.on_member_load(kNow, NodeId("a"), {{7, 1}, {}, true});
  collector.on_zone_load(kNow, zone("c1", 1, 9, 5));
  ZoneLoad part = zone("c1", 2, 9, 0);
  part.part = {kEngine + 1, kEngine + 9, {{kEngine + 2, {4, 0, 0}}}};
  collector.on_zone_load(kNow, part);
  cr_assert_eq(collector.fleet_load(kNow).at(kEngine).in_flight, 5);
  cr_assert_eq(collector.fleet_load(kNow).at(kEngine + 2).in_flight, 4);
  part.number.sequence = 1;
  part.part.load.clear();
  cr_assert(!collector.on_zone_load(kNow, part), "an older part");
  cr_assert_eq(collector.fleet_load(kNow).at(kEngine + 2).in_flight, 4);
}

// Guards against erasing a range from its end to its beginning, which ends the process.
Test(load_collector, takes_a_range_that_ends_before_it_begins_for_an_empty_one) {
  LoadCollector collector{LoadCollectorSettings{}};
  ZoneLoad whole = zone("c1", 1, 9, 5);
  for (EngineKey key = 10; key < 30; ++key) whole.part.load[key] = {1, 0, 0};
  collector.on_zone_load(kNow, whole);
  ZoneLoad reversed{ZoneName("z2"), NodeId("c1"), {8, 2}, 9, {}};
  reversed.part.first = 25;
  reversed.part.last = 12;
  cr_assert(collector.on_zone_load(kNow, reversed));
  cr_assert_eq(collector.fleet_load(kNow).size(), 21);
}
