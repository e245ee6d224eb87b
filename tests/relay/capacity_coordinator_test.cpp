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

/// Records orders and answers them with a configured outcome.
class FakeDutyService : public relay::DutyService {
 public:
  explicit FakeDutyService(Runtime& runtime) : runtime_(runtime) {}
  void report_usage(const relay::DutyAuthority&, const relay::UsageReport&, Duration,
                    Handler) override {}
  void order_engines(const relay::DutyAuthority& authority, const relay::EngineOrder& order,
                     Duration, Handler handler) override {
    orders.push_back(order);
    fences.push_back(authority.fence);
    runtime_.post(
        [handler, outcome = order.spot ? spot_outcome : DutyOutcome::kDone] { handler(outcome); });
  }

  /// @return the engine count of the last order of that kind, if any.
  std::optional<std::uint32_t> last_ordered(const std::string& zone, bool spot) const {
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

relay::RouteConfiguration scaled_configuration(std::uint64_t version) {
  relay::RouteConfiguration configuration = RelayFixture::configuration(version);
  capacity::EngineScale scale;
  scale.max = 20;
  scale.startup = 2s;
  scale.spot_price = 0.2;
  scale.zone_prices = {{ZoneName("z1"), 1.0}, {ZoneName("z2"), 1.1}, {ZoneName("z3"), 1.2}};
  configuration.services.at(1).scale = scale;
  return configuration;
}

/// A node with a capacity coordinator and a store.
struct CoordinatorFixture {
  CoordinatorFixture() { restart("n1"); }

  void restart(const std::string& name) {
    coordinator.reset();
    lease = std::make_unique<relay::LeaseKeeper>(site.runtime, store, *site.node, name,
                                                 relay::LeaseKeeperSettings());
    coordinator = std::make_unique<relay::CapacityCoordinator>(
        site.runtime, store, *lease, duty_service, *site.node, name,
        relay::CapacityCoordinatorSettings());
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
    site.node->adopt(scaled_configuration(2));
    for (const char* zone : {"z1", "z2", "z3"}) {
      for (int i = 0; i < 4; ++i) add("f" + std::to_string(i) + zone, zone);
    }
  }

  RelayFixture site;
  MemoryStore store{site.runtime};
  FakeDutyService duty_service{site.runtime};
  std::unique_ptr<relay::LeaseKeeper> lease;
  std::unique_ptr<relay::CapacityCoordinator> coordinator;
};

}  // namespace

Test(capacity_coordinator, orders_spot_engines_and_releases_only_those_they_replace) {
  CoordinatorFixture fixture;
  fixture.add_four_in_each_zone();
  fixture.site.runtime.advance(8s);
  cr_assert_eq(fixture.duty_service.last_ordered("z1", true).value(), 3,
               "half of twelve over two zones, the third is spare");
  cr_assert_not(fixture.duty_service.last_ordered("z3", false).has_value(),
                "no spot engine serves yet");
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 3; ++i) fixture.add("s" + std::to_string(i) + zone, zone, true);
  }
  fixture.site.runtime.advance(4s);
  cr_assert_eq(fixture.duty_service.last_ordered("z3", false).value(), 0,
               "the most expensive zone");
  cr_assert_eq(fixture.duty_service.last_ordered("z2", false).value(), 2);
  cr_assert_not(fixture.duty_service.last_ordered("z1", false).has_value(),
                "the cheapest zone keeps its four");
}

Test(capacity_coordinator, ignores_draining_engines) {
  CoordinatorFixture fixture;
  fixture.add_four_in_each_zone();
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 3; ++i) fixture.add("s" + std::to_string(i) + zone, zone, true);
  }
  fixture.site.runtime.advance(12s);
  for (const char* zone : {"z2", "z3"}) {
    for (int i = 0; i < 4; ++i) fixture.add("f" + std::to_string(i) + zone, zone, false, true);
  }
  for (const char* zone : {"z1", "z2"}) {
    for (int i = 0; i < 3; ++i) fixture.add("s" + std::to_string(i) + zone, zone, true, true);
  }
  fixture.site.runtime.advance(1s);
  cr_assert_eq(fixture.duty_service.last_ordered("z1", false).value(), 9,
               "twelve needed, three spot engines left");
}

Test(capacity_coordinator, new_lease_holder_does_not_count_ordered_engines_as_needed) {
  CoordinatorFixture fixture;
  fixture.add_four_in_each_zone();
  fixture.site.runtime.advance(8s);
  for (int i = 0; i < 9; ++i) fixture.add("more" + std::to_string(i), "z1");
  fixture.restart("n2");
  const std::size_t before = fixture.duty_service.orders.size();
  fixture.site.runtime.advance(20s);
  cr_assert_gt(fixture.duty_service.orders.size(), before);
  cr_assert_eq(fixture.duty_service.last_ordered("z2", true).value(), 3,
               "of twelve, not of twenty-one");
  cr_assert_gt(fixture.duty_service.fences.back(), fixture.duty_service.fences.front());
}

Test(capacity_coordinator, retries_refused_orders_after_a_delay) {
  CoordinatorFixture fixture;
  fixture.duty_service.spot_outcome = DutyOutcome::kRefused;
  fixture.add_four_in_each_zone();
  fixture.site.runtime.advance(16s);
  const auto order_count =
      std::count_if(fixture.duty_service.orders.begin(), fixture.duty_service.orders.end(),
                    [](const auto& order) { return order.zone.value() == "z1"; });
  cr_assert_geq(order_count, 3);
  cr_assert_leq(order_count, 6);
}

Test(capacity_coordinator, orders_nothing_without_the_lease) {
  CoordinatorFixture fixture;
  fixture.store.down = true;
  fixture.add_four_in_each_zone();
  fixture.site.runtime.advance(20s);
  cr_assert(fixture.duty_service.orders.empty());
}

Test(capacity_coordinator, replaces_a_large_fleet_in_steps) {
  CoordinatorFixture fixture;
  auto configuration = scaled_configuration(2);
  configuration.services.at(1).scale->max = 2000;
  fixture.site.node->adopt(configuration);
  for (const char* zone : {"z1", "z2", "z3"}) {
    for (int i = 0; i < 400; ++i) fixture.add("f" + std::to_string(i) + zone, zone);
  }
  std::uint32_t before = 0;
  for (int second = 0; second < 20; ++second) {
    fixture.site.runtime.advance(1s);
    std::uint32_t total_ordered = 0;
    for (const char* zone : {"z1", "z2", "z3"}) {
      const std::uint32_t ordered = fixture.duty_service.last_ordered(zone, true).value_or(0);
      for (std::uint32_t i = 0; i < ordered; ++i) {
        fixture.add("s" + std::to_string(i) + zone, zone, true);
      }
      total_ordered += ordered;
    }
    cr_assert_leq(total_ordered, before + 80, "second %d: from %u to %u", second, before,
                  total_ordered);
    before = total_ordered;
  }
  cr_assert_geq(before, 400, "progress within 20 s");
}
