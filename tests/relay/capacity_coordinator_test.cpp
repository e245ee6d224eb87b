#include "relay/capacity_coordinator.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::DutyOutcome;

namespace {

/// Records orders; the test says what becomes of them.
class OrderBook : public relay::DutyService {
 public:
  explicit OrderBook(Runtime& runtime) : runtime_(runtime) {}
  void report_usage(const relay::DutyAuthority&, const relay::UsageReport&, Duration,
                    Handler) override {}
  void order_engines(const relay::DutyAuthority& authority, const relay::EngineOrder& order,
                     Duration, Handler handler) override {
    orders.push_back(order);
    fences.push_back(authority.fence);
    runtime_.post(
        [handler, outcome = order.spot ? spot_outcome : DutyOutcome::kDone] { handler(outcome); });
  }

  /// @return the last order of that kind, or nothing.
  std::optional<std::uint32_t> last(const std::string& zone, bool spot) const {
    const auto found = std::find_if(orders.rbegin(), orders.rend(), [&](const auto& order) {
      return order.zone.value() == zone && order.spot == spot;
    });
    return found == orders.rend() ? std::nullopt : std::optional(found->engines);
  }

  std::vector<relay::EngineOrder> orders;
  std::vector<Fence> fences;
  DutyOutcome spot_outcome = DutyOutcome::kDone;

 private:
  Runtime& runtime_;
};

relay::RouteConfiguration with_scale(std::uint64_t version) {
  relay::RouteConfiguration configuration = RelayFixture::configuration(version);
  capacity::EngineScale scale;
  scale.max = 20;
  scale.startup = 2s;
  scale.spot_price = 0.2;
  scale.zone_prices = {{ZoneName("z1"), 1.0}, {ZoneName("z2"), 1.1}, {ZoneName("z3"), 1.2}};
  configuration.services.at(1).scale = scale;
  return configuration;
}

/// A node that may order engines, before twelve at full price.
struct Buyer {
  Buyer() { restart("n1"); }

  void restart(const std::string& name) {
    coordinator.reset();
    lease = std::make_unique<relay::LeaseKeeper>(site.runtime, store, *site.node, name,
                                                 relay::LeaseKeeperSettings());
    coordinator = std::make_unique<relay::CapacityCoordinator>(
        site.runtime, store, *lease, book, *site.node, name, relay::CapacityCoordinatorSettings());
  }

  void add(const std::string& id, const std::string& zone, bool spot = false,
           bool draining = false) {
    relay::EngineRecord record;
    record.id = EngineId(id);
    record.service = ServiceName("model");
    record.address = id + ":80";
    record.zone = ZoneName(zone);
    record.spot = spot;
    record.draining = draining;
    site.node->set_engine(record);
  }

  void add_four_in_each_zone() {
    site.node->adopt(with_scale(2));
    for (const char* zone : {"z1", "z2", "z3"}) {
      for (int i = 0; i < 4; ++i) add("f" + std::to_string(i) + zone, zone);
    }
  }

  RelayFixture site;
  MemoryStore store{site.runtime};
  OrderBook book{site.runtime};
  std::unique_ptr<relay::LeaseKeeper> lease;
  std::unique_ptr<relay::CapacityCoordinator> coordinator;
};

}  // namespace

Test(capacity_coordinator, orders_spot_at_once_and_gives_back_only_what_they_replace) {
  Buyer buyer;
  buyer.add_four_in_each_zone();
  buyer.site.runtime.advance(8s);
  cr_assert_eq(buyer.book.last("z1", true).value(), 3, "half of twelve, less the spare zone's");
  cr_assert_not(buyer.book.last("z3", false).has_value(), "no spot engine serves yet");
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 3; ++i) buyer.add("s" + std::to_string(i) + zone, zone, true);
  }
  buyer.site.runtime.advance(4s);
  cr_assert_eq(buyer.book.last("z3", false).value(), 0, "the dearest zone");
  cr_assert_eq(buyer.book.last("z2", false).value(), 2);
  cr_assert_not(buyer.book.last("z1", false).has_value(), "the cheapest zone keeps its four");
}

Test(capacity_coordinator, counts_no_engine_that_was_told_to_leave) {
  Buyer buyer;
  buyer.add_four_in_each_zone();
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 3; ++i) buyer.add("s" + std::to_string(i) + zone, zone, true);
  }
  buyer.site.runtime.advance(12s);
  for (const char* zone : {"z2", "z3"}) {
    for (int i = 0; i < 4; ++i) buyer.add("f" + std::to_string(i) + zone, zone, false, true);
  }
  for (const char* zone : {"z1", "z2"}) {
    for (int i = 0; i < 3; ++i) buyer.add("s" + std::to_string(i) + zone, zone, true, true);
  }
  buyer.site.runtime.advance(1s);
  cr_assert_eq(buyer.book.last("z1", false).value(), 9, "four and three are left of twelve");
}

Test(capacity_coordinator, a_later_holder_does_not_take_what_was_bought_for_what_is_needed) {
  Buyer buyer;
  buyer.add_four_in_each_zone();
  buyer.site.runtime.advance(8s);
  for (int i = 0; i < 9; ++i) buyer.add("more" + std::to_string(i), "z1");
  buyer.restart("n2");
  const std::size_t before = buyer.book.orders.size();
  buyer.site.runtime.advance(20s);
  cr_assert_gt(buyer.book.orders.size(), before);
  cr_assert_eq(buyer.book.last("z2", true).value(), 3, "of twelve, not of twenty-one");
  cr_assert_gt(buyer.book.fences.back(), buyer.book.fences.front());
}

Test(capacity_coordinator, asks_again_after_a_while_where_there_were_none) {
  Buyer buyer;
  buyer.book.spot_outcome = DutyOutcome::kRefused;
  buyer.add_four_in_each_zone();
  buyer.site.runtime.advance(16s);
  const auto asked = std::count_if(buyer.book.orders.begin(), buyer.book.orders.end(),
                                   [](const auto& order) { return order.zone.value() == "z1"; });
  cr_assert_geq(asked, 3);
  cr_assert_leq(asked, 6);
}

Test(capacity_coordinator, orders_nothing_without_the_lease) {
  Buyer buyer;
  buyer.store.down = true;
  buyer.add_four_in_each_zone();
  buyer.site.runtime.advance(20s);
  cr_assert(buyer.book.orders.empty());
}

Test(capacity_coordinator, changes_a_large_fleet_over_in_steps) {
  Buyer buyer;
  auto configuration = with_scale(2);
  configuration.services.at(1).scale->max = 2000;
  buyer.site.node->adopt(configuration);
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 400; ++i) buyer.add("f" + std::to_string(i) + zone, zone);
  }
  std::uint32_t before = 0;
  for (int second = 0; second < 20; ++second) {
    buyer.site.runtime.advance(1s);
    std::uint32_t bought = 0;
    for (const char* zone : {"z1", "z2", "z3"}) {
      const std::uint32_t ordered = buyer.book.last(zone, true).value_or(0);
      for (std::uint32_t i = 0; i < ordered; ++i) {
        buyer.add("s" + std::to_string(i) + zone, zone, true);
      }
      bought += ordered;
    }
    cr_assert_leq(bought, before + 80, "second %d: from %u to %u", second, before, bought);
    before = bought;
  }
  cr_assert_geq(before, 400, "and it gets on");
}
